#include "hemlockshelf/membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

#include "hemlockshelf/core/content_hash.hpp"

namespace hemlockshelf {

namespace {

constexpr std::uint64_t ring_seed = 0x72696e67;
constexpr std::uint32_t minority_rounds = 3;

} // namespace

std::vector<vm_id> choose_neighbours(
    const vm_id& self, std::vector<vm_id> members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, vm_id>> ring;
    ring.reserve(members.size());
    const auto own = hash_text(self.value(), ring_seed);
    for (auto& vm : members)
    {
        if (vm != self)
        {
            // The distance forwards from the own position; it wraps around.
            const auto distance = hash_text(vm.value(), ring_seed) - own;
            ring.emplace_back(distance, std::move(vm));
        }
    }
    const auto chosen = std::min(ring.size(), count);
    std::partial_sort(
        ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(chosen),
        ring.end());
    std::vector<vm_id> neighbours;
    for (std::size_t index = 0; index < chosen; ++index)
    {
        neighbours.push_back(std::move(ring[index].second));
    }
    return neighbours;
}

std::optional<vm_id>
choose_predecessor(const vm_id& self, const std::vector<vm_id>& members)
{
    const auto own = hash_text(self.value(), ring_seed);
    std::optional<std::pair<std::uint64_t, vm_id>> nearest;
    for (const auto& vm : members)
    {
        // The distance backwards from the own position.
        std::pair candidate{own - hash_text(vm.value(), ring_seed), vm};
        if (vm != self && (!nearest || candidate < *nearest))
        {
            nearest = std::move(candidate);
        }
    }
    return nearest ? std::optional(std::move(nearest->second)) : std::nullopt;
}

detector_action
record_missed_heartbeat(neighbour_health& watch, std::uint32_t limit)
{
    ++watch.missed_;
    if (watch.missed_ < limit || watch.confirming_)
    {
        return detector_action::none;
    }
    watch.confirming_ = true;
    return detector_action::confirm;
}

suspicion_verdict evaluate_confirmation(
    neighbour_health& watch, const confirmation_counts& answers)
{
    watch.confirming_ = false;
    if (answers.reachable_ > 0)
    {
        watch.missed_ = 0;
        watch.rounds_ = 0;
        return suspicion_verdict::alive;
    }
    if (answers.unreachable_ == 0)
    {
        watch.rounds_ = 0;
        return suspicion_verdict::inconclusive;
    }
    ++watch.rounds_;
    const bool majority = 2 * answers.unreachable_ > answers.asked_;
    return majority || watch.rounds_ >= minority_rounds
               ? suspicion_verdict::down
               : suspicion_verdict::inconclusive;
}

} // namespace hemlockshelf
