#include "adapters/rpc/byte_meter.hpp"

namespace hemlockshelf {

byte_meter::byte_meter(metric_sink& metrics) : metrics_(metrics) {}

byte_meter::~byte_meter()
{
    if (scope_.empty())
    {
        set_scope("unknown");
    }
}

void byte_meter::sent(std::uint64_t bytes)
{
    if (scope_.empty())
    {
        held_sent_ += bytes;
        return;
    }
    metrics_.add(
        metric_id::control_sent_bytes, scope_, static_cast<double>(bytes));
}

void byte_meter::received(std::uint64_t bytes)
{
    total_received_ += bytes;
    if (scope_.empty())
    {
        held_received_ += bytes;
        return;
    }
    metrics_.add(
        metric_id::control_received_bytes, scope_, static_cast<double>(bytes));
}

void byte_meter::set_scope(std::string_view scope)
{
    if (!scope_.empty() || scope.empty())
    {
        return;
    }
    scope_ = scope;
    if (held_sent_ > 0)
    {
        sent(held_sent_);
    }
    if (held_received_ > 0)
    {
        metrics_.add(
            metric_id::control_received_bytes, scope_,
            static_cast<double>(held_received_));
    }
}

} // namespace hemlockshelf
