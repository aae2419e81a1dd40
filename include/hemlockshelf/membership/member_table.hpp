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

/// A record and the member's reachability as seen by the local node.
struct member_entry
{
    member_record record_;
    liveness liveness_ = liveness::alive;
};

/// Converts an entry to the form that is disseminated.
member_update to_update(const member_entry& entry);

/// A service of one account. Its members are the upstreams of a pool.
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

/// Members known to the local node, sharded with one lock per shard. The
/// indexes by service and by failure domain are sharded separately. Lock order:
/// an index shard is locked before a member shard, never after it.
class member_table
{
public:
    using entry_list = std::vector<member_entry>;
    using entry_pointer = std::shared_ptr<const member_entry>;
    using entry_pointers = std::vector<entry_pointer>;
    using bucket_set = std::bitset<digest_bucket_count>;

    /// Merges a record. Returns true if it was newer than the stored one.
    bool merge(const member_record& record);

    /// Merges an update from another node. Returns true if it superseded the
    /// stored one.
    bool merge(const member_update& update);

    /// Sets a member's reachability. Returns false without a change if the
    /// member is unknown, its incarnation is not `seen`, it is already down or
    /// it already has this value.
    bool set_liveness(const vm_id& vm, incarnation seen, liveness value);

    [[nodiscard]] std::optional<member_entry> find(const vm_id& vm) const;

    /// Returns the members that serve `key` (states `warming`, `ready` and
    /// `draining`, any liveness). The list is immutable and shared, so that
    /// routing a call copies nothing.
    [[nodiscard]] std::shared_ptr<const entry_list>
    members_of_service(const service_key& key) const;

    /// Returns the members of a failure domain that have not been removed, as
    /// an immutable shared list.
    [[nodiscard]] std::shared_ptr<const entry_pointers>
    members_in_domain(const failure_domain_id& domain) const;

    /// Returns the failure domains that have known members, with their
    /// regions.
    [[nodiscard]] std::map<failure_domain_id, region_id> domains() const;

    /// Returns every member that has not been removed.
    [[nodiscard]] entry_list all() const;

    [[nodiscard]] std::size_t size() const;

    /// Returns the number of members by `liveness`, in the order of the enum.
    [[nodiscard]] std::array<std::size_t, 4> count_by_liveness() const;

    [[nodiscard]] member_digest digest() const;

    /// Returns all updates stored in the buckets. Removed members are included
    /// so that a peer with an older record of them learns of the removal.
    [[nodiscard]] std::vector<member_update>
    updates_in(const bucket_set& buckets) const;

    /// Removes members that left or went down at least `removal_delay_` ago,
    /// and erases the records of those gone for `removed_record_lifetime_`.
    void remove_expired(steady_time now, const membership_settings& settings);

private:
    struct stored_member
    {
        entry_pointer entry_;
        /// Time at which `remove_expired` first found that the member had left
        /// or was down.
        std::optional<steady_time> inactive_since_;
        bool removed_ = false;
    };

    /// Entries under one key of an index. The list is built lazily, on the next
    /// read after a change.
    template <class List>
    struct index_slot
    {
        std::unordered_map<vm_id, entry_pointer> entries_;
        std::shared_ptr<const List> list_;
    };

    void update_digest(const member_entry& entry, bool add);
    entry_pointer find_listed(const vm_id& vm) const;
    void refresh_indexes(const vm_id& vm, const member_entry& entry);
    void refresh_service(const vm_id& vm, const service_key& key);
    void refresh_domain(const vm_id& vm, const failure_domain_id& domain);

    sharded_map<vm_id, stored_member> members_;
    mutable sharded_map<service_key, index_slot<entry_list>> services_;
    mutable sharded_map<failure_domain_id, index_slot<entry_pointers>> domains_;
    std::array<std::atomic<std::uint64_t>, digest_bucket_count> digest_{};
};

} // namespace hemlockshelf

#endif
