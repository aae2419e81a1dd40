#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

const std::string ok_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";
const std::string handshake_fields =
    "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n";

scripted_server::script honest_upstream(std::atomic<int>& executions)
{
    return [&executions](raw_connection& gate)
    {
        while (!gate.read_message().empty())
        {
            ++executions;
            gate.send(ok_answer);
        }
    };
}

/// Reads an answer and drops the interim ones before it.
std::string final_answer(raw_connection& entry)
{
    auto answer = entry.read_message();
    while (contains(answer, "102 Processing"))
    {
        answer = entry.read_message();
    }
    return answer;
}

/// Sends a request to a gate and returns the answer, without interim ones.
std::string call(const gate_under_test& gate, const std::string& request)
{
    raw_connection entry(gate.where());
    entry.send(request);
    return final_answer(entry);
}

} // namespace

// Guards against a dispatch before the entry has released the body: an entry
// that never sends it counts the request as not run.
Test(gate, nothing_runs_before_the_first_body_byte)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    gate_under_test gate(upstream.address());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("POST", handshake_fields));
    cr_assert(contains(entry.read_until("\r\n\r\n"), "100 Continue"));
    const auto answer = final_answer(entry);
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(executions.load(), 0);
    cr_assert_eq(upstream.connections(), 0);
}

// Guards against an empty body that is taken for a missing one.
Test(gate, last_chunk_releases_an_empty_body)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    gate_under_test gate(upstream.address());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("POST", handshake_fields));
    entry.read_until("\r\n\r\n");
    entry.send("0\r\n\r\n");
    cr_assert(contains(final_answer(entry), "served"));
    cr_assert_eq(executions.load(), 1);
}

// Guards against an upstream's own word that a request was not run, in headers
// and in trailers.
Test(gate, forged_headers_of_upstreams_are_removed)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            gate.read_message();
            gate.send("HTTP/1.1 503 Busy\r\nHemlockshelf-Not-Run: true\r\n"
                      "Hemlockshelf-Error: overloaded\r\n"
                      "Trailer: Hemlockshelf-Not-Run\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"
                      "0\r\nHemlockshelf-Not-Run: true\r\n\r\n");
            gate.read_all();
        });
    gate_under_test gate(upstream.address());
    const auto answer = call(gate, gate_request_text("GET"));
    cr_assert(contains(answer, "503 Busy"));
    cr_assert(!contains(answer, "Not-Run"));
    cr_assert(!contains(answer, "Hemlockshelf-Error"));
    cr_assert(contains(answer, "0\r\n\r\n"));
}

// Guards against a request that an upstream of another service runs: the entry
// still knows a VM that is gone, whose address a new VM uses.
Test(gate, a_call_for_another_service_is_refused_as_not_run)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(
        [&executions](raw_connection& gate)
        {
            while (!gate.read_until("\r\n\r\n").empty())
            {
                ++executions;
                gate.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        });
    gate_under_test gate(upstream.address());
    const auto refused = call(
        gate, gate_request_text("GET", "Hemlockshelf-Service: ledger\r\n"));
    cr_assert(contains(refused, "HTTP/1.1 503"));
    cr_assert_eq(header_of(refused, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(executions, 0);
    const auto served = call(
        gate, gate_request_text("GET", "Hemlockshelf-Service: catalogue\r\n"));
    cr_assert(contains(served, "HTTP/1.1 200"));
    cr_assert_eq(executions, 1);
}

// Guards against a shed request that counts as run where the pool's row says
// otherwise.
Test(gate, shedding_is_proof_only_where_the_pool_says_so)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            gate.read_message();
            gate.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        });
    gate_under_test gate(upstream.address());
    cr_assert_eq(
        header_of(call(gate, gate_request_text("GET")), "Hemlockshelf-Not-Run"),
        "");
    gate.shed_is_not_run_ = true;
    cr_assert_eq(
        header_of(call(gate, gate_request_text("GET")), "Hemlockshelf-Not-Run"),
        "true");
}

// Guards against a claim of not run after the upstream has got the request.
Test(gate, upstream_that_closes_without_answer_may_have_run)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            gate.read_message();
            ++executions;
        });
    gate_under_test gate(upstream.address());
    const auto answer = call(gate, gate_request_text("GET"));
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "upstream_failed");
    cr_assert(!contains(answer, "Not-Run"));
    cr_assert_eq(executions.load(), 1);
}

