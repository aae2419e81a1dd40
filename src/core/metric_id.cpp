#include "hemlockshelf/core/metric_id.hpp"

#include <array>
#include <cstddef>

namespace hemlockshelf {

namespace {

using enum metric_id;
constexpr auto counter = metric_type::counter;
constexpr auto gauge = metric_type::gauge;
constexpr auto histogram = metric_type::histogram;

// clang-format off
constexpr std::array metrics{
    metric_info{calls, counter, "hemlockshelf_calls_total", "result", "Calls that the entry answered, by error kind or ok."},
    metric_info{call_duration, histogram, "hemlockshelf_call_duration_seconds", "class", "Time from a call's header to its answer at the entry."},
    metric_info{refusals, counter, "hemlockshelf_refusals_total", "kind", "Calls refused by this node's gate, by error kind."},
    metric_info{retries, counter, "hemlockshelf_retries_total", "reason", "Requests that the entry sent again."},
    metric_info{retries_denied, counter, "hemlockshelf_retries_denied_total", "reason", "Requests that the entry did not send again, by reason."},
    metric_info{spilled_calls, counter, "hemlockshelf_spilled_calls_total", "scope", "Calls sent outside the own failure domain: domain or region."},
    metric_info{gate_admissions, counter, "hemlockshelf_gate_admissions_total", "class", "Calls that the gate dispatched to its upstream."},
    metric_info{gate_slots_used, gauge, "hemlockshelf_gate_slots_used", "", "Slots of the upstream in use."},
    metric_info{gate_queue_length, gauge, "hemlockshelf_gate_queue_length", "", "Calls that wait at the gate."},
    metric_info{gate_bodies, gauge, "hemlockshelf_gate_bodies", "", "Long request bodies that are arriving at the gate."},
    metric_info{config_revision, gauge, "hemlockshelf_config_revision", "", "Revision in force."},
    metric_info{config_lag, gauge, "hemlockshelf_config_lag", "", "Revisions between the highest known and the one in force."},
    metric_info{config_applies, counter, "hemlockshelf_config_applies_total", "source", "Revisions put into force, by source: push, poll, repair or edit."},
    metric_info{config_apply_duration, histogram, "hemlockshelf_config_apply_duration_seconds", "", "Time to build and check a snapshot."},
    metric_info{config_rejections, counter, "hemlockshelf_config_rejections_total", "kind", "Deltas and snapshots that were rejected, by error kind."},
    metric_info{convergence_duration, histogram, "hemlockshelf_convergence_duration_seconds", "source", "Time from an edit's acceptance until this node runs it."},
    metric_info{control_sent_bytes, counter, "hemlockshelf_control_sent_bytes_total", "scope", "Control bytes sent: local, domain (other failure domain), region (other region) or platform."},
    metric_info{control_received_bytes, counter, "hemlockshelf_control_received_bytes_total", "scope", "Control bytes received, by scope."},
    metric_info{control_messages, counter, "hemlockshelf_control_messages_total", "message", "Control messages sent, by message."},
    metric_info{control_loop_delay, histogram, "hemlockshelf_control_loop_delay_seconds", "", "Time by which a periodic task of the control loop began too late."},
    metric_info{members, gauge, "hemlockshelf_members", "liveness", "Members known, by liveness."},
    metric_info{edits, counter, "hemlockshelf_edits_total", "result", "Edits submitted to this node, by error kind or accepted."},
    metric_info{platform_requests, counter, "hemlockshelf_platform_requests_total", "result", "Requests to the platform, by ok or error kind."},
    metric_info{credential_age, gauge, "hemlockshelf_credential_age_seconds", "", "Time since the accounts in force were confirmed to be current."},
    metric_info{configuration_age, gauge, "hemlockshelf_configuration_age_seconds", "", "Time since the published configuration in force was confirmed to be the newest."},
    metric_info{quota_share, gauge, "hemlockshelf_quota_share", "", "Share of its failure domain's part of the accounts' quotas that the node grants, 0 to 1. Over the nodes of a failure domain the sum is 1 at most."},
};
// clang-format on

constexpr bool in_enum_order()
{
    for (std::size_t index = 0; index < metrics.size(); ++index)
    {
        if (static_cast<std::size_t>(metrics[index].id_) != index)
        {
            return false;
        }
    }
    return metrics.size() == static_cast<std::size_t>(quota_share) + 1;
}

static_assert(in_enum_order(), "sinks index the table by id");

} // namespace

std::span<const metric_info> metric_table()
{
    return metrics;
}

} // namespace hemlockshelf
