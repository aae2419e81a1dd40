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

/// A route with the pool that it resolves to.
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

/// Selects a pool of a split route by weight. `position`, in [0, 1), is the
/// position of the request on the cumulative weights. Returns `route` itself if
/// it has no split.
const resolved_route&
choose_split_target(const resolved_route& route, double position);

/// Looks up the route of a request. The routes of each account are immutable
/// and shared between copies, so that the cost of updating the index after an
/// edit depends only on the accounts that the edit affects.
class route_index
{
public:
    /// Builds the index for all accounts. Every referenced pool must exist.
    static route_index build(const config_tables& tables);

    /// Returns a copy in which the routes of `accounts` are rebuilt from
    /// `tables`.
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

    static account_routes build_account_routes(
        const config_tables& tables, const client_account_id& account);

    std::unordered_map<client_account_id, std::shared_ptr<const account_routes>>
        accounts_;
};

/// Returns the accounts whose routes may resolve differently after `changes`:
/// the owners of changed routes and pools, and the accounts that a changed pool
/// is shared with before or after the change.
std::set<client_account_id> affected_accounts(
    const config_tables& before,
    const config_tables& after,
    const std::vector<row_change>& changes);

} // namespace hemlockshelf

#endif
