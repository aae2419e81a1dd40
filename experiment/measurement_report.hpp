#ifndef HEMLOCKSHELF_EXPERIMENT_MEASUREMENT_REPORT_HPP
#define HEMLOCKSHELF_EXPERIMENT_MEASUREMENT_REPORT_HPP

#include <string>

#include "experiment/measurement.hpp"

namespace hemlockshelf {

/// Conditions under which the values of a report were measured.
struct report_conditions
{
    std::string user_;
    std::string commit_;
    /// Load average of the machine before the first measurement.
    double load_before_ = 0;
    double load_after_ = 0;
};

/// Returns the machine's load average over one minute.
double load_average();

/// Writes `<folder>/<name>.json` and `<folder>/<name>.md`. Throws
/// `std::runtime_error` if that fails.
void write_report(
    const std::string& folder,
    const std::string& name,
    const report_conditions& conditions,
    const measurements& measured);

} // namespace hemlockshelf

#endif
