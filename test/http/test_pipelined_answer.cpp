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

/// Answers requests as an upstream does, those with `slow_field` after `delay`;
/// a HEAD request gets the head alone.
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

/// Begins a long answer to each request for `slow_field`. The rest follows when
/// `go_on` is set, or the connection ends then. Serves other requests at once.
scripted_server::script streaming_gate(
    std::atomic<int>& executions, const std::atomic<bool>& go_on, bool cut)
{
    return [&executions, &go_on, cut](raw_connection& entry)
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
            while (!go_on)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            if (cut)
            {
                return;
            }
            entry.send(half);
        }
    };
}

} // namespace

// Guards against a request that is passed on and gets no answer because the
// long answer before it is cut, and its connection with it.
Test(pipelined_answer, nothing_is_passed_on_behind_a_long_answer)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> go_on = false;
    scripted_server gate(streaming_gate(executions, go_on, true));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET", {}, slow_field));
    cr_assert(contains(caller.read_until("xxxx"), "xxxx"));
    caller.send(caller_request("GET"));
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    go_on = true;
    cr_assert(!contains(caller.read_all(), "served"));
    cr_assert_eq(executions, 1);
}

// Guards against requests that are forgotten because they came during a long
// answer, to the first request of a connection and to a pipelined one.
Test(pipelined_answer, requests_that_come_during_a_long_answer_are_answered)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> go_on = false;
    scripted_server gate(streaming_gate(executions, go_on, false));
    entry_under_test entry({gate.address()});
    for (const bool pipelined : {false, true})
    {
        go_on = false;
        raw_connection caller(entry.where());
        caller.send(
            (pipelined ? caller_request("GET") : "") +
            caller_request("GET", {}, slow_field));
        const auto start = caller.read_until("xxxx");
        cr_assert_eq(contains(start, "served"), pipelined);
        caller.send(caller_request("GET") + caller_request("GET"));
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        go_on = true;
        const std::string rest(streamed_bytes - 4, 'x');
        cr_assert_eq(caller.read_until(rest).size(), rest.size());
        cr_assert(contains(caller.read_message(), "served"));
        cr_assert(contains(caller.read_message(), "served"));
    }
    cr_assert_eq(executions, 7);
}

// Guards against work for a caller that leaves during a long answer and has
// sent another request before.
Test(pipelined_answer, a_caller_that_leaves_during_a_long_answer_is_noticed)
{
    constexpr std::chrono::seconds below_the_deadline{15};
    std::atomic<int> executions = 0;
    std::atomic<bool> go_on = false;
    scripted_server gate(streaming_gate(executions, go_on, true));
    entry_under_test entry({gate.address()});
    {
        raw_connection caller(entry.where());
        caller.send(caller_request("GET", {}, slow_field));
        caller.read_until(std::string(streamed_bytes / 2, 'x'));
        caller.send(caller_request("GET"));
    }
    entry.group().drain();
    const bool noticed = entry.group().wait_for_calls(
        std::chrono::steady_clock::now() + below_the_deadline);
    go_on = true;
    cr_assert(noticed);
}

// Guards against a caller's connection that is closed because no session can be
// added for a pipelined request: every connection that the node serves at once
// is in use.
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

// Guards against a pipelined request that is given up before its deadline,
// although it has been passed on.
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

// Guards against a pipelined HEAD request whose answer is awaited with a body
// that never comes, until the connection is cut.
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

// Guards against a connection that is closed without an answer because the
// answer of a pipelined request can't be read.
Test(pipelined_answer, an_answer_that_cannot_be_read_becomes_a_502)
{
    constexpr std::size_t header_limit = std::size_t{16} * 1024;
    scripted_server gate(
        [](raw_connection& entry)
        {
            const auto request = entry.read_until("\r\n\r\n");
            const auto without = head_to(request, "X-Fill: \r\n").size();
            // The entry adds a field to the head, which then exceeds the limit.
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

// Guards against a request that is passed on although the one before it ends
// the connection, so that it gets no answer.
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

// Guards against a connection that stays open although the caller asked in a
// pipelined request that it be closed: the caller waits for its end.
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

// Guards against a request that a draining node passes on while it sends the
// answer that announces the end of the connection.
Test(pipelined_answer, nothing_is_passed_on_after_the_end_is_announced)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> go_on = false;
    scripted_server gate(streaming_gate(executions, go_on, false));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    entry.group().drain();
    caller.send(caller_request("GET", {}, slow_field));
    const auto start = caller.read_until("xxxx");
    cr_assert(contains(start, "Connection: close"));
    caller.send(caller_request("GET"));
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    go_on = true;
    cr_assert_eq(
        caller.read_until(std::string(streamed_bytes - 4, 'x')).size(),
        streamed_bytes - 4);
    caller.read_all();
    cr_assert_eq(executions, 1);
}

// Guards against a draining node that takes one pipelined request after another
// because an earlier one is in progress, until it cuts the last ones: the
// connection is to end after the requests that were passed on before.
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

// Guards against a refused HEAD request whose answer has a body: the caller
// takes it for the start of the next answer.
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