// Guards against a request whose body turns bad after the upstream has got its
// start: the gate may not call it not run.
Test(gate, body_that_turns_bad_after_its_start_may_have_run)
{
    std::promise<bool> begun;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            begun.set_value(!gate.read_until("\r\n\r\n").empty());
            gate.read_all();
        });
    gate_under_test gate(upstream.address());
    raw_connection entry(gate.where());
    const std::string start(100'000, 'x');
    entry.send(
        gate_request_text("PUT", "Transfer-Encoding: chunked\r\n") +
        "186a0\r\n" + start + "\r\nnot a chunk\r\n");
    const auto answer = entry.read_all();
    cr_assert(!contains(answer, "Not-Run"), "%s", answer.c_str());
    cr_assert(begun.get_future().get());
}

// Guards against an upstream that works on after the deadline, and against a
// late answer that is passed on.
Test(gate, late_answer_is_dropped_and_the_upstream_is_cancelled)
{
    std::atomic<bool> cancelled = false;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            gate.read_message();
            gate.read_all();
            cancelled = true;
            gate.send(ok_answer);
        });
    gate_under_test gate(upstream.address());
    const auto answer = call(gate, gate_request_text("GET", {}, 300));
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
    cr_assert(!contains(answer, "Not-Run"));
    while (!cancelled)
    {
        std::this_thread::yield();
    }
}

// Guards against a second answer that is given to the next request.
Test(gate, upstream_that_answers_twice_is_not_reused)
{
    std::atomic<int> requests = 0;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            gate.read_message();
            const auto body = "answer" + std::to_string(++requests);
            const auto answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + body;
            gate.send(answer + answer);
            gate.read_all();
        });
    gate_under_test gate(upstream.address());
    cr_assert(contains(call(gate, gate_request_text("GET")), "answer1"));
    cr_assert(contains(call(gate, gate_request_text("GET")), "answer2"));
}

// Guards against a next request whose bytes an upstream takes for the rest of a
// body that ended before its announced length.
Test(gate, a_short_body_ends_the_upstream_connection)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            while (!gate.read_until("\r\n\r\n").empty())
            {
                gate.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        });
    gate_under_test gate(upstream.address());
    for (int call = 1; call <= 2; ++call)
    {
        raw_connection entry(gate.where());
        entry.send(gate_request_text(
            "POST", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"
                    "Hemlockshelf-Body-Length: 100\r\n"));
        cr_assert(contains(entry.read_until("\r\n\r\n"), "100"));
        entry.send("4\r\nhalf\r\n0\r\n\r\n");
        cr_assert(contains(final_answer(entry), "HTTP/1.1 200"));
        cr_assert_eq(upstream.connections(), call);
    }
}

// Guards against a cut answer that reads as a whole one.
Test(gate, cut_answer_ends_the_entry_connection)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            gate.read_message();
            gate.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "4\r\npart\r\n");
        });
    gate_under_test gate(upstream.address());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET"));
    cr_assert(!contains(entry.read_all(), "0\r\n\r\n"));
}

// Guards against more requests or connections at the upstream than it allows.
Test(gate, slots_and_connections_are_never_exceeded)
{
    std::atomic<int> running = 0;
    std::atomic<int> most = 0;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            while (!gate.read_message().empty())
            {
                const int now_running = ++running;
                int seen = most;
                while (seen < now_running &&
                       !most.compare_exchange_weak(seen, now_running))
                {}
                std::this_thread::yield();
                --running;
                gate.send(ok_answer);
            }
        });
    gate_under_test gate(upstream.address(), 2, 2);
    constexpr int entry_count = 8;
    std::vector<std::thread> entries;
    entries.reserve(entry_count);
    for (int index = 0; index < entry_count; ++index)
    {
        entries.emplace_back(
            [&]
            {
                for (int count = 0; count < 20; ++count)
                {
                    call(gate, gate_request_text("GET"));
                }
            });
    }
    for (auto& entry : entries)
    {
        entry.join();
    }
    cr_assert_leq(most.load(), 2);
    cr_assert_leq(gate.gate().open_connections(), 2);
}

