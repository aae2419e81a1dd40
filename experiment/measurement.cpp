#include "experiment/measurement.hpp"

#include <algorithm>
#include <cmath>

namespace hemlockshelf {

namespace {

double quantile(const std::vector<double>& sorted, double share)
{
    const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return sorted.at(index);
}

} // namespace

summary summarize(std::vector<double> values)
{
    if (values.empty())
    {
        return {};
    }
    std::ranges::sort(values);
    return {
        values.size(), values.front(), quantile(values, 0.5),
        quantile(values, 0.99), values.back()};
}

} // namespace hemlockshelf
