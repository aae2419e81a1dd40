#ifndef HEMLOCKSHELF_CORE_METRIC_ID_HPP
#define HEMLOCKSHELF_CORE_METRIC_ID_HPP

#include <span>
#include <string_view>

namespace hemlockshelf {

/// All metrics. `metric_table` describes each.
enum class metric_id
{
    calls,
    call_duration,
    refusals,
    retries,
    retries_denied,
    spilled_calls,
    gate_admissions,
    gate_slots_used,
    gate_queue_length,
    gate_bodies,
    config_revision,
    config_lag,
    config_applies,
    config_apply_duration,
    config_rejections,
    convergence_duration,
    control_sent_bytes,
    control_received_bytes,
    control_messages,
    control_loop_delay,
    members,
    edits,
    platform_requests,
    credential_age,
    configuration_age,
    quota_share,
};

enum class metric_type
{
    counter,
    gauge,
    histogram,
};

/// Name, type, label and help text of a metric.
struct metric_info
{
    metric_id id_;
    metric_type type_;
    std::string_view name_;
    /// Name of the label; empty if there is none.
    std::string_view label_;
    std::string_view help_;
};

/// Returns the whole table, in the order of `metric_id`.
std::span<const metric_info> metric_table();

} // namespace hemlockshelf

#endif
