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

const std::string slow_field = "X-Name: slow\r\n";

/// Counts and answers requests, those with `slow_field` after `delay`. A HEAD
/// request gets only the head.
scripted_server::script
counting_gate(std::atomic<int>& executions, std::chrono::milliseconds delay)
{
    return [&executions, delay](raw_connection& entry)
    {
        while (true)
        {
            const auto head = entry.read_until("\r\n\r\n");
            if (head.empty())
            {
                return;
            }
            ++executions;
            if (contains(head, slow_field))
            {
                std::this_thread::sleep_for(delay);
            }
            entry.send(
                head_to(head, "Content-Length: 6\r\n") +
                (head.starts_with("HEAD") ? "" : "served"));
        }
    };
}

/// Sends the first half of a long answer to each request with `slow_field`.
/// When `resume_answer` is set, sends the rest, or closes the connection if
/// `close_instead`. Answers other requests at once.
scripted_server::script streaming_gate(
    std::atomic<int>& executions,
    const std::atomic<bool>& resume_answer,
    bool close_instead)
{
    return [&executions, &resume_answer, close_instead](raw_connection& entry)
    {
        auto head = entry.read_until("\r\n\r\n");
        for (; !head.empty(); head = entry.read_until("\r\n\r\n"))
        {
            ++executions;
            if (!contains(head, slow_field))
            {
                entry.send(answer_to(head, "served"));
                continue;
            }
            const std::string half(streamed_bytes / 2, 'x');
            entry.send(
                head_to(
                    head, "Content-Length: " + std::to_string(streamed_bytes) +
                              "\r\n") +
                half);
            while (!resume_answer)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            if (close_instead)
            {
                return;
            }
            entry.send(half);
        }
    };
}

} // namespace

// Guards against forwarding a request during a long answer: if that answer is
// truncated, the connection is closed and the request gets no answer.
Test(pipelined_answer, nothing_is_passed_on_behind_a_long_answer)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> resume_answer = false;
    scripted_server gate(streaming_gate(executions, resume_answer, true));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET", {}, slow_field));
    cr_assert(contains(caller.read_until("xxxx"), "xxxx"));
    caller.send(caller_request("GET"));
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    resume_answer = true;
    cr_assert(!contains(caller.read_all(), "served"));
    cr_assert_eq(executions, 1);
}

// Guards against losing requests that arrive during a long answer, both to the
// first request of a connection and to a pipelined one.
Test(pipelined_answer, requests_that_come_during_a_long_answer_are_answered)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> resume_answer = false;
    scripted_server gate(streaming_gate(executions, resume_answer, false));
    entry_under_test entry({gate.address()});
    for (const bool pipelined : {false, true})
    {
        resume_answer = false;
        raw_connection caller(entry.where());
        caller.send(
            (pipelined ? caller_request("GET") : "") +
            caller_request("GET", {}, slow_field));
        const auto start = caller.read_until("xxxx");
        cr_assert_eq(contains(start, "served"), pipelined);
        caller.send(caller_request("GET") + caller_request("GET"));
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        resume_answer = true;
        const std::string rest(streamed_bytes - 4, 'x');
        cr_assert_eq(caller.read_until(rest).size(), rest.size());
        cr_assert(contains(caller.read_message(), "served"));
        cr_assert(contains(caller.read_message(), "served"));
    }
    cr_assert_eq(executions, 7);
}

// Guards against continued work for a caller that sends another request during
// a long answer and then closes the connection.
Test(pipelined_answer, a_caller_that_leaves_during_a_long_answer_is_noticed)
{
    // Below the call's deadline, so that the deadline doesn't end the call
    // first.
    constexpr std::chrono::seconds max_wait{15};
    std::atomic<int> executions = 0;
    std::atomic<bool> resume_answer = false;
    scripted_server gate(streaming_gate(executions, resume_answer, true));
    entry_under_test entry({gate.address()});
    {
        raw_connection caller(entry.where());
        caller.send(caller_request("GET", {}, slow_field));
        caller.read_until(std::string(streamed_bytes / 2, 'x'));
        caller.send(caller_request("GET"));
    }
    entry.group().drain();
    const bool calls_ended = entry.group().wait_for_calls(
        std::chrono::steady_clock::now() + max_wait);
    resume_answer = true;
    cr_assert(calls_ended);
}

// Guards against closing the caller's connection if the limit of concurrent
// connections leaves no session for a pipelined request.
Test(pipelined_answer, a_full_group_serves_pipelined_requests_in_turn)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        counting_gate(executions, std::chrono::milliseconds{0}));
    auto settings = test_settings();
    settings.max_client_connections_ = 1;
    entry_under_test entry(
        {gate.address()}, std::chrono::seconds{20}, 200, settings);
    raw_connection caller(entry.where());
    caller.send(caller_request("GET") + caller_request("GET"));
    cr_assert(contains(caller.read_message(), "served"));
    cr_assert(contains(caller.read_message(), "served"));
    cr_assert_eq(executions, 2);
}

// Guards against aborting a forwarded pipelined request before its deadline.
Test(pipelined_answer, a_pipelined_request_keeps_its_own_deadline)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        counting_gate(executions, std::chrono::milliseconds{400}));
    auto settings = test_settings();
    settings.silence_timeout_ = std::chrono::seconds{5};
    settings.drain_limit_ = std::chrono::milliseconds{100};
    entry_under_test entry(
        {gate.address()}, std::chrono::seconds{20}, 200, settings);
    raw_connection caller(entry.where());
    caller.send(caller_request("GET") + caller_request("GET", {}, slow_field));
    cr_assert(contains(caller.read_message(), "served"));
    const auto second = caller.read_message();
    cr_assert(contains(second, "served"), "%s", second.c_str());
}

