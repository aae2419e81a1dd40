#ifndef HEMLOCKSHELF_GATE_USAGE_TRACKER_HPP
#define HEMLOCKSHELF_GATE_USAGE_TRACKER_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Recent usage of one account or entry. Values of the same tracker can be
/// compared directly; they are scaled and not in a unit of time.
using usage_value = std::shared_ptr<double>;

/// Tracks the recent usage of slots by name, with exponential decay. Instead of
/// decaying every value over time, new usage gets an exponentially growing
/// weight, so that values can be compared without knowing the time.
class usage_tracker
{
public:
    usage_tracker(std::chrono::nanoseconds half_life, std::size_t limit);

    /// Returns the value for `name`; creates it if there is none.
    usage_value usage_of(const std::string& name);

    /// Adds `slot_time` to a value; a negative time corrects an overestimate.
    void charge(
        const usage_value& value,
        std::chrono::nanoseconds slot_time,
        steady_time now);

    [[nodiscard]] std::size_t size() const
    {
        return values_.size();
    }

private:
    double weight(steady_time now);
    void rescale(double factor);
    void forget_least_used();

    std::chrono::duration<double> half_life_;
    std::size_t limit_;
    steady_time origin_{};
    std::unordered_map<std::string, usage_value> values_;
};

} // namespace hemlockshelf

#endif
