#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_LOG_EVENT_TABLE_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_LOG_EVENT_TABLE_HPP

#include <array>
#include <cstddef>
#include <string_view>

#include <spdlog/common.h>

#include "adapters/telemetry/log_fields.hpp"

namespace hemlockshelf {

/// The closed list of log events. `log_event_table` describes each.
enum class log_event_id
{
    node_failed,
    node_serving,
    process_paused,
    control_loop_delayed,
    revision_applied,
    revision_late,
    change_rows_rejected,
    configuration_rejected,
    configuration_read,
    announcement_rejected,
    directory_unavailable,
    departures_unavailable,
    changes_archived,
    archiving_failed,
    polling_failed,
    push_malformed,
    push_rejected,
    push_unanswered,
    repair_deltas_rejected,
    repair_snapshot_rejected,
    member_down,
    own_record_superseded,
    failure_domain_unreachable,
    failure_domain_reachable,
    control_task_failed,
    incoming_link_failed,
    outgoing_link_failed,
    call_thread_failed,
    call_connection_failed,
    log_level_changed,
    settings_reloaded,
    settings_rejected,
    node_starting,
    node_draining,
    node_stopped,
    call_retried,
    call_refused,
    call_failed,
    call_rejected,
    call_abandoned,
    caller_cut,
    pipelined_answer_lost,
    gate_refused,
    body_delayed,
    upstream_call_failed,
    upstream_changed,
    platform_lost,
    platform_regained,
    platform_restored,
    platform_behind,
    platform_caught_up,
    member_changed,
    accounts_confirmed,
    accounts_unconfirmed,
    configuration_confirmed,
    configuration_unconfirmed,
    lines_left_out,
};

/// Name, level, fields and meaning of an event.
struct log_event_info
{
    log_event_id id_;
    spdlog::level::level_enum level_;
    /// Stable: operators search for it.
    std::string_view name_;
    /// Every line of the event has exactly these.
    log_field_set fields_;
    std::string_view help_;
};

/// The whole table, in the order of `log_event_id`. It stands in the header so
/// that the fields of each call of `log_event` are checked at compile time.
// clang-format off
inline constexpr std::array log_event_table{
    log_event_info{log_event_id::node_failed, spdlog::level::err, "node_failed", {log_field_id::detail}, "The node cannot run and ends."},
    log_event_info{log_event_id::node_serving, spdlog::level::info, "node_serving", {log_field_id::revision_number, log_field_id::members}, "The node has joined and serves calls."},
    log_event_info{log_event_id::process_paused, spdlog::level::warn, "process_paused", {log_field_id::pause_ms}, "The process did not run for a while; it refreshes its state from peers before it routes again."},
    log_event_info{log_event_id::control_loop_delayed, spdlog::level::warn, "control_loop_delayed", {log_field_id::loop_delay_ms}, "The control loop ran a task so late that other nodes may have given up on an answer of this node: it has too much to do or too little processor time."},
    log_event_info{log_event_id::revision_applied, spdlog::level::info, "revision_applied", {log_field_id::revision_number, log_field_id::source}, "A revision is in force on this node."},
    log_event_info{log_event_id::revision_late, spdlog::level::warn, "revision_late", {log_field_id::revision_number, log_field_id::source, log_field_id::age_ms}, "A revision that came into force on this node is more than 1 s old: a step of its way here was lost or slow. Nodes that have started since do not report it."},
    log_event_info{log_event_id::change_rows_rejected, spdlog::level::warn, "change_rows_rejected", {log_field_id::revision_number, log_field_id::error_kind, log_field_id::detail}, "Change rows of the platform do not apply to the revision that the node held."},
    log_event_info{log_event_id::configuration_rejected, spdlog::level::warn, "configuration_rejected", {log_field_id::revision_number, log_field_id::error_kind, log_field_id::detail}, "A published configuration cannot be used; the revision named stays in force."},
    log_event_info{log_event_id::configuration_read, spdlog::level::info, "configuration_read", {log_field_id::revision_number, log_field_id::changes, log_field_id::bytes, log_field_id::elapsed_ms}, "The node has read what operators published; the revision is the newest that can be used, the time that of checking and preparing it. A high time means that the VM is short of processor time, many bytes that its link is."},
    log_event_info{log_event_id::announcement_rejected, spdlog::level::warn, "announcement_rejected", {log_field_id::error_kind, log_field_id::detail}, "What the upstream on this VM says of itself cannot be used; its last announcement counts."},
    log_event_info{log_event_id::directory_unavailable, spdlog::level::warn, "directory_unavailable", {log_field_id::error_kind, log_field_id::detail}, "The platform's directory of nodes could not be read or written; the node tries again later."},
    log_event_info{log_event_id::departures_unavailable, spdlog::level::warn, "departures_unavailable", {log_field_id::error_kind, log_field_id::detail}, "The platform's row of the upstreams that have left this VM could not be read or written; the node tries again. Until it succeeds, a departure is not acknowledged."},
    log_event_info{log_event_id::changes_archived, spdlog::level::info, "changes_archived", {log_field_id::revision_number, log_field_id::changes}, "Old change rows were moved to the archive; the revision is that of the snapshot blob written before."},
    log_event_info{log_event_id::archiving_failed, spdlog::level::warn, "archiving_failed", {log_field_id::revision_number, log_field_id::error_kind, log_field_id::detail}, "Old change rows were not archived; a later blob's writer goes on."},
    log_event_info{log_event_id::polling_failed, spdlog::level::err, "polling_failed", {log_field_id::detail}, "A poll of the platform ended with an exception; the next one follows as usual."},
    log_event_info{log_event_id::push_malformed, spdlog::level::warn, "push_malformed", {log_field_id::peer, log_field_id::origin, log_field_id::error_kind, log_field_id::detail}, "The deltas of a push cannot be read; the push is dropped."},
    log_event_info{log_event_id::push_rejected, spdlog::level::info, "push_rejected", {log_field_id::peer, log_field_id::origin, log_field_id::revision_number, log_field_id::error_kind, log_field_id::detail}, "A push of a revision does not apply; the node fetches from the sender instead."},
    log_event_info{log_event_id::push_unanswered, spdlog::level::warn, "push_unanswered", {log_field_id::peer_region, log_field_id::peer_failure_domain, log_field_id::revision_number, log_field_id::records, log_field_id::loop_delay_ms}, "No receiver of a push answered; repair by digest brings the change. The revision is 0 if the push had member records only. A high delay of the loop means that this node itself was slow and may have missed the answers."},
    log_event_info{log_event_id::repair_deltas_rejected, spdlog::level::warn, "repair_deltas_rejected", {log_field_id::peer_address, log_field_id::error_kind, log_field_id::detail}, "Deltas that a peer sent do not apply; the node asks it for the whole snapshot."},
    log_event_info{log_event_id::repair_snapshot_rejected, spdlog::level::warn, "repair_snapshot_rejected", {log_field_id::peer_address, log_field_id::error_kind, log_field_id::detail}, "The snapshot that a peer sent cannot be used."},
    log_event_info{log_event_id::member_down, spdlog::level::warn, "member_down", {log_field_id::peer, log_field_id::incarnation_number}, "The node found a member down and other nodes confirmed it."},
    log_event_info{log_event_id::own_record_superseded, spdlog::level::warn, "own_record_superseded", {log_field_id::incarnation_number, log_field_id::down}, "Peers hold a newer record of this node; it refutes the record with a higher incarnation."},
    log_event_info{log_event_id::failure_domain_unreachable, spdlog::level::warn, "failure_domain_unreachable", {log_field_id::peer_failure_domain}, "The node reaches no member of a failure domain."},
    log_event_info{log_event_id::failure_domain_reachable, spdlog::level::warn, "failure_domain_reachable", {log_field_id::peer_failure_domain}, "A failure domain that was unreachable answers again."},
    log_event_info{log_event_id::control_task_failed, spdlog::level::err, "control_task_failed", {log_field_id::detail}, "A task of the control loop ended with an exception; the loop goes on."},
    log_event_info{log_event_id::incoming_link_failed, spdlog::level::debug, "incoming_link_failed", {log_field_id::detail}, "A control connection that another node opened ended with an error."},
    log_event_info{log_event_id::outgoing_link_failed, spdlog::level::debug, "outgoing_link_failed", {log_field_id::detail}, "A control connection that this node opened ended with an error."},
    log_event_info{log_event_id::call_thread_failed, spdlog::level::err, "call_thread_failed", {log_field_id::detail}, "A handler on a call thread ended with an exception; the thread goes on."},
    log_event_info{log_event_id::call_connection_failed, spdlog::level::err, "call_connection_failed", {log_field_id::detail}, "A connection of the call path ended with an exception and was closed."},
    log_event_info{log_event_id::log_level_changed, spdlog::level::info, "log_level_changed", {log_field_id::new_level, log_field_id::client_account}, "An operator changed the log level."},
    log_event_info{log_event_id::settings_reloaded, spdlog::level::info, "settings_reloaded", {log_field_id::source, log_field_id::new_level}, "The settings file was read again after a signal or a change; the log level is in force."},
    log_event_info{log_event_id::settings_rejected, spdlog::level::warn, "settings_rejected", {log_field_id::source, log_field_id::error_kind, log_field_id::detail}, "The settings file cannot be used; the settings read before stay in force."},
    log_event_info{log_event_id::node_starting, spdlog::level::info, "node_starting", {log_field_id::incarnation_number}, "The node has opened its listeners and looks for the configuration."},
    log_event_info{log_event_id::node_draining, spdlog::level::info, "node_draining", {log_field_id::revision_number, log_field_id::members}, "The node was asked to stop; it takes no new work for its upstream and tells its callers to go."},
    log_event_info{log_event_id::node_stopped, spdlog::level::info, "node_stopped", {log_field_id::revision_number}, "The node has finished the calls in progress and ends."},
    log_event_info{log_event_id::call_retried, spdlog::level::info, "call_retried", {log_field_id::call_id, log_field_id::route, log_field_id::peer, log_field_id::error_kind, log_field_id::detail, log_field_id::not_run, log_field_id::attempts, log_field_id::gates_asked, log_field_id::time_left_ms}, "The entry sends a request to another gate after the failure that the line names; the peer is the gate that failed or refused."},
    log_event_info{log_event_id::call_refused, spdlog::level::info, "call_refused", {log_field_id::call_id, log_field_id::route, log_field_id::revision_number, log_field_id::error_kind, log_field_id::detail, log_field_id::reason, log_field_id::attempts, log_field_id::gates_asked, log_field_id::elapsed_ms, log_field_id::time_left_ms}, "The entry answered that the request was not run; the reason says why it did not ask another gate."},
    log_event_info{log_event_id::call_failed, spdlog::level::info, "call_failed", {log_field_id::call_id, log_field_id::route, log_field_id::revision_number, log_field_id::error_kind, log_field_id::detail, log_field_id::reason, log_field_id::attempts, log_field_id::gates_asked, log_field_id::elapsed_ms, log_field_id::time_left_ms}, "The entry has no answer to a request that may have run; the reason says why it was not sent again."},
    log_event_info{log_event_id::call_rejected, spdlog::level::info, "call_rejected", {log_field_id::call_id, log_field_id::revision_number, log_field_id::error_kind, log_field_id::detail}, "The entry answered without looking for a gate: it holds no current configuration, no route matches, or the account has used its share."},
    log_event_info{log_event_id::call_abandoned, spdlog::level::info, "call_abandoned", {log_field_id::call_id, log_field_id::route, log_field_id::attempts, log_field_id::gates_asked, log_field_id::elapsed_ms}, "The caller closed its connection before it had an answer; the work on its request was ended."},
    log_event_info{log_event_id::caller_cut, spdlog::level::info, "caller_cut", {log_field_id::reason, log_field_id::requests_behind, log_field_id::detail}, "The entry closed a caller's connection on which a request had no whole answer. Requests behind it on the connection may have been passed on and end with it."},
    log_event_info{log_event_id::pipelined_answer_lost, spdlog::level::info, "pipelined_answer_lost", {log_field_id::detail}, "The answer to a request that a caller had sent behind another one was lost inside the entry. The caller gets a 502; the request may have run."},
    log_event_info{log_event_id::gate_refused, spdlog::level::info, "gate_refused", {log_field_id::call_id, log_field_id::peer, log_field_id::error_kind, log_field_id::detail, log_field_id::free_slots, log_field_id::time_left_ms}, "The gate did not pass a request on to its upstream; the peer is the request's entry."},
    log_event_info{log_event_id::body_delayed, spdlog::level::info, "body_delayed", {log_field_id::call_id, log_field_id::peer, log_field_id::bytes, log_field_id::bodies, log_field_id::elapsed_ms}, "The body of a request took long to arrive at the gate; many bodies at once mean that the link of the VM is full. The peer is the request's entry."},
    log_event_info{log_event_id::upstream_call_failed, spdlog::level::info, "upstream_call_failed", {log_field_id::call_id, log_field_id::peer, log_field_id::instance, log_field_id::error_kind, log_field_id::detail, log_field_id::not_run, log_field_id::elapsed_ms}, "The upstream refused a request or gave no usable answer to it; the peer is the request's entry."},
    log_event_info{log_event_id::upstream_changed, spdlog::level::info, "upstream_changed", {log_field_id::instance, log_field_id::state}, "The node's belief about the upstream on its VM has changed."},
    log_event_info{log_event_id::platform_lost, spdlog::level::warn, "platform_lost", {log_field_id::revision_number}, "The platform does not answer; the revision named stays in force."},
    log_event_info{log_event_id::platform_regained, spdlog::level::info, "platform_regained", {log_field_id::revision_number}, "The platform answers again."},
    log_event_info{log_event_id::platform_restored, spdlog::level::warn, "platform_restored", {log_field_id::revision_number}, "The platform has come back from an older copy of its tables and may lack the latest changes. The node checks what it has written there; the revision named stays in force until a newer one is published."},
    log_event_info{log_event_id::platform_behind, spdlog::level::warn, "platform_behind", {log_field_id::revision_number}, "The platform has come back from an older copy that lacks the revision named, which stays in force. Until operators publish that configuration or a newer one, the platform's answers confirm nothing: requests that need an API key are refused as not run once the last confirmation is too old."},
    log_event_info{log_event_id::platform_caught_up, spdlog::level::info, "platform_caught_up", {log_field_id::revision_number}, "The platform holds the revision named, or a newer one, again."},
    log_event_info{log_event_id::member_changed, spdlog::level::info, "member_changed", {log_field_id::peer, log_field_id::state, log_field_id::incarnation_number}, "The node's belief about the upstream beside another node has changed."},
    log_event_info{log_event_id::accounts_confirmed, spdlog::level::info, "accounts_confirmed", {log_field_id::revision_number}, "The accounts of the revision named are confirmed to be current; callers are authenticated by them."},
    log_event_info{log_event_id::accounts_unconfirmed, spdlog::level::warn, "accounts_unconfirmed", {log_field_id::revision_number}, "The accounts could not be confirmed for too long: neither the platform nor a node that reaches it answers. Requests that need an API key are refused as not run."},
    log_event_info{log_event_id::configuration_confirmed, spdlog::level::info, "configuration_confirmed", {log_field_id::revision_number}, "The revision named is confirmed to be the newest again; calls are handled by it."},
    log_event_info{log_event_id::configuration_unconfirmed, spdlog::level::warn, "configuration_unconfirmed", {log_field_id::revision_number, log_field_id::loop_delay_ms}, "The node could not confirm in time that no newer configuration was published, and is not cut off: it knows of a newer one, or has too little processor time. Calls are refused as not run."},
    log_event_info{log_event_id::lines_left_out, spdlog::level::warn, "lines_left_out", {log_field_id::lines}, "Lines that were not written since the last such line, because there were too many or the reader of standard output was too slow."},
};
// clang-format on

/// Returns the description of an event.
constexpr const log_event_info& info_of(log_event_id event)
{
    return log_event_table[static_cast<std::size_t>(event)];
}

namespace detail {

constexpr bool log_events_in_enum_order()
{
    for (std::size_t index = 0; index < log_event_table.size(); ++index)
    {
        if (static_cast<std::size_t>(log_event_table[index].id_) != index)
        {
            return false;
        }
    }
    return log_event_table.size() ==
           static_cast<std::size_t>(log_event_id::lines_left_out) + 1;
}

static_assert(log_events_in_enum_order(), "info_of indexes the table by id");

} // namespace detail

} // namespace hemlockshelf

#endif
