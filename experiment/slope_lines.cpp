#include "experiment/slope_lines.hpp"

#include <fmt/format.h>

namespace hemlockshelf {

void slope_lines::add(
    const std::string& name, const std::string& unit, slope_point point)
{
    auto& into = lines_[name];
    into.unit_ = unit;
    into.points_.push_back(point);
}

void slope_lines::report(
    const std::string& size, double step, measurements& found) const
{
    for (const auto& [name, series] : lines_)
    {
        found.push_back(
            {fmt::format("slope of {}", name),
             fmt::format("{} per {}", series.unit_, size),
             summarize({slope_of(series.points_) * step}),
             fmt::format(
                 "least squares over {} points", series.points_.size())});
    }
}

} // namespace hemlockshelf
