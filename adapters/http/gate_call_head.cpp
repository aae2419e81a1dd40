#include "adapters/http/gate_call_head.hpp"

#include <algorithm>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "adapters/http/headers.hpp"

namespace hemlockshelf {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

result<std::chrono::milliseconds> parse_time_left(const request_head& head)
{
    const auto text = field_value(head, headers::deadline_ms);
    const auto milliseconds = parse_milliseconds(text);
    if (!milliseconds)
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "gate: Hemlockshelf-Deadline-Ms: expected a number of "
                "milliseconds, given \"{}\"",
                text));
    }
    return std::chrono::milliseconds(*milliseconds);
}

void read_scheduling_fields(
    gate_call& call, const request_head& head, steady_time now)
{
    const auto priority =
        parse_milliseconds(field_value(head, headers::priority));
    call.priority_ =
        static_cast<std::uint32_t>(priority.value_or(call.priority_));
    const auto target =
        parse_milliseconds(field_value(head, headers::target_latency_ms));
    const auto objective =
        parse_milliseconds(field_value(head, headers::objective_ms));
    const auto max_wait =
        parse_milliseconds(field_value(head, headers::max_wait_ms));
    if (max_wait)
    {
        call.max_wait_ = std::chrono::milliseconds(*max_wait);
    }
    if (target && objective)
    {
        call.target_latency_ = std::chrono::milliseconds(*target);
        call.target_time_ = now + std::chrono::milliseconds(*objective);
    }
}

void append_upstream_fields(
    gate_request& prepared, request_head& head, const caller_protocol& protocol)
{
    // An upstream with other header names must not get the project's own
    // headers, not even from callers.
    const bool uses_own_names = protocol.request_id_ == headers::request_id;
    remove_connection_headers(head);
    remove_node_headers(head, uses_own_names);
    head.erase(headers::deadline_ms);
    append_head(prepared.head_, head);
}

} // namespace

result<gate_request> read_gate_request(
    request_parser& request, const caller_protocol& protocol, steady_time now)
{
    request_head& head = request.get();
    const auto checked = check_transfer_coding(head);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    const auto time_left = parse_time_left(head);
    if (!time_left)
    {
        return tl::unexpected<error>(time_left.error());
    }
    gate_request read;
    const std::string caller(field_value(head, headers::client_account));
    read.call_.account_ = client_account_id{
        caller.empty() ? std::string(field_value(head, headers::account))
                       : caller};
    read.call_.entry_vm_ =
        vm_id{std::string(field_value(head, headers::entry_vm))};
    read.call_.service_ =
        service_name{std::string(field_value(head, headers::service))};
    read.call_.class_ =
        find_traffic_class(field_value(head, headers::traffic_class))
            .value_or(traffic_class::standard);
    read.call_.deadline_ = now + *time_left;
    read_scheduling_fields(read.call_, head, now);
    read.pool_ = field_value(head, headers::pool);
    read.request_id_ = field_value(head, headers::request_id);
    const auto key = field_value(head, headers::idempotency_key);
    if (!key.empty())
    {
        read.idempotency_ = make_idempotency_id(read.call_.account_, key);
    }
    read.framing_.chunked_ = request.chunked();
    if (const auto length = request.content_length())
    {
        read.framing_.length_ = *length;
    }
    if (const auto length =
            parse_milliseconds(field_value(head, headers::body_length)))
    {
        read.framing_ = {false, *length};
    }
    read.expects_continue_ =
        beast::iequals(head[http::field::expect], "100-continue");
    read.call_.awaits_body_ =
        read.expects_continue_ && read.framing_.length_.value_or(1) > 0;
    if (read.call_.awaits_body_ && read.framing_.length_)
    {
        read.call_.body_ = byte_count{*read.framing_.length_};
    }
    read.to_head_request_ = head.method() == http::verb::head;
    read.version_ = head.version();
    append_upstream_fields(read, head, protocol);
    if (!protocol.account_header_.empty() && !caller.empty())
    {
        append_field(read.head_, protocol.account_header_, caller);
    }
    return read;
}

std::string make_upstream_request_head(
    const gate_request& request,
    const caller_protocol& protocol,
    std::string_view instance,
    std::chrono::nanoseconds time_left)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
    constexpr std::int64_t min_milliseconds = 1;
    std::string head = request.head_;
    append_field(
        head, protocol.deadline_ms_,
        static_cast<std::uint64_t>(
            std::max(milliseconds.count(), min_milliseconds)));
    if (!protocol.target_instance_.empty() && !instance.empty())
    {
        append_field(head, protocol.target_instance_, instance);
    }
    append_framing(head, request.framing_);
    head.append("\r\n");
    return head;
}

} // namespace hemlockshelf
