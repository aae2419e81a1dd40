#include "hemlockshelf/membership/member_table.hpp"

#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/core/content_hash.hpp"

namespace hemlockshelf {

namespace {

service_key service_of(const member_record& record)
{
    return {record.account_, record.service_};
}

bool is_inactive(const member_entry& entry)
{
    return entry.liveness_ == liveness::down ||
           entry.record_.state_ == upstream_state::left;
}

/// A restarted node has acknowledged nothing yet. What it acknowledged before
/// is kept until the node has asked for it.
member_entry merge_entry(const member_update& update, const member_entry* held)
{
    member_entry merged{
        update.record_, update.down_ ? liveness::down : liveness::alive};
    if (held != nullptr && !merged.record_.acknowledged_ &&
        held->record_.incarnation_ != merged.record_.incarnation_)
    {
        merged.record_.acknowledged_ = held->record_.acknowledged_;
    }
    return merged;
}

std::uint64_t version_hash(const member_record& record)
{
    return hash_text(fmt::format(
        "{}\n{}\n{}", record.vm_.value(), record.incarnation_.value(),
        record.sequence_.value()));
}

} // namespace

member_update to_update(const member_entry& entry)
{
    return {entry.record_, entry.liveness_ == liveness::down};
}

bool member_table::merge(const member_record& record)
{
    return merge(member_update{record, false});
}

bool member_table::merge(const member_update& update)
{
    const auto& vm = update.record_.vm_;
    entry_pointer next;
    entry_pointer previous;
    const bool changed = members_.with_shard(
        vm,
        [&](auto& slots)
        {
            auto& held = slots[vm];
            if (held.entry_ && !supersedes(update, to_update(*held.entry_)))
            {
                return false;
            }
            next = std::make_shared<const member_entry>(
                merge_entry(update, held.entry_.get()));
            previous = std::exchange(held.entry_, next);
            // A removed member stays removed until a record reports it as
            // active. A member that is inactive when first learned is stored
            // but not listed.
            if (!is_inactive(*next))
            {
                held.inactive_since_.reset();
                held.removed_ = false;
            }
            else if (!previous)
            {
                held.removed_ = true;
            }
            if (previous)
            {
                update_digest(*previous, false);
            }
            update_digest(*next, true);
            return true;
        });
    if (!changed)
    {
        return false;
    }
    refresh_indexes(vm, *next);
    if (previous)
    {
        refresh_indexes(vm, *previous);
    }
    return true;
}

bool member_table::set_liveness(
    const vm_id& vm, incarnation seen, liveness value)
{
    entry_pointer next;
    members_.with_shard(
        vm,
        [&](auto& slots)
        {
            const auto found = slots.find(vm);
            if (found == slots.end() ||
                found->second.entry_->record_.incarnation_ != seen ||
                found->second.entry_->liveness_ == liveness::down ||
                found->second.entry_->liveness_ == value)
            {
                return;
            }
            const auto previous = found->second.entry_;
            next = std::make_shared<const member_entry>(
                member_entry{previous->record_, value});
            update_digest(*previous, false);
            update_digest(*next, true);
            found->second.entry_ = next;
        });
    if (!next)
    {
        return false;
    }
    refresh_indexes(vm, *next);
    return true;
}

std::optional<member_entry> member_table::find(const vm_id& vm) const
{
    const auto entry = find_listed(vm);
    return entry ? std::optional(*entry) : std::nullopt;
}

std::shared_ptr<const member_table::entry_list>
member_table::members_of_service(const service_key& key) const
{
    static const auto none = std::make_shared<const entry_list>();
    return services_.with_shard(
        key,
        [&](auto& lists)
        {
            const auto found = lists.find(key);
            if (found == lists.end())
            {
                return none;
            }
            auto& held = found->second;
            if (!held.list_)
            {
                auto list = std::make_shared<entry_list>();
                for (const auto& [vm, entry] : held.entries_)
                {
                    list->push_back(*entry);
                }
                held.list_ = std::move(list);
            }
            return held.list_;
        });
}

std::shared_ptr<const member_table::entry_pointers>
member_table::members_in_domain(const failure_domain_id& domain) const
{
    static const auto none = std::make_shared<const entry_pointers>();
    return domains_.with_shard(
        domain,
        [&](auto& lists)
        {
            const auto found = lists.find(domain);
            if (found == lists.end())
            {
                return none;
            }
            auto& held = found->second;
            if (!held.list_)
            {
                auto list = std::make_shared<entry_pointers>();
                for (const auto& [vm, entry] : held.entries_)
                {
                    list->push_back(entry);
                }
                held.list_ = std::move(list);
            }
            return held.list_;
        });
}

std::map<failure_domain_id, region_id> member_table::domains() const
{
    std::map<failure_domain_id, region_id> regions;
    domains_.for_each(
        [&](const failure_domain_id& domain, const auto& held)
        {
            if (!held.entries_.empty())
            {
                regions[domain] =
                    held.entries_.begin()->second->record_.region_;
            }
        });
    return regions;
}

member_table::entry_list member_table::all() const
{
    entry_list entries;
    members_.for_each(
        [&](const vm_id&, const stored_member& held)
        {
            if (!held.removed_)
            {
                entries.push_back(*held.entry_);
            }
        });
    return entries;
}

std::size_t member_table::size() const
{
    std::size_t total = 0;
    for (const auto count : count_by_liveness())
    {
        total += count;
    }
    return total;
}

std::array<std::size_t, 4> member_table::count_by_liveness() const
{
    std::array<std::size_t, 4> totals{};
    members_.for_each(
        [&](const vm_id&, const stored_member& held)
        {
            if (!held.removed_)
            {
                ++totals.at(static_cast<std::size_t>(held.entry_->liveness_));
            }
        });
    return totals;
}

member_digest member_table::digest() const
{
    member_digest copy{};
    for (std::size_t bucket = 0; bucket < copy.size(); ++bucket)
    {
        copy.at(bucket) = digest_.at(bucket).load();
    }
    return copy;
}

std::vector<member_update>
member_table::updates_in(const bucket_set& buckets) const
{
    std::vector<member_update> updates;
    members_.for_each(
        [&](const vm_id& vm, const stored_member& held)
        {
            if (buckets.test(bucket_of(vm)))
            {
                updates.push_back(to_update(*held.entry_));
            }
        });
    return updates;
}

void member_table::remove_expired(
    steady_time now, const membership_settings& settings)
{
    entry_pointers removed;
    const auto expire = [&](stored_member& held)
    {
        if (!is_inactive(*held.entry_))
        {
            return false;
        }
        const auto since = held.inactive_since_.value_or(now);
        held.inactive_since_ = since;
        if (!held.removed_ && now - since >= settings.removal_delay_)
        {
            held.removed_ = true;
            removed.push_back(held.entry_);
        }
        return held.removed_ &&
               now - since >= settings.removed_record_lifetime_;
    };
    members_.for_each_shard(
        [&](auto& slots)
        {
            for (auto item = slots.begin(); item != slots.end();)
            {
                item =
                    expire(item->second) ? slots.erase(item) : std::next(item);
            }
        });
    for (const auto& entry : removed)
    {
        refresh_indexes(entry->record_.vm_, *entry);
    }
}

void member_table::update_digest(const member_entry& entry, bool add)
{
    if (is_inactive(entry))
    {
        return;
    }
    auto& bucket = digest_.at(bucket_of(entry.record_.vm_));
    const auto hash = version_hash(entry.record_);
    // Addition modulo 2^64 is commutative, so the order of concurrent merges
    // does not matter.
    bucket.fetch_add(add ? hash : std::uint64_t{0} - hash);
}

member_table::entry_pointer member_table::find_listed(const vm_id& vm) const
{
    return members_.with_shard(
        vm,
        [&](const auto& slots) -> entry_pointer
        {
            const auto found = slots.find(vm);
            return found == slots.end() || found->second.removed_
                       ? nullptr
                       : found->second.entry_;
        });
}

void member_table::refresh_indexes(const vm_id& vm, const member_entry& entry)
{
    refresh_service(vm, service_of(entry.record_));
    refresh_domain(vm, entry.record_.failure_domain_);
}

// The entry is read again under the index lock, so that the last refresh after
// two concurrent changes sees the result of both, in whichever order they run.
void member_table::refresh_service(const vm_id& vm, const service_key& key)
{
    services_.with_shard(
        key,
        [&](auto& lists)
        {
            auto& held = lists[key];
            const auto entry = find_listed(vm);
            if (entry && service_of(entry->record_) == key &&
                can_serve(entry->record_.state_))
            {
                held.entries_[vm] = entry;
            }
            else
            {
                held.entries_.erase(vm);
            }
            held.list_ = nullptr;
            if (held.entries_.empty())
            {
                lists.erase(key);
            }
        });
}

void member_table::refresh_domain(
    const vm_id& vm, const failure_domain_id& domain)
{
    domains_.with_shard(
        domain,
        [&](auto& lists)
        {
            auto& held = lists[domain];
            const auto entry = find_listed(vm);
            if (entry && entry->record_.failure_domain_ == domain)
            {
                held.entries_[vm] = entry;
            }
            else
            {
                held.entries_.erase(vm);
            }
            held.list_ = nullptr;
            if (held.entries_.empty())
            {
                lists.erase(domain);
            }
        });
}

} // namespace hemlockshelf