// Guards against a request that runs twice under one key.
Test(gate, an_idempotency_key_runs_once)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    gate_under_test gate(upstream.address());
    const auto request =
        gate_request_text("PUT", "Idempotency-Key: order-1\r\n");
    cr_assert(contains(call(gate, request), "served"));
    cr_assert_eq(
        header_of(call(gate, request), "Hemlockshelf-Error"),
        "duplicate_request");
    cr_assert_eq(executions.load(), 1);
}

// Guards against new work for a node that leaves, and against a refusal that
// doesn't say that the request was not run.
Test(gate, leaving_gate_refuses_at_once)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    gate_under_test gate(upstream.address());
    gate.gate().begin_shutdown();
    const auto answer = call(gate, gate_request_text("GET"));
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "draining");
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(executions.load(), 0);
}

// Guards against a drain that cuts a running request, that leaves a waiting one
// to its deadline, or whose refusals don't say that the request was not run.
Test(gate, draining_upstream_finishes_what_runs_and_gets_nothing_new)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> released = false;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            while (!gate.read_message().empty())
            {
                ++executions;
                released.wait(false);
                gate.send(ok_answer);
            }
        });
    gate_under_test gate(upstream.address(), 1);
    const auto request =
        gate_request_text("GET", "Hemlockshelf-Class: lookup\r\n");
    raw_connection running(gate.where());
    running.send(request);
    cr_assert(contains(running.read_until("\r\n\r\n"), "102 Processing"));
    cr_assert_eq(executions.load(), 1);
    raw_connection waiting(gate.where());
    waiting.send(request);
    cr_assert(contains(waiting.read_until("\r\n\r\n"), "102 Processing"));
    gate.announce_draining(true);
    for (const auto& answer : {final_answer(waiting), call(gate, request)})
    {
        cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "draining");
        cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    }
    released = true;
    released.notify_all();
    cr_assert(contains(final_answer(running), "served"));
    cr_assert_eq(executions.load(), 1);
    gate.announce_draining(false);
    cr_assert(contains(call(gate, request), "served"));
}

// Guards against an entry that takes a slow upstream for a silent gate.
Test(gate, slow_upstream_is_reported_as_progress)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            gate.read_message();
            gate.read_all();
        });
    gate_under_test gate(upstream.address());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET"));
    cr_assert(contains(entry.read_until("\r\n\r\n"), "102 Processing"));
}

// Guards against work for an entry that has given up and closed while the gate
// stood still: its body waits in the socket before the end of the connection.
Test(gate, nothing_runs_for_an_entry_that_closed_after_its_body)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    gate_under_test gate(upstream.address());
    {
        raw_connection entry(gate.where());
        entry.send(gate_request_text("POST", handshake_fields));
        cr_assert(contains(entry.read_until("\r\n\r\n"), "100 Continue"));
        // The gate reads the time between the arrival of the body and its
        // decision.
        gate.time().set_delay(std::chrono::milliseconds{100});
        const std::string chunk(0x10000, 'x');
        entry.send("10000\r\n" + chunk + "\r\n0\r\n\r\n");
    }
    std::this_thread::sleep_for(std::chrono::seconds{2});
    cr_assert_eq(executions.load(), 0);
}

// Guards against a call that a stopping gate holds without having passed it on
// and then cuts: the entry can't tell that it has not run.
Test(gate, a_stop_answers_a_call_whose_body_is_awaited)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    auto settings = test_settings();
    settings.first_byte_timeout_ = std::chrono::seconds{10};
    gate_under_test gate(upstream.address(), 4, 8, settings);
    raw_connection entry(gate.where());
    entry.send(gate_request_text("POST", handshake_fields));
    cr_assert(contains(entry.read_until("\r\n\r\n"), "100 Continue"));
    gate.group().drain();
    gate.group().refuse_unforwarded();
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    gate.group().close_all();
    const auto answer = final_answer(entry);
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "draining");
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(executions, 0);
}

// Guards against a call at which the upstream is at work and which a stop
// breaks off.
Test(gate, a_stop_leaves_a_call_alone_that_was_passed_on)
{
    std::atomic<bool> arrived = false;
    std::atomic<bool> refused = false;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            gate.read_message();
            arrived = true;
            while (!refused)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            gate.send(ok_answer);
        });
    gate_under_test gate(upstream.address());
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET"));
    while (!arrived)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    gate.group().drain();
    gate.group().refuse_unforwarded();
    refused = true;
    const auto answer = final_answer(entry);
    cr_assert(contains(answer, "served"), "%s", answer.c_str());
}

