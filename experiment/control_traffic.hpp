#ifndef HEMLOCKSHELF_EXPERIMENT_CONTROL_TRAFFIC_HPP
#define HEMLOCKSHELF_EXPERIMENT_CONTROL_TRAFFIC_HPP

#include <chrono>
#include <map>
#include <string>

#include "experiment/cluster.hpp"

namespace hemlockshelf {

/// Configuration traffic as TCP payload, in bytes or bytes per second, by
/// scope: `local` (inside a failure domain), `domain` (between failure domains
/// of a region), `region` (between regions) and `platform`.
using bytes_by_scope = std::map<std::string, double>;

/// Measures the configuration traffic of a mesh since construction. The member
/// functions throw `std::exception` if the link stand-in does not respond.
class traffic_window
{
public:
    explicit traffic_window(const cluster& mesh);

    /// Returns the time since the window began, in seconds.
    [[nodiscard]] double seconds() const;
    /// Returns the bytes since the window began.
    [[nodiscard]] bytes_by_scope bytes() const;
    /// Returns the bytes per second since the window began.
    [[nodiscard]] bytes_by_scope rates() const;
    /// Returns the bytes since the window began, without idle traffic of
    /// `idle` bytes per second.
    [[nodiscard]] bytes_by_scope bytes_above(const bytes_by_scope& idle) const;

private:
    const cluster& mesh_;
    bytes_by_scope before_;
    std::chrono::steady_clock::time_point start_;
};

} // namespace hemlockshelf

#endif
