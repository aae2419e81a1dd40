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

double slope_of(const std::vector<slope_point>& points)
{
    const auto count = static_cast<double>(points.size());
    slope_point mean;
    for (const auto& point : points)
    {
        mean.x_ += point.x_ / count;
        mean.y_ += point.y_ / count;
    }
    double products = 0;
    double squares = 0;
    for (const auto& point : points)
    {
        products += (point.x_ - mean.x_) * (point.y_ - mean.y_);
        squares += (point.x_ - mean.x_) * (point.x_ - mean.x_);
    }
    return squares > 0 ? products / squares : 0;
}

} // namespace hemlockshelf
