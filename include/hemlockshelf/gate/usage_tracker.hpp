#ifndef HEMLOCKSHELF_GATE_USAGE_TRACKER_HPP
#define HEMLOCKSHELF_GATE_USAGE_TRACKER_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Recent use of one account or entry. Values of the same ledger compare
/// directly; they are not in a unit of time.
using usage_value = std::shared_ptr<double>;

/// Recent use of the slots by name, where use counts half after each half-life.
/// Instead of making every value smaller as time passes, new use is weighted
/// more: values can then be compared without a look at the time.
class usage_tracker
{
public:
    usage_tracker(std::chrono::nanoseconds half_life, std::size_t limit);

    /// Returns the share called `name`, a new one if it is unknown.
    usage_value usage_of(const std::string& name);

    /// Adds `slot_time` to a share; a negative time takes it back.
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
