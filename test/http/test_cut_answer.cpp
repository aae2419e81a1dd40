#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

constexpr std::size_t streamed_bytes = 200'000;

/// Answers requests that have the header `X-Name: cut` with `part` and closes
/// the connection; answers other requests completely.
scripted_server::script truncating_gate(
    std::atomic<int>& executions,
    const std::string& framing,
    const std::string& part)
{
    return [&executions, framing, part](raw_connection& entry)
    {
        while (true)
        {
            const auto head = entry.read_until("\r\n\r\n");
            if (head.empty())
            {
                return;
            }
            ++executions;
            if (contains(head, "X-Name: cut"))
            {
                entry.send(head_to(head, framing) + part);
                return;
            }
            entry.send(answer_to(head, "served"));
        }
    };
}

std::string request_for_truncated_answer()
{
    return caller_request("GET", {}, "X-Name: cut\r\n");
}

} // namespace

// Guards against closing the caller's connection because one answer was
// truncated: later pipelined requests have been forwarded and would get no
// answer.
Test(cut_answer, requests_behind_a_cut_answer_are_answered)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        truncating_gate(executions, "Content-Length: 10\r\n", "half"));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(request_for_truncated_answer() + caller_request("GET"));
    const auto first = caller.read_message();
    cr_assert_eq(first.substr(0, 12), "HTTP/1.1 502", "%s", first.c_str());
    cr_assert_eq(header_of(first, "Hemlockshelf-Error"), "upstream_failed");
    cr_assert(!contains(first, "Not-Run"));
    cr_assert(contains(caller.read_message(), "served"));
    cr_assert_eq(executions, 2);
}

// Guards against closing the connection if the second of three pipelined
// requests gets a truncated answer.
Test(cut_answer, a_cut_answer_in_the_middle_of_a_pipeline_costs_no_other)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        truncating_gate(executions, "Content-Length: 10\r\n", "half"));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(
        caller_request("GET") + request_for_truncated_answer() +
        caller_request("GET"));
    cr_assert(contains(caller.read_message(), "served"));
    const auto second = caller.read_message();
    cr_assert_eq(second.substr(0, 12), "HTTP/1.1 502", "%s", second.c_str());
    cr_assert(contains(caller.read_message(), "served"));
}

// Guards against closing the connection if a chunked answer is malformed in the
// middle.
Test(cut_answer, a_garbled_answer_keeps_the_connection)
{
    std::atomic<int> executions = 0;
    scripted_server gate(truncating_gate(
        executions, "Transfer-Encoding: chunked\r\n",
        "4\r\nhalf\r\nno chunk\r\n"));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(request_for_truncated_answer());
    const auto first = caller.read_message();
    cr_assert_eq(first.substr(0, 12), "HTTP/1.1 502", "%s", first.c_str());
    caller.send(caller_request("GET"));
    cr_assert(contains(caller.read_message(), "served"));
}

// Guards against reporting a truncated answer to the caller although the
// request can be retried.
Test(cut_answer, an_idempotent_request_is_sent_again)
{
    std::atomic<int> executions = 0;
    scripted_server truncating(
        truncating_gate(executions, "Content-Length: 10\r\n", "half"));
    scripted_server complete(
        [](raw_connection& entry)
        {
            entry.send(answer_to(entry.read_until("\r\n\r\n"), "served"));
            entry.read_all();
        });
    entry_under_test entry({truncating.address(), complete.address()});
    const auto answer = entry.call(request_for_truncated_answer());
    cr_assert(contains(answer, "\r\n\r\nserved"), "%s", answer.c_str());
    cr_assert_eq(executions, 1);
}

// Guards against running an order twice because its answer was truncated.
Test(cut_answer, an_order_is_not_sent_again)
{
    std::atomic<int> executions = 0;
    scripted_server truncating(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send("HTTP/1.1 100 Continue\r\n\r\n");
            entry.read_until("0\r\n\r\n");
            ++executions;
            entry.send(head_to(head, "Content-Length: 10\r\n") + "half");
        });
    entry_under_test entry({truncating.address(), truncating.address()});
    const auto answer = entry.call(caller_request("POST", "order"));
    cr_assert_eq(answer.substr(0, 12), "HTTP/1.1 502", "%s", answer.c_str());
    cr_assert(!contains(answer, "Not-Run"));
    cr_assert_eq(executions, 1);
}

