#ifndef HEMLOCKSHELF_EXPERIMENT_MEASUREMENT_HPP
#define HEMLOCKSHELF_EXPERIMENT_MEASUREMENT_HPP

#include <string>
#include <vector>

#include "experiment/cluster_options.hpp"

namespace hemlockshelf {

/// Minimum, median, 99th percentile and maximum of a series.
struct summary
{
    std::size_t count_ = 0;
    double minimum_ = 0;
    double median_ = 0;
    double p99_ = 0;
    double maximum_ = 0;
};

/// Summarizes exact values; all zero if there are none.
summary summarize(std::vector<double> values);

/// A measured value `y_` at the size `x_`.
struct slope_point
{
    double x_ = 0;
    double y_ = 0;
};

/// Returns the slope of the least-squares line through the points; 0 if fewer
/// than two sizes were measured.
double slope_of(const std::vector<slope_point>& points);

/// One measured quantity.
struct measurement
{
    std::string name_;
    std::string unit_;
    summary values_;
    /// Conditions under which it was measured, or what went wrong.
    std::string note_;
};

using measurements = std::vector<measurement>;

/// Time from the request of an edit until every node runs it, by size of the
/// mesh, rate of edits and fault.
measurements measure_convergence(const cluster_options& base);

/// Configuration traffic: idle, under churn of upstreams, and per edit by
/// scope.
measurements measure_control_bytes(const cluster_options& base);

/// Convergence time and configuration traffic of the profiles `convergence` and
/// `bytes`, on two meshes that run at the same time and take edits in turn.
measurements measure_profiles(const cluster_options& base);

/// Slopes of the configuration traffic and of the time of one apply with the
/// number of rows and with the rate of edits.
measurements measure_slopes(const cluster_options& base);

/// Reads and writes of the platform: quiet, per edit, and while a failure
/// domain returns.
measurements measure_platform_load(const cluster_options& base);

/// Latency of calls through the mesh and directly to the upstream, interleaved
/// in one run.
measurements measure_added_latency(const cluster_options& base);

/// Calls served per second at twice the capacity of a service.
measurements measure_goodput(const cluster_options& base);

} // namespace hemlockshelf

#endif
