#ifndef HEMLOCKSHELF_CONFIG_ROUTE_INDEX_HPP
#define HEMLOCKSHELF_CONFIG_ROUTE_INDEX_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hemlockshelf/config/config_tables.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A route together with the pool that it resolves to.
struct resolved_route
{
    row_key key_;
    std::shared_ptr<const route_row> route_;
    row_key pool_key_;
    std::shared_ptr<const pool_row> pool_;
    /// The route with each pool of its split, in the order of the row; empty
    /// if the route has one pool.
    std::vector<resolved_route> split_targets_;
};

/// Returns the part of a split route that gets a request, where `position`
/// (from 0 up to 1) is the request's place among the weights. A route without
/// a split is returned itself.
const resolved_route&
choose_split_target(const resolved_route& route, double position);

/// Finds the route of a request. The routes of each account are immutable and
/// shared between copies, so that the index after an edit costs time in
/// proportion to the accounts that the edit touches.
class route_index
{
public:
    /// Builds the index of every account. Every reference must resolve.
    static route_index build(const config_tables& tables);

    /// Returns a copy with the routes of `accounts` taken from `tables`.
    [[nodiscard]] route_index with_accounts(
        const config_tables& tables,
        const std::set<client_account_id>& accounts) const;

    /// Returns the route of `account` for `host` with the longest prefix of
    /// `path`, or null.
    [[nodiscard]] const resolved_route* find(
        const client_account_id& account,
        std::string_view host,
        std::string_view path) const;

private:
    struct text_hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    /// Routes by host, longest prefix first.
    using account_routes = std::unordered_map<
        std::string,
        std::vector<resolved_route>,
        text_hash,
        std::equal_to<>>;

    static account_routes
    routes_of(const config_tables& tables, const client_account_id& account);

    std::unordered_map<client_account_id, std::shared_ptr<const account_routes>>
        accounts_;
};

/// Returns the accounts whose routes may resolve differently after `changes`:
/// the owners of changed routes, and the owner and the guests of changed pools
/// before and after.
std::set<client_account_id> affected_accounts(
    const config_tables& before,
    const config_tables& after,
    const std::vector<row_change>& changes);

} // namespace hemlockshelf

#endif
