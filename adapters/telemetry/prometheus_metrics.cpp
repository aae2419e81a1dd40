#include "adapters/telemetry/prometheus_metrics.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hemlockshelf {

namespace {

// From 100 microseconds, well under the budget that a node may add to a call,
// to ten seconds.
const std::vector<double>& duration_buckets()
{
    static const std::vector<double> bounds{
        0.0001, 0.0002, 0.0004, 0.00064, 0.001, 0.002, 0.005, 0.01, 0.02,
        0.05,   0.1,    0.2,    0.5,     1,     2,     4,     10};
    return bounds;
}

/// The time series of one metric by its label. prometheus-cpp looks a series
/// up under an exclusive lock; this table lets concurrent calls share one.
template <class Series>
class series_table
{
public:
    template <class Create>
    Series& find_or_create(std::string_view label, Create&& create)
    {
        {
            const std::shared_lock lock(mutex_);
            const auto found = series_.find(label);
            if (found != series_.end())
            {
                return *found->second;
            }
        }
        const std::unique_lock lock(mutex_);
        auto& series = series_[std::string(label)];
        if (series == nullptr)
        {
            series = &create();
        }
        return *series;
    }

private:
    std::shared_mutex mutex_;
    std::map<std::string, Series*, std::less<>> series_;
};

std::map<std::string, std::string>
labels_for(const metric_info& info, std::string_view label)
{
    if (info.label_.empty())
    {
        return {};
    }
    return {{std::string(info.label_), std::string(label)}};
}

const metric_info& info_of(metric_id id)
{
    return metric_table()[static_cast<std::size_t>(id)];
}

} // namespace

class prometheus_metrics::registry
{
public:
    registry()
        : counters_(metric_table().size()), gauges_(metric_table().size()),
          histograms_(metric_table().size())
    {}

    prometheus::Counter& counter(metric_id id, std::string_view label)
    {
        const auto& info = info_of(id);
        return counters_[static_cast<std::size_t>(id)].find_or_create(
            label,
            [&]() -> prometheus::Counter&
            {
                return prometheus::BuildCounter()
                    .Name(std::string(info.name_))
                    .Help(std::string(info.help_))
                    .Register(*registry_)
                    .Add(labels_for(info, label));
            });
    }

    prometheus::Gauge& gauge(metric_id id, std::string_view label)
    {
        const auto& info = info_of(id);
        return gauges_[static_cast<std::size_t>(id)].find_or_create(
            label,
            [&]() -> prometheus::Gauge&
            {
                return prometheus::BuildGauge()
                    .Name(std::string(info.name_))
                    .Help(std::string(info.help_))
                    .Register(*registry_)
                    .Add(labels_for(info, label));
            });
    }

    prometheus::Histogram& histogram(metric_id id, std::string_view label)
    {
        const auto& info = info_of(id);
        return histograms_[static_cast<std::size_t>(id)].find_or_create(
            label,
            [&]() -> prometheus::Histogram&
            {
                return prometheus::BuildHistogram()
                    .Name(std::string(info.name_))
                    .Help(std::string(info.help_))
                    .Register(*registry_)
                    .Add(labels_for(info, label), duration_buckets());
            });
    }

    [[nodiscard]] std::string to_text() const
    {
        return prometheus::TextSerializer().Serialize(registry_->Collect());
    }

private:
    std::shared_ptr<prometheus::Registry> registry_ =
        std::make_shared<prometheus::Registry>();
    std::vector<series_table<prometheus::Counter>> counters_;
    std::vector<series_table<prometheus::Gauge>> gauges_;
    std::vector<series_table<prometheus::Histogram>> histograms_;
};

prometheus_metrics::prometheus_metrics()
    : registry_(std::make_unique<registry>())
{}

prometheus_metrics::~prometheus_metrics() = default;

void prometheus_metrics::add(
    metric_id id, std::string_view label, double amount)
{
    registry_->counter(id, label).Increment(amount);
}

void prometheus_metrics::set(metric_id id, std::string_view label, double value)
{
    registry_->gauge(id, label).Set(value);
}

void prometheus_metrics::observe(
    metric_id id, std::string_view label, double value)
{
    registry_->histogram(id, label).Observe(value);
}

std::string prometheus_metrics::to_text() const
{
    return registry_->to_text();
}

} // namespace hemlockshelf
