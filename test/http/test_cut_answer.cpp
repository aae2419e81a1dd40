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

/// Answers the requests whose head holds `X-Name: cut` with `part` and closes
/// the connection; answers the others in full.
scripted_server::script cutting_gate(
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

std::string request_to_cut()
{
    return caller_request("GET", {}, "X-Name: cut\r\n");
}

} // namespace

// Guards against a caller's connection that is closed because the answer to one
// request is cut: the requests behind it have been passed on and would end
// without an answer.
Test(cut_answer, requests_behind_a_cut_answer_are_answered)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        cutting_gate(executions, "Content-Length: 10\r\n", "half"));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(request_to_cut() + caller_request("GET"));
    const auto first = caller.read_message();
    cr_assert_eq(first.substr(0, 12), "HTTP/1.1 502", "%s", first.c_str());
    cr_assert_eq(header_of(first, "Hemlockshelf-Error"), "upstream_failed");
    cr_assert(!contains(first, "Not-Run"));
    cr_assert(contains(caller.read_message(), "served"));
    cr_assert_eq(executions, 2);
}

// Guards against a cut connection where the second of two pipelined requests
// gets a cut answer and a third is behind it.
Test(cut_answer, a_cut_answer_in_the_middle_of_a_pipeline_costs_no_other)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        cutting_gate(executions, "Content-Length: 10\r\n", "half"));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(
        caller_request("GET") + request_to_cut() + caller_request("GET"));
    cr_assert(contains(caller.read_message(), "served"));
    const auto second = caller.read_message();
    cr_assert_eq(second.substr(0, 12), "HTTP/1.1 502", "%s", second.c_str());
    cr_assert(contains(caller.read_message(), "served"));
}

// Guards against a connection that is closed where the upstream garbles a
// chunked answer in its middle.
Test(cut_answer, a_garbled_answer_keeps_the_connection)
{
    std::atomic<int> executions = 0;
    scripted_server gate(cutting_gate(
        executions, "Transfer-Encoding: chunked\r\n",
        "4\r\nhalf\r\nno chunk\r\n"));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(request_to_cut());
    const auto first = caller.read_message();
    cr_assert_eq(first.substr(0, 12), "HTTP/1.1 502", "%s", first.c_str());
    caller.send(caller_request("GET"));
    cr_assert(contains(caller.read_message(), "served"));
}

// Guards against a cut answer that reaches the caller although the request may
// be sent again.
Test(cut_answer, an_idempotent_request_is_sent_again)
{
    std::atomic<int> executions = 0;
    scripted_server cutting(
        cutting_gate(executions, "Content-Length: 10\r\n", "half"));
    scripted_server honest(
        [](raw_connection& entry)
        {
            entry.send(answer_to(entry.read_until("\r\n\r\n"), "served"));
            entry.read_all();
        });
    entry_under_test entry({cutting.address(), honest.address()});
    const auto answer = entry.call(request_to_cut());
    cr_assert(contains(answer, "\r\n\r\nserved"), "%s", answer.c_str());
    cr_assert_eq(executions, 1);
}

// Guards against an order that runs twice because its answer was cut.
Test(cut_answer, an_order_is_not_sent_again)
{
    std::atomic<int> executions = 0;
    scripted_server cutting(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send("HTTP/1.1 100 Continue\r\n\r\n");
            entry.read_until("0\r\n\r\n");
            ++executions;
            entry.send(head_to(head, "Content-Length: 10\r\n") + "half");
        });
    entry_under_test entry({cutting.address(), cutting.address()});
    const auto answer = entry.call(caller_request("POST", "order"));
    cr_assert_eq(answer.substr(0, 12), "HTTP/1.1 502", "%s", answer.c_str());
    cr_assert(!contains(answer, "Not-Run"));
    cr_assert_eq(executions, 1);
}

// Guards against a cut connection where an answer stops in its middle until the
// deadline.
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

// Guards against a long answer that is held in memory: its first bytes reach
// the caller before the gate sends the last ones.
Test(cut_answer, a_long_answer_is_streamed)
{
    std::atomic<bool> begun = false;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            const auto whole =
                answer_to(head, std::string(streamed_bytes, 'x'));
            entry.send(whole.substr(0, whole.size() / 2));
            while (!begun)
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
    begun = true;
    cr_assert(contains(start, "xxxx"));
    cr_assert_eq(
        caller.read_until(std::string(streamed_bytes - 4, 'x')).size(),
        streamed_bytes - 4);
}

// Guards against an answer without a known length that is held without end.
Test(cut_answer, a_long_chunked_answer_is_streamed)
{
    std::atomic<bool> begun = false;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(
                head_to(head, "Transfer-Encoding: chunked\r\n") + "13880\r\n" +
                std::string(80'000, 'x') + "\r\n");
            while (!begun)
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
    begun = true;
    cr_assert(contains(start, "xxxx"));
    cr_assert(contains(caller.read_until("0\r\n\r\n"), "last"));
}
