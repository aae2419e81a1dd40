#include "adapters/http/gate_answer.hpp"

#include <charconv>

#include <boost/beast/http/status.hpp>

#include "adapters/http/headers.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

namespace {

constexpr unsigned first_error_status = 400;
constexpr unsigned first_server_error_status = 500;

call_outcome outcome_of(const response_head& head)
{
    const auto refusal = parse_refusal(head);
    if (!refusal)
    {
        return head.result_int() >= first_server_error_status
                   ? call_outcome::failed
                   : call_outcome::success;
    }
    switch (refusal->kind_)
    {
    case error_kind::overloaded:
    case error_kind::draining:
    case error_kind::quota_exceeded:
        return call_outcome::refused;
    case error_kind::deadline_exceeded:
        return call_outcome::cancelled;
    case error_kind::no_upstream:
    case error_kind::upstream_failed:
    case error_kind::outcome_unknown:
    case error_kind::internal:
        return call_outcome::failed;
    default:
        return call_outcome::success;
    }
}

std::optional<std::uint32_t> free_slots_of(const response_head& head)
{
    const auto text = field_value(head, headers::free_slots);
    std::uint32_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::optional<gate_refusal> parse_refusal(const response_head& head)
{
    const auto name = field_value(head, headers::error);
    const auto kind = find_error_kind(name);
    if (head.result_int() < first_error_status || !kind)
    {
        return std::nullopt;
    }
    const bool proven =
        field_value(head, headers::not_run) == "true" &&
        error_properties_of(*kind).execution_ == execution::not_run;
    const bool by_upstream = head.count(headers::refused_by_upstream) > 0;
    const auto room_in =
        parse_milliseconds(field_value(head, headers::room_in_ms));
    return gate_refusal{
        *kind, proven, by_upstream,
        std::chrono::milliseconds(
            static_cast<std::int64_t>(room_in.value_or(0)))};
}

call_report make_call_report(const response_head& head)
{
    return {outcome_of(head), free_slots_of(head)};
}

bool answers_request(const response_head& head, std::string_view id)
{
    return field_value(head, headers::request_id) == id;
}

std::string make_caller_response_head(
    response_head& head,
    const body_framing& framing,
    std::string_view id,
    bool keep_connection)
{
    const auto refusal = parse_refusal(head);
    remove_connection_headers(head);
    remove_node_headers(head, false);
    std::string text;
    append_head(text, head);
    if (refusal)
    {
        append_field(
            text, headers::error, error_properties_of(refusal->kind_).name_);
    }
    if (refusal && refusal->not_run_)
    {
        append_field(text, headers::not_run, "true");
    }
    append_field(text, headers::request_id, id);
    append_framing(text, framing);
    if (!keep_connection)
    {
        append_field(text, "Connection", "close");
    }
    text.append("\r\n");
    return text;
}

} // namespace hemlockshelf