// Guards against waiting for the body of the answer to a pipelined HEAD
// request, which never arrives, until the connection is closed.
Test(pipelined_answer, the_answer_to_a_head_request_has_no_body)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        counting_gate(executions, std::chrono::milliseconds{0}));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(
        caller_request("GET") + caller_request("HEAD") + caller_request("GET"));
    cr_assert(contains(caller.read_message(), "served"));
    const auto head = caller.read_until("\r\n\r\n");
    cr_assert_eq(header_of(head, "Content-Length"), "6", "%s", head.c_str());
    const auto third = caller.read_message();
    cr_assert(third.starts_with("HTTP/1.1 200"), "%s", third.c_str());
    cr_assert(contains(third, "served"));
}

// Guards against closing the connection without an answer if the answer to a
// pipelined request can't be parsed.
Test(pipelined_answer, an_answer_that_cannot_be_read_becomes_a_502)
{
    constexpr std::size_t header_limit = std::size_t{16} * 1024;
    scripted_server gate(
        [](raw_connection& entry)
        {
            const auto request = entry.read_until("\r\n\r\n");
            const auto without = head_to(request, "X-Fill: \r\n").size();
            // The entry adds a field, so that the head exceeds the limit.
            entry.send(
                head_to(
                    request,
                    "X-Fill: " + std::string(header_limit - without - 8, 'x') +
                        "\r\n") +
                "served");
        });
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET") + caller_request("GET"));
    cr_assert(caller.read_message().starts_with("HTTP/1.1 200"));
    const auto second = caller.read_message();
    cr_assert(second.starts_with("HTTP/1.1 502"), "%s", second.c_str());
    cr_assert(!contains(second, "Not-Run"));
}

// Guards against forwarding a request that follows one with `Connection:
// close`, because it would get no answer.
Test(pipelined_answer, nothing_is_passed_on_behind_a_request_to_close)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        counting_gate(executions, std::chrono::milliseconds{100}));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(
        caller_request("GET", {}, slow_field + "Connection: close\r\n") +
        caller_request("GET"));
    cr_assert(contains(caller.read_all(), "served"));
    cr_assert_eq(executions, 1);
}

// Guards against keeping the connection open after a pipelined request with
// `Connection: close`: the caller waits for the end of the connection.
Test(pipelined_answer, a_pipelined_request_to_close_ends_the_connection)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        counting_gate(executions, std::chrono::milliseconds{0}));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(
        caller_request("GET") +
        caller_request("GET", {}, "Connection: close\r\n"));
    const auto begin = std::chrono::steady_clock::now();
    const auto answers = caller.read_all();
    cr_assert_neq(answers.find("served"), answers.rfind("served"));
    cr_assert_lt(
        (std::chrono::steady_clock::now() - begin).count(),
        std::chrono::nanoseconds(std::chrono::seconds{3}).count());
}

// Guards against a draining node that forwards a request while it sends an
// answer with `Connection: close`.
Test(pipelined_answer, nothing_is_passed_on_after_the_end_is_announced)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> resume_answer = false;
    scripted_server gate(streaming_gate(executions, resume_answer, false));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    entry.group().drain();
    caller.send(caller_request("GET", {}, slow_field));
    const auto start = caller.read_until("xxxx");
    cr_assert(contains(start, "Connection: close"));
    caller.send(caller_request("GET"));
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    resume_answer = true;
    cr_assert_eq(
        caller.read_until(std::string(streamed_bytes - 4, 'x')).size(),
        streamed_bytes - 4);
    caller.read_all();
    cr_assert_eq(executions, 1);
}

// Guards against a draining node that accepts further pipelined requests as
// long as earlier ones are in progress, and finally aborts the last ones. The
// connection must end after the requests that were forwarded before the drain.
Test(pipelined_answer, a_draining_node_takes_no_further_pipelined_requests)
{
    constexpr std::chrono::milliseconds run_time{300};
    std::atomic<int> executions = 0;
    scripted_server gate(counting_gate(executions, run_time));
    entry_under_test entry({gate.address()});
    const auto slow = caller_request("GET", {}, slow_field);
    raw_connection caller(entry.where());
    caller.send(slow + slow);
    while (executions < 2)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    entry.group().drain();
    caller.send(slow);
    const auto first = caller.read_message();
    cr_assert(first.starts_with("HTTP/1.1 200"), "%s", first.c_str());
    caller.send(slow);
    const auto second = caller.read_message();
    cr_assert(second.starts_with("HTTP/1.1 200"), "%s", second.c_str());
    cr_expect(contains(second, "Connection: close"));
    cr_expect_eq(caller.read_all(), "");
    cr_expect_eq(executions, 2);
}

// Guards against a body in the refusal of a HEAD request: the caller would read
// it as the start of the next answer.
Test(pipelined_answer, a_refused_head_request_has_no_body)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        counting_gate(executions, std::chrono::milliseconds{0}));
    entry_under_test entry({gate.address()});
    entry.set_ready(false);
    raw_connection caller(entry.where());
    caller.send(caller_request("HEAD"));
    cr_assert(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    entry.set_ready(true);
    caller.send(caller_request("GET"));
    const auto second = caller.read_message();
    cr_assert(second.starts_with("HTTP/1.1 200"), "%s", second.c_str());
}
