#include "hemlockshelf/gate/gate_call.hpp"

namespace hemlockshelf {

work_kind work_kind_of(const gate_call& call)
{
    return {call.class_, call.priority_, call.target_latency_};
}

std::string_view to_string(refusal_reason value)
{
    switch (value)
    {
    case refusal_reason::no_capacity:
        return "no_capacity";
    case refusal_reason::other_service:
        return "other_service";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::expired:
        return "expired";
    case refusal_reason::wait_too_long:
        return "wait_too_long";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::link_full:
        return "link_full";
    case refusal_reason::displaced:
        return "displaced";
    }
    return "unknown";
}

error_kind refusal_kind(refusal_reason value)
{
    switch (value)
    {
    case refusal_reason::no_capacity:
        return error_kind::not_ready;
    case refusal_reason::other_service:
        return error_kind::no_upstream;
    case refusal_reason::draining:
        return error_kind::draining;
    case refusal_reason::expired:
        return error_kind::deadline_exceeded;
    default:
        return error_kind::overloaded;
    }
}

} // namespace hemlockshelf
