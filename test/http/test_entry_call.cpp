#include "adapters/http/entry_call.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "adapters/http/gate_call_head.hpp"
#include "hemlockshelf/accounts/key_hash.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using boost::beast::http::verb;

// Guards against a GET that is retried, or reported as retryable, although its
// route overrides the idempotence of every method.
Test(entry_call, a_route_may_decide_for_every_method)
{
    route_row row;
    cr_assert(is_repeatable(row, verb::get));
    cr_assert(!is_repeatable(row, verb::post));
    row.ignore_method_ = true;
    cr_assert(!is_repeatable(row, verb::get));
    row.idempotent_ = true;
    cr_assert(is_repeatable(row, verb::post));
}

namespace {

const caller_protocol keyed_protocol = []
{
    caller_protocol protocol;
    protocol.account_ = client_account_id{"mesh"};
    protocol.account_header_ = "X-Account";
    protocol.request_id_ = "X-Request-Id";
    protocol.deadline_ms_ = "X-Deadline-Ms";
    return protocol;
}();

std::shared_ptr<const config_snapshot> snapshot_with_account()
{
    pool_row pool;
    pool.service_ = service_name{"archive"};
    route_row route;
    route.host_ = "feeds.example";
    route.pool_ = row_key{"mesh/archive"};
    route.priority_ = 2;
    account_row account;
    account.key_hashes_.insert(sha256_hex("key-1"));
    account.priority_ = 1;
    config_tables tables;
    apply_change(tables, {table_id::pools, row_key{"mesh/archive"}, pool});
    apply_change(tables, {table_id::routes, row_key{"mesh/read"}, route});
    apply_change(
        tables, {table_id::accounts, row_key{"mesh/observatory"}, account});
    return *config_snapshot::build(revision{1}, std::move(tables));
}

/// Parses a GET request with further header fields.
void parse_request(request_parser& parser, const std::string& fields)
{
    const auto text =
        "GET /a HTTP/1.1\r\nHost: feeds.example\r\n" + fields + "\r\n";
    boost::system::error_code failure;
    parser.put(boost::asio::buffer(text), failure);
    cr_assert(!failure, "%s", failure.message().c_str());
}

result<entry_call> resolve(
    request_parser& parser, const std::string& fields, bool confirmed = true)
{
    parse_request(parser, fields);
    return resolve_call(
        snapshot_with_account(), parser, keyed_protocol, vm_id{"entry"}, {},
        confirmed);
}

/// Returns the head that a gate sends to its upstream for a request of an
/// entry.
std::string upstream_head(const std::string& entry_head)
{
    request_parser parser;
    boost::system::error_code failure;
    const auto text = entry_head + "Hemlockshelf-Deadline-Ms: 1000\r\n\r\n";
    parser.put(boost::asio::buffer(text), failure);
    cr_assert(!failure, "%s", failure.message().c_str());
    const auto request = read_gate_request(parser, keyed_protocol, {});
    cr_assert(request.has_value());
    return make_upstream_request_head(
        *request, keyed_protocol, {}, std::chrono::seconds{1});
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against an upstream that gets the API key, or an account that the
// caller has named instead of the one that holds its key.
Test(entry_call, upstreams_get_the_account_and_not_the_key)
{
    request_parser parser;
    const auto call = resolve(
        parser, "Authorization: Bearer key-1\r\nX-Account: insurer\r\n");
    cr_assert(call.has_value());
    const auto head = upstream_head(call->head_);
    cr_assert(!has(head, "key-1") && !has(head, "Authorization"));
    cr_assert(!has(head, "insurer"));
    cr_assert(has(head, "X-Account: observatory\r\n"));
    cr_assert(!has(head, "Hemlockshelf-"));
}

// Guards against a priority of the route that hides that of the account.
Test(entry_call, the_priority_of_the_account_takes_precedence)
{
    request_parser parser;
    const auto call = resolve(parser, "Authorization: Bearer key-1\r\n");
    cr_assert(has(call->head_, "Hemlockshelf-Priority: 1\r\n"));
}

// Guards against a request with an unknown key that is passed on, and against a
// caller that names the account in a header of the nodes.
Test(entry_call, refuses_a_caller_without_an_account)
{
    for (const std::string fields :
         {"", "Authorization: Bearer key-2\r\n",
          "Hemlockshelf-Client-Account: observatory\r\n"})
    {
        request_parser parser;
        const auto call = resolve(parser, fields);
        cr_assert(!call);
        cr_assert(call.error().kind_ == error_kind::unauthorized);
    }
    request_parser parser;
    const auto call = resolve(parser, "Authorization: Bearer key-1\r\n", false);
    cr_assert(call.error().kind_ == error_kind::credentials_unconfirmed);
}
