#ifndef HEMLOCKSHELF_MEMBERSHIP_MEMBER_TABLE_HPP
#define HEMLOCKSHELF_MEMBERSHIP_MEMBER_TABLE_HPP

#include <array>
#include <atomic>
#include <bitset>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/sharded_map.hpp"
#include "hemlockshelf/membership/member_digest.hpp"
#include "hemlockshelf/membership/member_record.hpp"
#include "hemlockshelf/membership/membership_settings.hpp"

namespace hemlockshelf {

/// A record together with what this node holds about its reachability.
struct member_entry
{
    member_record record_;
    liveness liveness_ = liveness::alive;
};

/// Returns the entry in the form in which nodes pass it on.
member_update to_update(const member_entry& entry);

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
/// Indexes by service and by failure domain have shards of their own. An
/// index's lock is taken before a member's lock and never after it.
class member_table
{
public:
    using entry_list = std::vector<member_entry>;
    using entry_pointer = std::shared_ptr<const member_entry>;
    using entry_pointers = std::vector<entry_pointer>;
    using bucket_set = std::bitset<digest_bucket_count>;

    /// Merges a record; true if it was newer than what was held.
    bool merge(const member_record& record);

    /// Merges an update from another node; true if it superseded what was
    /// held.
    bool merge(const member_update& update);

    /// Sets a member's reachability. Returns false if the member is unknown,
    /// its incarnation has moved past `seen` or it is already down.
    bool set_liveness(const vm_id& vm, incarnation seen, liveness value);

    [[nodiscard]] std::optional<member_entry> find(const vm_id& vm) const;

    /// Returns the members that serve `key` (states `warming`, `ready` and
    /// `draining`, any liveness). The list is immutable and shared, so that
    /// the routing of each call costs no copy.
    [[nodiscard]] std::shared_ptr<const entry_list>
    members_of_service(const service_key& key) const;

    /// Returns the members of a failure domain that have not been removed, as
    /// an immutable shared list.
    [[nodiscard]] std::shared_ptr<const entry_pointers>
    members_in_domain(const failure_domain_id& domain) const;

    /// Returns the failure domains of which members are known, with their
    /// regions.
    [[nodiscard]] std::map<failure_domain_id, region_id> domains() const;

    /// Returns every member that has not been removed.
    [[nodiscard]] entry_list all() const;

    [[nodiscard]] std::size_t size() const;

    /// Returns the number of members for each `liveness`, in its order.
    [[nodiscard]] std::array<std::size_t, 4> count_by_liveness() const;

    [[nodiscard]] member_digest digest() const;

    /// Returns everything held in the buckets, removed members included, so
    /// that a peer which holds an older record of them learns of the removal.
    [[nodiscard]] std::vector<member_update>
    updates_in(const bucket_set& buckets) const;

    /// Removes members that left or went down longer than `removal_delay_`
    /// ago, and forgets the versions of those removed long ago.
    void remove_expired(steady_time now, const membership_settings& settings);

private:
    struct slot
    {
        entry_pointer entry_;
        /// First time at which `remove_expired` saw the member as gone.
        std::optional<steady_time> gone_since_;
        bool removed_ = false;
    };

    /// List of an index; built from the entries when it is next read.
    template <class List>
    struct index_slot
    {
        std::unordered_map<vm_id, entry_pointer> entries_;
        std::shared_ptr<const List> list_;
    };

    void count_in_digest(const member_entry& entry, bool add);
    entry_pointer visible(const vm_id& vm) const;
    void refresh_indexes(const vm_id& vm, const member_entry& entry);
    void refresh_service(const vm_id& vm, const service_key& key);
    void refresh_domain(const vm_id& vm, const failure_domain_id& domain);

    sharded_map<vm_id, slot> members_;
    mutable sharded_map<service_key, index_slot<entry_list>> services_;
    mutable sharded_map<failure_domain_id, index_slot<entry_pointers>> domains_;
    std::array<std::atomic<std::uint64_t>, digest_bucket_count> digest_{};
};

} // namespace hemlockshelf

#endif
