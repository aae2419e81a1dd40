#include "hemlockshelf/gate/usage_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hemlockshelf {

namespace {

// Weights of up to 2^100 are far below the largest double.
constexpr double max_half_lives = 100;

} // namespace

usage_tracker::usage_tracker(
    std::chrono::nanoseconds half_life, std::size_t limit)
    : half_life_(half_life), limit_(std::max<std::size_t>(limit, 2))
{}

usage_value usage_tracker::usage_of(const std::string& name)
{
    const auto found = values_.find(name);
    if (found != values_.end())
    {
        return found->second;
    }
    if (values_.size() >= limit_)
    {
        forget_least_used();
    }
    return values_.emplace(name, std::make_shared<double>(0)).first->second;
}

void usage_tracker::charge(
    const usage_value& value,
    std::chrono::nanoseconds slot_time,
    steady_time now)
{
    const std::chrono::duration<double> seconds = slot_time;
    *value = std::max(0.0, *value + seconds.count() * weight(now));
}

double usage_tracker::weight(steady_time now)
{
    const double half_lives = (now - origin_) / half_life_;
    if (half_lives > max_half_lives)
    {
        rescale(std::exp2(-half_lives));
        origin_ = now;
        return 1;
    }
    return std::exp2(half_lives);
}

void usage_tracker::rescale(double factor)
{
    for (auto& [name, value] : values_)
    {
        *value *= factor;
    }
}

// Evicts half of the values at once, so that the amortized cost per new name is
// constant.
void usage_tracker::forget_least_used()
{
    std::vector<double> values;
    values.reserve(values_.size());
    for (const auto& [name, value] : values_)
    {
        values.push_back(*value);
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    const double median = *middle;
    std::erase_if(
        values_,
        [median](const auto& entry)
        {
            return *entry.second <= median;
        });
}

} // namespace hemlockshelf