// Guards against closing the connection without an answer if an answer stalls
// in the middle until the deadline.
Test(cut_answer, an_answer_that_stops_ends_in_an_answer_at_the_deadline)
{
    scripted_server gate(
        [](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(head_to(head, "Content-Length: 10\r\n") + "half");
            entry.read_all();
        });
    entry_under_test entry({gate.address()}, std::chrono::milliseconds{400});
    const auto answer = entry.call(caller_request("GET"));
    cr_assert_eq(answer.substr(0, 12), "HTTP/1.1 504", "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
}

// Guards against buffering a long answer as a whole: the first bytes must reach
// the caller before the gate sends the last ones.
Test(cut_answer, a_long_answer_is_streamed)
{
    std::atomic<bool> start_received = false;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            const auto whole =
                answer_to(head, std::string(streamed_bytes, 'x'));
            entry.send(whole.substr(0, whole.size() / 2));
            while (!start_received)
            {
                std::this_thread::yield();
            }
            entry.send(whole.substr(whole.size() / 2));
            entry.read_all();
        });
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET"));
    const auto start = caller.read_until("xxxx");
    start_received = true;
    cr_assert(contains(start, "xxxx"));
    cr_assert_eq(
        caller.read_until(std::string(streamed_bytes - 4, 'x')).size(),
        streamed_bytes - 4);
}

// Guards against buffering an answer of unknown length without a limit.
Test(cut_answer, a_long_chunked_answer_is_streamed)
{
    std::atomic<bool> start_received = false;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(
                head_to(head, "Transfer-Encoding: chunked\r\n") + "13880\r\n" +
                std::string(80'000, 'x') + "\r\n");
            while (!start_received)
            {
                std::this_thread::yield();
            }
            entry.send("4\r\nlast\r\n0\r\n\r\n");
            entry.read_all();
        });
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET"));
    const auto start = caller.read_until("xxxx");
    start_received = true;
    cr_assert(contains(start, "xxxx"));
    cr_assert(contains(caller.read_until("0\r\n\r\n"), "last"));
}

// Guards against an answer that ends within its head and reaches the caller as
// a success with an empty or short body.
Test(cut_answer, a_head_that_breaks_off_is_never_a_success)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Field: text\r\n"
                               "Content-Length: 6\r\n\r\n";
    std::atomic<std::size_t> sent = 0;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            if (!gate.read_until("\r\n\r\n").empty())
            {
                gate.send(answer.substr(0, sent));
            }
        });
    gate_under_test gate(upstream.address(), 4, 8, long_timeout_settings());
    entry_under_test entry({gate.where()});
    for (sent = 0; sent < answer.size(); ++sent)
    {
        const auto seen = entry.call(caller_request("POST", "order"));
        cr_assert_eq(
            seen.substr(0, 12), "HTTP/1.1 502", "after %zu bytes: %s",
            sent.load(), seen.c_str());
        cr_assert(!contains(seen, "Not-Run"));
    }
}

// Guards against the same on the connection between the nodes, whose head the
// entry reads.
Test(cut_answer, a_gates_head_that_breaks_off_is_never_a_success)
{
    std::atomic<std::size_t> sent = 0;
    std::size_t whole = 0;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            if (head.empty())
            {
                return;
            }
            entry.send("HTTP/1.1 100 Continue\r\n\r\n");
            entry.read_until("0\r\n\r\n");
            const auto answer = head_to(head, "Content-Length: 6\r\n");
            whole = answer.size();
            entry.send(answer.substr(0, sent));
        });
    entry_under_test entry({gate.address()});
    do
    {
        const auto seen = entry.call(caller_request("POST", "order"));
        cr_assert_eq(
            seen.substr(0, 10), "HTTP/1.1 5", "after %zu bytes: %s",
            sent.load(), seen.c_str());
        cr_assert(!contains(seen, "503") && !contains(seen, "Not-Run"));
        sent += 7;
    } while (sent < whole);
}
