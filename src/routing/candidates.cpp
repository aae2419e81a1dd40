#include "hemlockshelf/routing/candidates.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

// Weight of an upstream whose load was not seen recently, against 1 for one
// seen just now. It lets the use of an idle tier fall back to what the entry
// itself causes.
constexpr double unseen_weight = 0.05;

candidate_status status_of_ejection(const upstream_load& load)
{
    if (load.ejection_ == ejection_state::ejected)
    {
        return candidate_status::ejected;
    }
    return load.ejection_ == ejection_state::probing && load.in_progress_ > 0
               ? candidate_status::probe_in_progress
               : candidate_status::usable;
}

candidate make_candidate(
    const pool_state& state,
    std::size_t index,
    const routing_settings& settings,
    steady_time now)
{
    const auto& member = (*state.members_)[index].record_;
    const auto& load = state.loads_[index];
    const bool warming = member.state_ == upstream_state::warming;
    const double share = warm_up_share(load, warming, settings, now);
    const double free =
        estimated_free_slots(load, member.slots_, settings, now);
    const double slots = std::max(1U, member.slots_.value());
    return {
        index, state.tiers_[index], free, slots * share,
        (load.in_progress_ + 1) / ((free + 1) * share)};
}

void add_sight(
    tier_capacity& capacity,
    const upstream_load& load,
    std::uint32_t slots,
    const routing_settings& settings,
    steady_time now)
{
    const double weight = unseen_weight + freshness(load, settings, now);
    const double free = load.free_slots_ ? *load.free_slots_
                                         : slots - double(load.in_progress_);
    capacity.seen_slots_ += weight * slots;
    capacity.seen_free_ += weight * std::clamp<double>(free, 0, slots);
}

// Draws by weight among the tier's candidates, leaving out `skipped`. Returns
// nothing if there is no other.
const candidate* draw(
    const candidate_set& set,
    locality_tier tier,
    const candidate* skipped,
    random_source& random)
{
    double total = 0;
    for (const auto& member : set.members_)
    {
        total +=
            member.tier_ == tier && &member != skipped ? member.weight_ : 0;
    }
    double left = total * random_fraction(random);
    const candidate* last = nullptr;
    for (const auto& member : set.members_)
    {
        if (member.tier_ != tier || &member == skipped)
        {
            continue;
        }
        last = &member;
        left -= member.weight_;
        if (left < 0)
        {
            break;
        }
    }
    return last;
}

} // namespace

candidate_status candidate_status_of(
    const pool_state& state, std::size_t index, std::span<const vm_id> tried)
{
    const auto& member = (*state.members_)[index];
    if (member.liveness_ == liveness::down)
    {
        return candidate_status::down;
    }
    if (member.record_.state_ == upstream_state::draining)
    {
        return candidate_status::draining;
    }
    if (member.record_.state_ != upstream_state::ready &&
        member.record_.state_ != upstream_state::warming)
    {
        return candidate_status::not_serving;
    }
    if (std::ranges::find(tried, member.record_.vm_) != tried.end())
    {
        return candidate_status::already_tried;
    }
    if (member.liveness_ == liveness::unreachable)
    {
        return candidate_status::unreachable;
    }
    return member.liveness_ == liveness::suspect
               ? candidate_status::suspect
               : status_of_ejection(state.loads_[index]);
}

candidate_rank candidate_rank_of(candidate_status status)
{
    switch (status)
    {
    case candidate_status::usable:
        return candidate_rank::usable;
    case candidate_status::suspect:
    case candidate_status::ejected:
    case candidate_status::probe_in_progress:
        return candidate_rank::doubtful;
    case candidate_status::unreachable:
        return candidate_rank::unreachable;
    default:
        return candidate_rank::excluded;
    }
}

candidate_set gather_candidates(
    const pool_state& state,
    std::span<const vm_id> tried,
    candidate_rank rank,
    const routing_settings& settings,
    steady_time now)
{
    candidate_set set;
    set.rank_ = rank;
    set.members_.reserve(state.loads_.size());
    for (std::size_t index = 0; index < state.loads_.size(); ++index)
    {
        if (candidate_rank_of(candidate_status_of(state, index, tried)) != rank)
        {
            continue;
        }
        const auto member = make_candidate(state, index, settings, now);
        const auto slots = (*state.members_)[index].record_.slots_.value();
        auto& capacity =
            set.capacities_.at(static_cast<std::size_t>(member.tier_));
        capacity.slots_ += std::max(1U, slots);
        add_sight(capacity, state.loads_[index], slots, settings, now);
        set.members_.push_back(member);
    }
    return set;
}

std::size_t better_of_two(
    const candidate_set& set, locality_tier tier, random_source& random)
{
    const auto* first = draw(set, tier, nullptr, random);
    const auto* second = draw(set, tier, first, random);
    return second == nullptr || first->load_ <= second->load_ ? first->index_
                                                              : second->index_;
}

} // namespace hemlockshelf
