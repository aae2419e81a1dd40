#include "hemlockshelf/membership/member_table.hpp"

#include <tuple>
#include <utility>

namespace hemlockshelf {

namespace {

service_key service_of(const member_record& record)
{
    return {record.account_, record.service_};
}

bool is_newer(const member_record& left, const member_record& right)
{
    return std::tie(left.incarnation_, left.sequence_) >
           std::tie(right.incarnation_, right.sequence_);
}

bool can_serve(upstream_state state)
{
    return state == upstream_state::warming || state == upstream_state::ready ||
           state == upstream_state::draining;
}

} // namespace

bool member_table::merge(const member_record& record)
{
    std::optional<service_key> previous;
    const bool changed = members_.with_shard(
        record.vm_,
        [&](auto& entries)
        {
            auto& held = entries[record.vm_];
            if (held.record_.vm_ == record.vm_ &&
                !is_newer(record, held.record_))
            {
                return false;
            }
            previous = service_of(held.record_);
            held = member_entry{record, liveness::alive};
            return true;
        });
    if (!changed)
    {
        return false;
    }
    rebuild_service(service_of(record));
    if (previous && *previous != service_of(record))
    {
        rebuild_service(*previous);
    }
    return true;
}

bool member_table::set_liveness(
    const vm_id& vm, incarnation seen, liveness value)
{
    std::optional<service_key> changed;
    members_.with_shard(
        vm,
        [&](auto& entries)
        {
            const auto found = entries.find(vm);
            if (found != entries.end() &&
                found->second.record_.incarnation_ == seen)
            {
                found->second.liveness_ = value;
                changed = service_of(found->second.record_);
            }
        });
    if (!changed)
    {
        return false;
    }
    rebuild_service(*changed);
    return true;
}

std::optional<member_entry> member_table::find(const vm_id& vm) const
{
    return members_.with_shard(
        vm,
        [&](const auto& entries) -> std::optional<member_entry>
        {
            const auto found = entries.find(vm);
            return found == entries.end() ? std::nullopt
                                          : std::optional(found->second);
        });
}

std::shared_ptr<const member_table::entry_list>
member_table::members_of(const service_key& key) const
{
    static const auto none = std::make_shared<const entry_list>();
    return services_.with_shard(
        key,
        [&](const auto& lists)
        {
            const auto found = lists.find(key);
            return found == lists.end() ? none : found->second;
        });
}

member_table::entry_list member_table::all() const
{
    entry_list entries;
    members_.for_each(
        [&](const vm_id&, const member_entry& entry)
        {
            entries.push_back(entry);
        });
    return entries;
}

std::size_t member_table::size() const
{
    return members_.size();
}

void member_table::rebuild_service(const service_key& key)
{
    auto list = std::make_shared<entry_list>();
    members_.for_each(
        [&](const vm_id&, const member_entry& entry)
        {
            if (service_of(entry.record_) == key &&
                can_serve(entry.record_.state_))
            {
                list->push_back(entry);
            }
        });
    services_.with_shard(
        key,
        [&](auto& lists)
        {
            lists[key] = std::move(list);
        });
}

} // namespace hemlockshelf
