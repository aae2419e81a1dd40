#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_PROMETHEUS_METRICS_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_PROMETHEUS_METRICS_HPP

#include <memory>
#include <string>

#include "hemlockshelf/core/metric_sink.hpp"

namespace hemlockshelf {

/// Keeps the metrics in a registry of prometheus-cpp.
class prometheus_metrics final : public metric_sink
{
public:
    prometheus_metrics();
    ~prometheus_metrics() override;

    prometheus_metrics(const prometheus_metrics&) = delete;
    prometheus_metrics& operator=(const prometheus_metrics&) = delete;

    void add(metric_id id, std::string_view label, double amount) override;
    void set(metric_id id, std::string_view label, double value) override;
    void observe(metric_id id, std::string_view label, double value) override;

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    class registry;
    std::unique_ptr<registry> registry_;
};

} // namespace hemlockshelf

#endif
