#include "adapters/telemetry/log_fields.hpp"

#include <array>

#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

using enum log_field_id;

// clang-format off
constexpr std::array fields{
    log_field_info{peer, "peer", "string", "Machine (vm) of the other node."},
    log_field_info{peer_address, "peer_address", "string", "Control address of the other node."},
    log_field_info{peer_region, "peer_region", "string", "Region of the other nodes."},
    log_field_info{peer_failure_domain, "peer_failure_domain", "string", "Failure domain of the other nodes."},
    log_field_info{origin, "origin", "string", "Machine (vm) of the node that started the push."},
    log_field_info{revision_number, "revision", "number", "Revision of the configuration."},
    log_field_info{source, "source", "string", "How the revision arrived: push, poll, repair or edit."},
    log_field_info{incarnation_number, "incarnation", "number", "Incarnation of the member record."},
    log_field_info{down, "down", "boolean", "Whether the record says that the member is down."},
    log_field_info{members, "members", "number", "Members that the node knows, itself included."},
    log_field_info{changes, "changes", "number", "Number of change rows."},
    log_field_info{age_ms, "age_ms", "number", "Time since the change was accepted or, if operators publish whole configurations, since the first reader received it, in milliseconds by the clocks of the two nodes."},
    log_field_info{pause_ms, "pause_ms", "number", "Length of the pause in milliseconds."},
    log_field_info{loop_delay_ms, "loop_delay_ms", "number", "Greatest delay of the node's control loop within the last seconds, in milliseconds; a message that arrived meanwhile waited about as long before it was handled."},
    log_field_info{records, "records", "number", "Number of member records."},
    log_field_info{client_account, "client_account", "string", "Client account of the operator."},
    log_field_info{new_level, "new_level", "string", "Level that is in force from now on."},
    log_field_info{call_id, "request_id", "string", "Id of the caller's request."},
    log_field_info{route, "route", "string", "Key of the request's route."},
    log_field_info{not_run, "not_run", "boolean", "Whether the request certainly was not run."},
    log_field_info{attempts, "attempts", "number", "Attempts that may have reached an upstream."},
    log_field_info{gates_asked, "gates_asked", "number", "Gates asked so far."},
    log_field_info{elapsed_ms, "elapsed_ms", "number", "Time that it took, in milliseconds; for a request since its head was read."},
    log_field_info{time_left_ms, "time_left_ms", "number", "Time until the request's deadline, in milliseconds."},
    log_field_info{free_slots, "free_slots", "number", "Free slots of the upstream as its gate counts them."},
    log_field_info{reason, "reason", "string", "What decided."},
    log_field_info{instance, "instance", "string", "Name of the upstream's instance; empty if it has none."},
    log_field_info{state, "state", "string", "State that is held from now on."},
    log_field_info{lines, "lines", "number", "Number of log lines."},
    log_field_info{bytes, "bytes", "number", "Bytes that were received."},
    log_field_info{bodies, "bodies", "number", "Long request bodies that the gate received at that moment, this one included."},
    log_field_info{requests_behind, "requests_behind", "number", "Pipelined requests of the connection that had been started and not answered."},
    log_field_info{error_kind, "error_kind", "string", "Name of the [error kind](../errors.md)."},
    log_field_info{detail, "detail", "string", "Message of the error."},
};
// clang-format on

constexpr bool in_enum_order()
{
    for (std::size_t index = 0; index < fields.size(); ++index)
    {
        if (static_cast<std::size_t>(fields[index].id_) != index)
        {
            return false;
        }
    }
    return fields.size() == static_cast<std::size_t>(detail) + 1;
}

static_assert(in_enum_order(), "the log indexes the table by id");
static_assert(fields.size() <= 64, "log_field_set has 64 bits");

} // namespace

std::span<const log_field_info> log_field_table()
{
    return fields;
}

nlohmann::json to_log_json(std::string_view value)
{
    return std::string(value);
}

nlohmann::json to_log_json(std::chrono::milliseconds value)
{
    return value.count();
}

nlohmann::json to_log_json(hemlockshelf::error_kind value)
{
    return to_log_json(error_properties_of(value).name_);
}

} // namespace hemlockshelf
