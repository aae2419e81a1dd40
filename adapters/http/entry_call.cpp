#include "adapters/http/entry_call.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "adapters/http/headers.hpp"
#include "hemlockshelf/accounts/authentication.hpp"
#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/retry/first_gate_wait_limit.hpp"

namespace hemlockshelf {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::size_t max_request_id_bytes = 128;

std::string make_request_id()
{
    auto& random = thread_random();
    return fmt::format("{:016x}{:016x}", random(), random());
}

/// Returns the position, in [0, 1), that selects one of the weighted pools of a
/// route for the next request. Multiples of the golden ratio are spread more
/// evenly than random numbers, so that the shares are also met over few
/// requests.
double next_weight_position()
{
    constexpr double golden_ratio = 0.618033988749895;
    thread_local double position = random_fraction(thread_random());
    position += golden_ratio;
    position -= position >= 1 ? 1 : 0;
    return position;
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

result<void> check_head(const request_head& head)
{
    if (head.method() == http::verb::connect ||
        head.count(http::field::upgrade) > 0)
    {
        return make_error(
            error_kind::bad_request,
            "request: CONNECT and Upgrade are not supported");
    }
    if (head.count(http::field::host) != 1)
    {
        return make_error(
            error_kind::bad_request, "request: expected one Host header");
    }
    if (head.count(headers::account) > 1)
    {
        return make_error(
            error_kind::bad_request,
            "request: expected one Hemlockshelf-Account header");
    }
    return check_transfer_coding(head);
}

result<steady_time> deadline_of(
    const request_head& head,
    const route_row& route,
    const caller_protocol& protocol,
    steady_time now)
{
    auto time_left = route.timeout_;
    const auto* const name = protocol.deadline_ms_.c_str();
    if (head.count(name) > 0)
    {
        const auto text = field_value(head, name);
        const auto given = parse_milliseconds(text);
        if (!given)
        {
            return make_error(
                error_kind::bad_request,
                fmt::format(
                    "{}: expected a number of milliseconds, given \"{}\"", name,
                    text));
        }
        time_left = std::min(time_left, std::chrono::milliseconds(*given));
    }
    return now + time_left;
}

result<const resolved_route*> find_route(
    const config_snapshot& snapshot,
    const client_account_id& account,
    const caller_protocol& protocol,
    const request_head& head)
{
    if (!protocol.account_ && !snapshot.has_account(account))
    {
        return make_error(
            error_kind::unknown_account,
            fmt::format("account \"{}\": unknown", account.value()));
    }
    const auto host = without_port(to_view(head[http::field::host]));
    const auto target = to_view(head.target());
    const auto path = target.substr(0, target.find('?'));
    const auto* route = snapshot.find_route(account, host, path);
    if (route == nullptr)
    {
        return make_error(
            error_kind::no_route,
            fmt::format(
                "no route of account \"{}\" for host \"{}\" and path \"{}\"",
                account.value(), host, path));
    }
    return route;
}

/// Returns when the target latency is exceeded. The time that a caller has
/// spent on earlier, refused requests counts: its deadline is then nearer than
/// the route's timeout.
steady_time objective_of(const route_row& route, steady_time deadline)
{
    return route.target_latency_.count() == 0
               ? steady_time::max()
               : deadline - route.timeout_ + route.target_latency_;
}

void append_objective(
    std::string& head, const entry_call& call, steady_time now)
{
    if (call.objective_ == steady_time::max())
    {
        return;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(call.objective_, now) - now);
    append_field(
        head, headers::objective_ms, static_cast<std::uint64_t>(left.count()));
    append_field(
        head, headers::target_latency_ms,
        static_cast<std::uint64_t>(
            call.route_->route_->target_latency_.count()));
}

// As long as other gates have not been asked, a long wait in the queue of one
// gate costs more than the round trip to ask the next one.
void append_max_wait(std::string& head, const entry_call& call, bool may_queue)
{
    const auto target = call.route_->route_->target_latency_;
    if (may_queue || target.count() == 0)
    {
        return;
    }
    append_field(
        head, headers::max_wait_ms,
        static_cast<std::uint64_t>(first_gate_wait_limit(target).count()));
}

std::string
request_id_of(const request_head& head, const caller_protocol& protocol)
{
    const auto given = field_value(head, protocol.request_id_.c_str());
    return given.empty() || given.size() > max_request_id_bytes
               ? make_request_id()
               : std::string(given);
}

client_account_id
account_of_call(const request_head& head, const caller_protocol& protocol)
{
    return protocol.account_ ? *protocol.account_
                             : client_account_id{std::string(
                                   field_value(head, headers::account))};
}

bool is_idempotent(http::verb method)
{
    return method == http::verb::get || method == http::verb::head ||
           method == http::verb::options || method == http::verb::put ||
           method == http::verb::delete_;
}

/// Returns the account of the caller's API key; see `authenticate_caller`.
result<const known_account*> find_caller(
    const config_snapshot& snapshot,
    const client_account_id& owner,
    const request_head& head,
    const route_row& route,
    bool accounts_confirmed)
{
    const auto name = http::field::authorization;
    return authenticate_caller(
        {snapshot.accounts(), owner, accounts_confirmed},
        {head.count(name), to_view(head[name])}, route.public_);
}

/// Removes what identifies the caller to the node only, and what may not reach
/// the upstream unless the node sets it.
void remove_credentials(
    const entry_call& call, request_head& head, const caller_protocol& protocol)
{
    if (!call.snapshot_->accounts().has_accounts(call.account_))
    {
        return;
    }
    head.erase(http::field::authorization);
    if (!protocol.account_header_.empty())
    {
        head.erase(protocol.account_header_);
    }
}

/// The priority of an account takes precedence over that of the route.
std::uint32_t priority_of(const entry_call& call)
{
    const auto own = call.route_->route_->priority_;
    return call.caller_ == nullptr
               ? own
               : call.caller_->row_->priority_.value_or(own);
}

void prepare_head(
    entry_call& call,
    request_head& head,
    const caller_protocol& protocol,
    const vm_id& entry_vm)
{
    remove_connection_headers(head);
    remove_node_headers(head, false);
    head.erase(protocol.deadline_ms_);
    if (!protocol.target_instance_.empty())
    {
        head.erase(protocol.target_instance_);
    }
    if (!protocol.caller_service_.empty())
    {
        head.set(protocol.caller_service_, protocol.caller_service_value_);
    }
    remove_credentials(call, head, protocol);
    append_head(call.head_, head);
    append_field(call.head_, headers::account, call.account_.value());
    append_field(call.head_, headers::pool, call.route_->pool_key_.value());
    append_field(
        call.head_, headers::service, call.route_->pool_->service_.value());
    append_field(
        call.head_, headers::traffic_class,
        to_string(call.route_->route_->class_));
    append_field(
        call.head_, headers::priority, std::uint64_t{priority_of(call)});
    if (call.caller_ != nullptr)
    {
        append_field(
            call.head_, headers::client_account, call.caller_->name_.value());
    }
    append_field(call.head_, headers::entry_vm, entry_vm.value());
    append_field(call.head_, headers::request_id, call.request_id_);
}

} // namespace

result<entry_call> resolve_call(
    std::shared_ptr<const config_snapshot> snapshot,
    request_parser& request,
    const caller_protocol& protocol,
    const vm_id& entry_vm,
    steady_time now,
    bool accounts_confirmed)
{
    request_head& head = request.get();
    const auto checked = check_head(head);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    entry_call call;
    call.account_ = account_of_call(head, protocol);
    const auto route = find_route(*snapshot, call.account_, protocol, head);
    if (!route)
    {
        return tl::unexpected<error>(route.error());
    }
    const auto& row = *(*route)->route_;
    const auto caller =
        find_caller(*snapshot, call.account_, head, row, accounts_confirmed);
    if (!caller)
    {
        return tl::unexpected<error>(caller.error());
    }
    const auto deadline = deadline_of(head, row, protocol, now);
    if (!deadline)
    {
        return tl::unexpected<error>(deadline.error());
    }
    call.snapshot_ = std::move(snapshot);
    call.caller_ = *caller;
    call.route_ = &choose_split_target(**route, next_weight_position());
    call.request_id_ = request_id_of(head, protocol);
    call.framing_.chunked_ = request.chunked();
    if (const auto length = request.content_length())
    {
        call.framing_.length_ = *length;
    }
    call.started_ = now;
    call.deadline_ = *deadline;
    call.objective_ = objective_of(row, *deadline);
    call.idempotent_ = is_repeatable(row, head.method());
    call.to_head_request_ = head.method() == http::verb::head;
    call.version_ = head.version();
    call.expects_continue_ =
        call.version_ >= http_1_1 &&
        beast::iequals(head[http::field::expect], "100-continue");
    prepare_head(call, head, protocol, entry_vm);
    return call;
}

bool is_idempotent_call(
    const config_snapshot& snapshot,
    const request_head& head,
    const caller_protocol& protocol)
{
    const auto account = account_of_call(head, protocol);
    const auto route = find_route(snapshot, account, protocol, head);
    return check_head(head) && route &&
           is_repeatable(*(*route)->route_, head.method());
}

bool is_repeatable(const route_row& row, http::verb method)
{
    return row.idempotent_ || (!row.ignore_method_ && is_idempotent(method));
}

std::optional<std::string> attempt_head(
    const entry_call& call,
    const attempt_parameters& parameters,
    steady_time now)
{
    const auto time_left = parameters.time_left_;
    if (!time_left || *time_left < std::chrono::milliseconds(1))
    {
        return std::nullopt;
    }
    std::string head;
    constexpr std::size_t added_bytes = 160;
    head.reserve(call.head_.size() + added_bytes);
    head = call.head_;
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(*time_left);
    append_field(
        head, headers::deadline_ms,
        static_cast<std::uint64_t>(milliseconds.count()));
    append_field(head, headers::attempt, std::uint64_t{parameters.number_});
    append_objective(head, call, now);
    append_max_wait(head, call, parameters.may_queue_);
    body_framing framing = call.framing_;
    if (parameters.handshake_)
    {
        append_field(head, "Expect", "100-continue");
        if (framing.length_)
        {
            append_field(head, headers::body_length, *framing.length_);
        }
        framing = {true, std::nullopt};
    }
    append_framing(head, framing);
    head.append("\r\n");
    return head;
}

} // namespace hemlockshelf
