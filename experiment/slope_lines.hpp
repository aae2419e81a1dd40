#ifndef HEMLOCKSHELF_EXPERIMENT_SLOPE_LINES_HPP
#define HEMLOCKSHELF_EXPERIMENT_SLOPE_LINES_HPP

#include <map>
#include <string>
#include <vector>

#include "experiment/measurement.hpp"

namespace hemlockshelf {

/// Collects measured points by the name of their quantity.
class slope_lines
{
public:
    /// Adds a point; `unit` is that of `point.y_`.
    void
    add(const std::string& name, const std::string& unit, slope_point point);

    /// Adds the slope of each quantity to `found`, for `step` units of
    /// `point.x_`, which `size` names.
    void
    report(const std::string& size, double step, measurements& found) const;

private:
    struct line
    {
        std::string unit_;
        std::vector<slope_point> points_;
    };

    std::map<std::string, line> lines_;
};

} // namespace hemlockshelf

#endif
