#include <atomic>
#include <string>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

constexpr const char* not_run_header = "X-Not-Executed";

call_settings settings_with_refusals()
{
    auto settings = long_timeout_settings();
    settings.protocol_.not_run_ = not_run_header;
    return settings;
}

std::string refusal_of(const std::string& id_field)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + id_field + not_run_header +
           ": 1\r\nContent-Length: 0\r\n\r\n";
}

const std::string id_of_request = "Hemlockshelf-Request-Id: id-1\r\n";

/// Reads the final answer. A gate that is short of processor time reports its
/// progress before.
std::string read_final_answer(raw_connection& entry)
{
    auto answer = entry.read_message();
    while (contains(answer, "HTTP/1.1 102 "))
    {
        answer = entry.read_message();
    }
    return answer;
}

/// Returns the gate's answer to a request that its upstream refuses with this
/// field.
std::string answer_after_refusal(const std::string& id_field)
{
    scripted_server upstream(
        [&id_field](raw_connection& gate)
        {
            gate.read_until("\r\n\r\n");
            gate.send(refusal_of(id_field));
            gate.read_all();
        });
    gate_under_test gate(upstream.address(), 4, 8, settings_with_refusals());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET"));
    return read_final_answer(entry);
}

} // namespace

// Guards against a refusal that an upstream sends again when the same request
// is sent to it a second time: the request would be reported as not run, and
// tried elsewhere, while the upstream runs it.
Test(
    repeated_refusal, a_request_does_not_return_to_a_connection_that_refused_it)
{
    std::atomic<int> begun = 0;
    scripted_server upstream(
        [&begun](raw_connection& gate)
        {
            const bool first = begun++ == 0;
            const auto request = gate.read_until("\r\n\r\n");
            if (!first)
            {
                gate.send(answer_to(request, "ran"));
                gate.read_all();
                return;
            }
            gate.send(refusal_of(id_of_request));
            if (!gate.read_until("\r\n\r\n").empty())
            {
                gate.send(refusal_of(id_of_request));
            }
            gate.read_all();
        });
    gate_under_test gate(upstream.address(), 4, 8, settings_with_refusals());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET"));
    const auto refused = read_final_answer(entry);
    cr_assert(contains(refused, "HTTP/1.1 503"));
    cr_assert(contains(refused, "Hemlockshelf-Not-Run: true"));
    entry.send(gate_request_text("GET"));
    const auto answered = read_final_answer(entry);
    cr_assert(contains(answered, "HTTP/1.1 200"), "%s", answered.c_str());
    cr_assert(contains(answered, "ran"));
}

// Guards against a refusal without a request id, which may belong to any
// earlier request, that passes for proof that this request has not run.
Test(repeated_refusal, a_refusal_that_names_no_request_proves_nothing)
{
    const auto answer = answer_after_refusal({});
    cr_assert_not(
        contains(answer, "Hemlockshelf-Not-Run"), "%s", answer.c_str());
    cr_assert(contains(answer, "upstream_failed"), "%s", answer.c_str());
}

// Guards against a refusal of an earlier request that passes for the answer to
// the next one on the connection.
Test(repeated_refusal, a_refusal_of_another_request_proves_nothing)
{
    const auto answer =
        answer_after_refusal("Hemlockshelf-Request-Id: id-0\r\n");
    cr_assert_not(
        contains(answer, "Hemlockshelf-Not-Run"), "%s", answer.c_str());
}

// Guards against replacing a connection at each refusal: other requests keep
// using it.
Test(repeated_refusal, other_requests_use_the_connection_again)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            gate.read_until("\r\n\r\n");
            gate.send(refusal_of(id_of_request));
            const auto next = gate.read_until("\r\n\r\n");
            gate.send(answer_to(next, "ran"));
            gate.read_all();
        });
    gate_under_test gate(upstream.address(), 4, 8, settings_with_refusals());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET"));
    cr_assert(contains(read_final_answer(entry), "HTTP/1.1 503"));
    auto other = gate_request_text("GET");
    other.replace(other.find("id-1"), 4, "id-2");
    entry.send(other);
    cr_assert(contains(read_final_answer(entry), "HTTP/1.1 200"));
    cr_assert(upstream.connections() == 1);
}
