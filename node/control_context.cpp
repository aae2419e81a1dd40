#include "node/control_context.hpp"

#include <algorithm>
#include <utility>

#include "hemlockshelf/dissemination/readers.hpp"

namespace hemlockshelf {

bool may_answer(const member_entry& entry)
{
    return entry.liveness_ != liveness::down &&
           entry.record_.state_ != upstream_state::left;
}

tree_member to_tree_member(const member_record& record)
{
    return {record.vm_, record.failure_domain_, record.region_};
}

std::optional<peer_address>
address_of(const control_context& context, const member_record& record)
{
    const auto parsed = parse_endpoint(record.control_address_);
    if (!parsed)
    {
        return std::nullopt;
    }
    return peer_address{
        *parsed, scope_between(context.self_, to_tree_member(record))};
}

std::optional<peer_address>
address_of(const control_context& context, const vm_id& vm)
{
    const auto entry = context.members_.find(vm);
    return entry ? address_of(context, entry->record_) : std::nullopt;
}

std::vector<vm_id>
peers_in(const control_context& context, const failure_domain_id& domain)
{
    std::vector<vm_id> vms;
    const auto members = context.members_.members_in_domain(domain);
    for (const auto& entry : *members)
    {
        if (may_answer(*entry) && entry->record_.vm_ != context.self_.vm_)
        {
            vms.push_back(entry->record_.vm_);
        }
    }
    return vms;
}

std::optional<std::size_t>
rank_among(const control_context& context, const std::vector<vm_id>& chosen)
{
    const auto found = std::ranges::find(chosen, context.self_.vm_);
    if (found == chosen.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - chosen.begin());
}

std::optional<std::size_t>
rendezvous_rank(const control_context& context, std::size_t count)
{
    const auto& self = context.self_;
    auto live = peers_in(context, self.failure_domain_);
    live.push_back(self.vm_);
    return rank_among(
        context, choose_by_rendezvous_hash(
                     self.failure_domain_, std::move(live), count));
}

std::optional<std::size_t>
reader_rank(const control_context& context, std::size_t count)
{
    const auto& self = context.self_;
    std::vector<reader_candidate> candidates;
    const auto members =
        context.members_.members_in_domain(self.failure_domain_);
    for (const auto& entry : *members)
    {
        const auto& record = entry->record_;
        if (may_answer(*entry) || record.vm_ == self.vm_)
        {
            candidates.push_back(
                {record.vm_, record.link_, record.platform_lost_});
        }
    }
    return rank_among(
        context, choose_platform_readers(
                     self.failure_domain_, std::move(candidates), count));
}

std::chrono::milliseconds recent_loop_delay(const control_context& context)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        greatest_delay(context.loop_delay_, context.time_.now()));
}

void record_platform_era(control_context& context, platform_era era)
{
    context.platform_era_ = std::max(context.platform_era_, era);
}

heartbeat_message own_heartbeat(const control_context& context)
{
    const auto own = context.members_.find(context.self_.vm_);
    const auto snapshot = context.config_.current();
    heartbeat_message message{
        context.self_, own ? own->record_.incarnation_ : incarnation{},
        snapshot->number(), snapshot->tables().hash_,
        root_of(context.members_.digest())};
    message.platform_era_ = context.platform_era_;
    return message;
}

} // namespace hemlockshelf