// Guards against an upload that is asked for its body only after the one before
// it has arrived whole, although most of that one is there.
Test(gate, an_upload_starts_while_the_rest_of_another_arrives)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    gate_settings limits;
    limits.link_ = bit_rate{7'000'000};
    gate_under_test gate(upstream.address(), 4, 8, test_settings(), limits);
    const auto upload = gate_request_text(
        "POST", handshake_fields + "Hemlockshelf-Body-Length: 60000\r\n",
        3'000);
    raw_connection first(gate.where());
    first.send(upload);
    cr_assert(contains(first.read_until("\r\n\r\n"), "100 Continue"));
    raw_connection second(gate.where());
    second.send(upload);
    cr_assert(contains(second.read_until("\r\n\r\n"), "102 Processing"));
    first.send("c350\r\n" + std::string(50'000, 'x') + "\r\n");
    const auto asked = second.read_until("100 Continue\r\n\r\n");
    cr_assert(contains(asked, "100 Continue"), "%s", asked.c_str());
    first.send("2710\r\n" + std::string(10'000, 'x') + "\r\n0\r\n\r\n");
    cr_assert(contains(final_answer(first), "served"));
}

// Guards against a gauge that shows no long bodies where the link's capacity is
// not known, counts short ones, or keeps those that have arrived or broken off.
Test(gate, long_bodies_are_counted_while_they_arrive)
{
    std::atomic<int> executions = 0;
    scripted_server upstream(honest_upstream(executions));
    gate_under_test gate(upstream.address());
    const auto bodies = [&]
    {
        return gate.gauges().value(metric_id::gate_bodies);
    };
    const auto upload = gate_request_text(
        "POST", handshake_fields + "Hemlockshelf-Body-Length: 60000\r\n");
    raw_connection first(gate.where());
    first.send(upload);
    cr_assert(contains(first.read_until("\r\n\r\n"), "100 Continue"));
    cr_assert_eq(bodies(), 1);
    raw_connection second(gate.where());
    second.send(gate_request_text(
        "POST", handshake_fields + "Hemlockshelf-Body-Length: 300\r\n"));
    cr_assert(contains(second.read_until("\r\n\r\n"), "100 Continue"));
    cr_assert_eq(bodies(), 1);
    first.send("ea60\r\n" + std::string(60'000, 'x') + "\r\n0\r\n\r\n");
    cr_assert(contains(final_answer(first), "served"));
    cr_assert_eq(bodies(), 0);
    raw_connection third(gate.where());
    third.send(upload);
    cr_assert(contains(third.read_until("\r\n\r\n"), "100 Continue"));
    cr_assert_eq(bodies(), 1);
    cr_assert(contains(final_answer(third), "no body after the 100"));
    for (int wait = 0; wait < 200 && bodies() > 0; ++wait)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    cr_assert_eq(bodies(), 0);
}

// Guards against a gate whose lock each short body takes once more than its
// call needs it: the lock's holder reports the gauges.
Test(gate, a_short_body_does_not_take_the_lock)
{
    std::promise<void> received;
    std::promise<void> answer;
    scripted_server upstream(
        [&](raw_connection& gate)
        {
            gate.read_message();
            received.set_value();
            answer.get_future().wait();
            gate.send(ok_answer);
        });
    gate_settings limits;
    limits.link_ = bit_rate{7'000'000};
    gate_under_test gate(upstream.address(), 4, 8, test_settings(), limits);
    raw_connection entry(gate.where());
    entry.send(gate_request_text(
        "POST", handshake_fields + "Hemlockshelf-Body-Length: 300\r\n"));
    cr_assert(contains(entry.read_until("\r\n\r\n"), "100 Continue"));
    const auto before = gate.gauges().writes();
    entry.send("12c\r\n" + std::string(300, 'x') + "\r\n0\r\n\r\n");
    received.get_future().wait();
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    const auto after = gate.gauges().writes();
    answer.set_value();
    cr_assert(contains(final_answer(entry), "served"));
    cr_assert_eq(after, before);
}
