#include "benchmark/target_size/sample_statistics.hpp"

#include <algorithm>
#include <cstddef>

namespace hemlockshelf {

nlohmann::json summarize(duration_samples samples)
{
    if (samples.empty())
    {
        return nullptr;
    }
    std::ranges::sort(samples);
    const auto at = [&samples](double share)
    {
        const auto index =
            static_cast<std::size_t>(share * double(samples.size() - 1));
        return std::chrono::duration<double, std::micro>(samples[index])
            .count();
    };
    return {
        {"samples", samples.size()},
        {"min_us", at(0)},
        {"median_us", at(0.5)},
        {"p99_us", at(0.99)},
        {"max_us", at(1)}};
}

} // namespace hemlockshelf
