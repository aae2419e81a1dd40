#ifndef HEMLOCKSHELF_MEMBERSHIP_MEMBER_TABLE_HPP
#define HEMLOCKSHELF_MEMBERSHIP_MEMBER_TABLE_HPP

#include <compare>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "hemlockshelf/core/sharded_map.hpp"
#include "hemlockshelf/membership/member_record.hpp"

namespace hemlockshelf {

/// A record together with what this node holds about its reachability.
struct member_entry
{
    member_record record_;
    liveness liveness_ = liveness::alive;
};

/// A service of one account, whose members form a pool's upstreams.
struct service_key
{
    client_account_id account_;
    service_name service_;

    friend auto operator<=>(const service_key&, const service_key&) = default;
};

} // namespace hemlockshelf

template <>
struct std::hash<hemlockshelf::service_key>
{
    std::size_t operator()(const hemlockshelf::service_key& key) const noexcept
    {
        const auto account =
            std::hash<hemlockshelf::client_account_id>{}(key.account_);
        const auto service =
            std::hash<hemlockshelf::service_name>{}(key.service_);
        return account * 31 + service;
    }
};

namespace hemlockshelf {

/// The members that this node knows, in shards, each under its own lock.
class member_table
{
public:
    using entry_list = std::vector<member_entry>;

    /// Merges a record; true if it was newer than what was held.
    bool merge(const member_record& record);

    /// Sets a member's reachability. Returns false if the member is unknown or
    /// its incarnation has moved past `seen`.
    bool set_liveness(const vm_id& vm, incarnation seen, liveness value);

    [[nodiscard]] std::optional<member_entry> find(const vm_id& vm) const;

    /// Returns the members that serve `key` (states `warming`, `ready` and
    /// `draining`, any liveness). The list is immutable and shared, so that
    /// the routing of each call costs no copy.
    [[nodiscard]] std::shared_ptr<const entry_list>
    members_of(const service_key& key) const;

    /// Returns every member.
    [[nodiscard]] entry_list all() const;

    [[nodiscard]] std::size_t size() const;

private:
    void rebuild_service(const service_key& key);

    sharded_map<vm_id, member_entry> members_;
    sharded_map<service_key, std::shared_ptr<const entry_list>> services_;
};

} // namespace hemlockshelf

#endif
