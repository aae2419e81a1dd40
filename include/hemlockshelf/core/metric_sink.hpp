#ifndef HEMLOCKSHELF_CORE_METRIC_SINK_HPP
#define HEMLOCKSHELF_CORE_METRIC_SINK_HPP

#include <string_view>

#include "hemlockshelf/core/metric_id.hpp"

namespace hemlockshelf {

/// Interface through which components report metrics. Implementations are
/// thread-safe and cheap enough to be called for each request. `label` is the
/// value of the metric's label, from a small fixed set; empty for a metric
/// without a label.
class metric_sink
{
public:
    virtual ~metric_sink() = default;

    /// Adds to a counter.
    virtual void
    add(metric_id id, std::string_view label = {}, double amount = 1) = 0;

    /// Sets a gauge.
    virtual void set(metric_id id, std::string_view label, double value) = 0;

    /// Adds an observation to a histogram, in the metric's unit.
    virtual void
    observe(metric_id id, std::string_view label, double value) = 0;

protected:
    metric_sink() = default;
    metric_sink(const metric_sink&) = default;
    metric_sink& operator=(const metric_sink&) = default;
};

} // namespace hemlockshelf

#endif
