#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

const std::string continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";

/// Serves requests as a gate does and counts those that it runs.
scripted_server::script honest_gate(std::atomic<int>& executions)
{
    return [&executions](raw_connection& entry)
    {
        while (true)
        {
            const auto head = entry.read_until("\r\n\r\n");
            if (head.empty())
            {
                return;
            }
            if (contains(head, "100-continue"))
            {
                entry.send(continue_answer);
                entry.read_until("0\r\n\r\n");
            }
            ++executions;
            entry.send(answer_to(head, "served"));
        }
    };
}

/// Closes the connection when a request has arrived, which may have run.
scripted_server::script losing_gate()
{
    return [](raw_connection& entry)
    {
        entry.read_until("\r\n\r\n");
    };
}

/// Refuses every request as a gate does that has not run it.
scripted_server::script refusing_gate(const std::string& kind)
{
    return [kind](raw_connection& entry)
    {
        const auto head = entry.read_until("\r\n\r\n");
        entry.send(
            "HTTP/1.1 503 Service Unavailable\r\nHemlockshelf-Request-Id: " +
            header_of(head, "Hemlockshelf-Request-Id") +
            "\r\nHemlockshelf-Error: " + kind +
            "\r\nHemlockshelf-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
        entry.read_all();
    };
}

/// Occupies the loop of an entry in each call after the first one until the
/// test lets that call go on.
class occupied_loop
{
public:
    explicit occupied_loop(entry_under_test& entry)
    {
        entry.on_call(
            [this]
            {
                const int call = ++begun_;
                while (released_ < call)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds{1});
                }
            });
    }

    void await_call(int number) const
    {
        while (begun_ < number)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

    void release(int number)
    {
        released_ = number;
    }

private:
    std::atomic<int> begun_ = 0;
    std::atomic<int> released_ = 1;
};

/// Answers requests for `order` only when `arrived_` is set, others at once.
class waiting_gate
{
public:
    scripted_server::script script()
    {
        return [this](raw_connection& entry)
        {
            while (serve(entry))
            {}
        };
    }

    void await_order() const
    {
        while (!waiting_)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

    void answer_order()
    {
        arrived_ = true;
        while (!sent_)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

    [[nodiscard]] int bodies() const
    {
        return bodies_;
    }

private:
    bool serve(raw_connection& entry)
    {
        const auto head = entry.read_until("\r\n\r\n");
        const bool handshake = contains(head, "100-continue");
        const bool waits = contains(head, "X-Name: order");
        waiting_ = waiting_ || waits;
        while (waits && !arrived_)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        if (handshake)
        {
            entry.send(continue_answer);
            sent_ = true;
            bodies_ += contains(entry.read_until("0\r\n\r\n"), "silk") ? 1 : 0;
        }
        entry.send(answer_to(head, waits ? "late" : "at once"));
        sent_ = sent_ || waits;
        return !head.empty();
    }

    std::atomic<bool> waiting_ = false;
    std::atomic<bool> arrived_ = false;
    std::atomic<bool> sent_ = false;
    std::atomic<int> bodies_ = 0;
};

// The loop must be occupied before the limit, on a busy machine too.
constexpr std::chrono::milliseconds late_loop_limit{2'000};

call_settings late_loop_settings()
{
    auto settings = test_settings();
    settings.threads_ = 1;
    settings.silence_timeout_ = late_loop_limit;
    settings.handshake_timeout_ = late_loop_limit;
    return settings;
}

/// Lets the gate's answer to a call arrive when an entry's loop has found the
/// end of a time limit of that call and has not acted on it yet: the process is
/// short of processor time. Returns the answer to the call.
std::string call_with_late_loop(waiting_gate& gate, const std::string& request)
{
    constexpr std::chrono::milliseconds margin{200};
    scripted_server server(gate.script());
    const auto settings = late_loop_settings();
    entry_under_test entry(
        {server.address()}, std::chrono::seconds{20}, 200, settings);
    occupied_loop loop(entry);
    // Accepted before the others.
    raw_connection last(entry.where());
    raw_connection caller(entry.where());
    caller.send(request);
    gate.await_order();
    raw_connection first(entry.where());
    first.send(caller_request("GET"));
    loop.await_call(2);
    std::this_thread::sleep_for(late_loop_limit + margin);
    // The loop finds this request and the end of the time limit in one turn and
    // takes up the request first.
    last.send(caller_request("GET"));
    loop.release(2);
    loop.await_call(3);
    gate.answer_order();
    loop.release(3);
    auto answer = caller.read_message();
    first.read_message();
    last.read_message();
    return answer;
}

/// Returns an address where nothing listens any longer.
endpoint closed_endpoint()
{
    const scripted_server server([](raw_connection&) {});
    return server.address();
}

} // namespace

// Guards against a silent connection that costs the call although the request
// can't have run, and against a second execution.
Test(entry, gate_silent_before_100_is_replaced)
{
    std::atomic<int> executions = 0;
    scripted_server silent(
        [](raw_connection& entry)
        {
            entry.read_all();
        });
    scripted_server honest(honest_gate(executions));
    entry_under_test entry(
        {silent.address(), honest.address()}, std::chrono::seconds{20}, 200,
        test_settings());
    const auto answer = entry.call(caller_request("POST", "order"));
    cr_assert(contains(answer, "served"));
    cr_assert_eq(executions.load(), 1);
    cr_assert_eq(silent.connections(), 1);
}

// Guards against a node that routes by the empty tables of its start and tells
// callers that their account is unknown.
Test(entry, calls_before_the_node_has_joined_are_refused_as_not_run)
{
    std::atomic<int> executions = 0;
    scripted_server honest(honest_gate(executions));
    entry_under_test entry({honest.address()});
    entry.set_ready(false);
    const auto refused = entry.call(caller_request("GET", ""));
    cr_assert_eq(header_of(refused, "Hemlockshelf-Error"), "not_ready");
    cr_assert_eq(header_of(refused, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(executions.load(), 0);
    entry.set_ready(true);
    cr_assert(contains(entry.call(caller_request("GET", "")), "served"));
}

// Guards against a refusal that doesn't say that the request was not run.
Test(entry, gate_lost_before_100_is_a_true_not_run)
{
    std::atomic<int> body_bytes = 0;
    scripted_server closing(
        [&](raw_connection& entry)
        {
            const auto text = entry.read_until("\r\n\r\n");
            body_bytes += contains(text, "order") ? 1 : 0;
        });
    entry_under_test entry({closing.address()});
    const auto answer = entry.call(caller_request("POST", "order"));
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "gate_unreachable");
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(body_bytes.load(), 0);
}

// Guards against a second execution of an order whose answer is missing, and
// against a claim that it was not run.
Test(entry, gate_silent_after_the_body_leaves_the_outcome_unknown)
{
    std::atomic<int> executions = 0;
    std::atomic<int> second = 0;
    scripted_server silent(
        [&](raw_connection& entry)
        {
            entry.read_until("\r\n\r\n");
            entry.send(continue_answer);
            entry.read_until("0\r\n\r\n");
            ++executions;
            entry.read_all();
        });
    scripted_server honest(honest_gate(second));
    entry_under_test entry(
        {silent.address(), honest.address()}, std::chrono::seconds{20}, 200,
        test_settings());
    const auto answer = entry.call(caller_request("POST", "order"));
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
    cr_assert(!contains(answer, "Not-Run"));
    cr_assert_eq(executions.load() + second.load(), 1);
}

// Guards against a refusal of the last attempt that claims "not run" for a
// request that an earlier attempt may have run.
Test(entry, refusal_after_a_lost_answer_leaves_the_outcome_unknown)
{
    scripted_server losing(losing_gate());
    scripted_server refusing(refusing_gate("overloaded"));
    entry_under_test entry({losing.address(), refusing.address()});
    const auto answer = entry.call(caller_request("GET"));
    cr_assert_eq(losing.connections(), 1);
    cr_assert_eq(refusing.connections(), 1);
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
    cr_assert(!contains(answer, "Not-Run"));
}

// Guards against the same claim where the last refusal is not retried and the
// gate's answer would be passed on as it is.
Test(entry, final_refusal_after_a_lost_answer_is_not_passed_on)
{
    scripted_server losing(losing_gate());
    scripted_server refusing(refusing_gate("deadline_exceeded"));
    entry_under_test entry({losing.address(), refusing.address()});
    const auto answer = entry.call(caller_request("GET"));
    cr_assert_eq(refusing.connections(), 1);
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
    cr_assert(!contains(answer, "Not-Run"));
}

// Guards against a second gate that can't be reached, which would make the
// failure of the whole call look like one without an execution.
Test(entry, lost_gate_after_a_lost_answer_leaves_the_outcome_unknown)
{
    scripted_server losing(losing_gate());
    entry_under_test entry({losing.address(), closed_endpoint()});
    const auto answer = entry.call(caller_request("GET"));
    cr_assert_eq(losing.connections(), 1);
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
    cr_assert(!contains(answer, "Not-Run"));
}

// Guards against a cut answer that the caller takes for a whole one.
Test(entry, answer_cut_in_the_middle_is_cut_for_the_caller)
{
    scripted_server cutting(
        [](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            const auto whole = answer_to(head, std::string(100'000, 'x'));
            entry.send(whole.substr(0, 50'000));
        });
    entry_under_test entry({cutting.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET"));
    const auto answer = caller.read_all();
    cr_assert_lt(answer.size(), 100'000);
    const auto status = answer.substr(0, 12);
    cr_assert(status != "HTTP/1.1 200" || answer.size() < 60'000);
}

// Guards against an answer to an earlier request that reaches this caller.
Test(entry, answer_to_another_request_is_dropped)
{
    scripted_server crossed(
        [](raw_connection& entry)
        {
            entry.read_until("\r\n\r\n");
            entry.send(answer_to(
                "\r\nHemlockshelf-Request-Id: other\r\n", "for another"));
            entry.read_all();
        });
    entry_under_test entry({crossed.address()});
    const auto answer = entry.call(caller_request("GET"));
    cr_assert(!contains(answer, "for another"));
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
}

// Guards against a connection that is reused although its peer has answered
// twice.
Test(entry, second_answer_is_never_taken_for_the_next_one)
{
    std::atomic<int> requests = 0;
    scripted_server twice(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            const auto body = "answer " + std::to_string(++requests);
            const auto answer = answer_to(head, body);
            entry.send(answer + answer);
            entry.read_all();
        });
    entry_under_test entry({twice.address()});
    raw_connection caller(entry.where());
    for (const auto* expected : {"answer 1", "answer 2"})
    {
        caller.send(caller_request("GET"));
        cr_assert(contains(caller.read_message(), expected));
    }
    cr_assert_eq(twice.connections(), 2);
}

// Guards against headers of the system that a caller forges.
Test(entry, internal_headers_of_callers_are_removed)
{
    std::string seen;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            seen = entry.read_until("\r\n\r\n");
            entry.send(answer_to(seen, "served"));
            entry.read_all();
        });
    entry_under_test entry({gate.address()});
    const auto answer = entry.call(caller_request(
        "GET", {},
        "hemlockshelf-not-run: true\r\nHemlockshelf-Pool: guild/ledger\r\n"
        "Hemlockshelf-Entry-Vm: forged\r\n"));
    cr_assert(contains(answer, "served"));
    cr_assert(!contains(seen, "not-run") && !contains(seen, "forged"));
    cr_assert_eq(header_of(seen, "Hemlockshelf-Pool"), "regie/catalogue");
    cr_assert_eq(header_of(seen, "Hemlockshelf-Service"), "catalogue");
}

// Guards against a second attempt that sends only the rest of a body.
Test(entry, retry_sends_the_whole_held_body)
{
    std::string received;
    scripted_server refusing(
        [](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(continue_answer);
            entry.read_until("0\r\n\r\n");
            entry.send(
                "HTTP/1.1 503 Busy\r\nHemlockshelf-Error: overloaded\r\n"
                "Hemlockshelf-Not-Run: true\r\nContent-Length: 0\r\n"
                "Hemlockshelf-Request-Id: " +
                header_of(head, "Hemlockshelf-Request-Id") + "\r\n\r\n");
            entry.read_all();
        });
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(continue_answer);
            received = entry.read_until("0\r\n\r\n");
            entry.send(answer_to(head, "served"));
            entry.read_all();
        });
    entry_under_test entry({refusing.address(), gate.address()});
    const std::string body = "first " + std::string(3000, 'x') + " last";
    const auto answer = entry.call(caller_request("POST", body));
    cr_assert(contains(answer, "served"));
    cr_assert(contains(received, body));
}

// Guards against a second attempt that starts in the middle of a body: the rest
// of the body outgrew what is held after the retry had been decided, and the
// next request on the gate's connection was taken for the missing bytes.
Test(entry, a_body_that_outgrows_the_held_part_is_not_sent_again)
{
    scripted_server refusing(
        [](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(
                "HTTP/1.1 503 Busy\r\nHemlockshelf-Error: overloaded\r\n"
                "Hemlockshelf-Not-Run: true\r\nContent-Length: 4\r\n"
                "Hemlockshelf-Request-Id: " +
                header_of(head, "Hemlockshelf-Request-Id") + "\r\n\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
            entry.send("busy");
            entry.read_all();
        });
    std::atomic<int> executions = 0;
    scripted_server gate(honest_gate(executions));
    auto settings = test_settings();
    settings.retry_body_limit_ = std::size_t{4} * 1024;
    settings.relay_buffer_bytes_ = std::size_t{4} * 1024;
    entry_under_test entry(
        {refusing.address(), gate.address()}, std::chrono::seconds{20}, 200,
        settings);
    const auto request = caller_request("PUT", std::string(6000, 'x'));
    raw_connection caller(entry.where());
    caller.send(request.substr(0, 2000));
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    caller.send(request.substr(2000));
    const auto answer = caller.read_message();
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(executions, 0);
    cr_assert_eq(gate.connections(), 0);
}

// Guards against one account that takes every slot of a pool.
Test(entry, calls_beyond_the_limit_are_refused)
{
    scripted_server slow(
        [](raw_connection& entry)
        {
            entry.read_until("\r\n\r\n");
            entry.read_all();
        });
    entry_under_test entry({slow.address()}, std::chrono::seconds{20}, 1);
    raw_connection first(entry.where());
    first.send(caller_request("GET"));
    while (slow.connections() == 0)
    {
        std::this_thread::yield();
    }
    const auto answer = entry.call(caller_request("GET"));
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "quota_exceeded");
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
}

// Guards against work that goes on for a caller that has gone.
Test(entry, caller_that_leaves_ends_the_gate_connection)
{
    std::atomic<bool> ended = false;
    scripted_server slow(
        [&](raw_connection& entry)
        {
            entry.read_until("\r\n\r\n");
            entry.read_all();
            ended = true;
        });
    entry_under_test entry({slow.address()});
    {
        raw_connection caller(entry.where());
        caller.send(caller_request("GET"));
        while (slow.connections() == 0)
        {
            std::this_thread::yield();
        }
    }
    while (!ended)
    {
        std::this_thread::yield();
    }
    entry.group().drain();
    cr_assert(entry.group().wait_for_calls(
        std::chrono::steady_clock::now() + std::chrono::seconds{20}));
}

// Guards against a drain that leaves keep-alive connections open.
Test(entry, draining_closes_the_connection_after_the_answer)
{
    std::atomic<int> executions = 0;
    scripted_server gate(honest_gate(executions));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET"));
    cr_assert(!contains(caller.read_message(), "Connection: close"));
    entry.group().drain();
    caller.send(caller_request("GET"));
    cr_assert(contains(caller.read_message(), "Connection: close"));
    cr_assert_eq(caller.read_all(), "");
}

// Guards against work for a caller that has left before its request is read:
// an entry short of processor time sent requests on half a second later
// (finding GONE, scale-2, seed 691294483278).
Test(entry, a_request_of_a_caller_that_has_left_is_not_sent_on)
{
    std::atomic<int> executions = 0;
    scripted_server gate(honest_gate(executions));
    entry_under_test entry({gate.address()});
    entry.set_paused(true);
    {
        raw_connection caller(entry.where());
        caller.send(caller_request("GET"));
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    entry.set_paused(false);
    cr_assert(contains(entry.call(caller_request("GET")), "served"));
    cr_assert_eq(executions, 1);
}

// Guards against a request that a stopping node reads and passes on before it
// cuts its connection: the calls in progress were counted once, and kept
// connections could begin new ones after that.
Test(entry, a_draining_node_answers_every_request_that_it_has_passed_on)
{
    constexpr int callers = 8;
    std::atomic<int> executions = 0;
    std::atomic<int> answers = 0;
    scripted_server gate(honest_gate(executions));
    entry_under_test entry({gate.address()});
    std::vector<std::thread> threads;
    threads.reserve(callers);
    std::atomic<int> connected = 0;
    for (int number = 0; number < callers; ++number)
    {
        threads.emplace_back(
            [&]
            {
                raw_connection caller(entry.where());
                ++connected;
                while (true)
                {
                    caller.send(caller_request("GET"));
                    if (!contains(caller.read_message(), "served"))
                    {
                        return;
                    }
                    ++answers;
                }
            });
    }
    while (connected < callers || answers < callers)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    raw_connection idle(entry.where());
    idle.send(caller_request("GET"));
    idle.read_message();
    entry.group().drain();
    entry.group().close_idle();
    const auto limit = std::chrono::steady_clock::now();
    cr_assert(entry.group().wait_for_sessions(limit + std::chrono::seconds{5}));
    cr_assert_eq(idle.read_all(), "");
    for (auto& thread : threads)
    {
        thread.join();
    }
    cr_assert_eq(executions, answers + 1);
}

// Guards against a connection that a draining node ends although a request has
// begun to arrive on it.
Test(entry, a_draining_node_serves_a_request_that_has_begun_to_arrive)
{
    std::atomic<int> executions = 0;
    scripted_server gate(honest_gate(executions));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    const auto request = caller_request("GET");
    caller.send(request.substr(0, 10));
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    entry.group().drain();
    entry.group().close_idle();
    caller.send(request.substr(10));
    cr_assert(contains(caller.read_message(), "served"));
}

// Guards against a request that waits for the work on those before it on its
// connection, and against answers in another order than the requests: the gate
// answers the first request only after it has run the second.
Test(entry, pipelined_requests_run_at_once_and_are_answered_in_order)
{
    std::atomic<int> executions = 0;
    scripted_server gate(
        [&executions](raw_connection& entry)
        {
            while (true)
            {
                const auto head = entry.read_until("\r\n\r\n");
                if (head.empty())
                {
                    return;
                }
                ++executions;
                while (contains(head, "first") && executions < 2)
                {
                    std::this_thread::yield();
                }
                entry.send(answer_to(
                    head, contains(head, "first") ? "first" : "second"));
            }
        });
    entry_under_test entry({gate.address(), gate.address()});
    raw_connection caller(entry.where());
    caller.send(
        caller_request("GET", {}, "X-Name: first\r\n") +
        caller_request("GET", {}, "X-Name: second\r\n"));
    cr_assert(contains(caller.read_message(), "\r\n\r\nfirst"));
    cr_assert(contains(caller.read_message(), "\r\n\r\nsecond"));
    cr_assert_eq(executions, 2);
}

// Guards against a request behind another one that runs although its caller
// sends it again: it may run once only, and the answer before it may close the
// connection.
Test(entry, requests_that_may_run_once_are_not_started_ahead)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> checked = false;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            entry.read_until("\r\n\r\n");
            ++executions;
            while (!checked)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
        });
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET") + caller_request("POST"));
    while (executions == 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    const int started = executions;
    checked = true;
    cr_assert_eq(started, 1);
}

// Guards against bytes of a body that are lost or changed because the session
// looks for a next request while the gate's 100 is awaited.
Test(entry, a_body_that_comes_during_the_handshake_stays_whole)
{
    std::string received;
    scripted_server gate(
        [&received](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds{150});
            entry.send(continue_answer);
            received = entry.read_until("\r\n0\r\n\r\n");
            entry.send(answer_to(head, "served"));
        });
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    std::string body;
    for (int number = 0; body.size() < 60'000; ++number)
    {
        body += "GET /" + std::to_string(number) + " HTTP/1.1\r\n\r\n";
    }
    const auto request = caller_request("POST", body);
    constexpr std::size_t pieces = 12;
    for (std::size_t piece = 0; piece < pieces; ++piece)
    {
        const auto size = request.size() / pieces + 1;
        caller.send(request.substr(piece * size, size));
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    cr_assert(contains(caller.read_message(), "served"));
    std::string joined;
    std::size_t at = 0;
    while (at < received.size())
    {
        const auto end = received.find("\r\n", at);
        const auto size =
            std::stoul(received.substr(at, end - at), nullptr, 16);
        joined += received.substr(end + 2, size);
        at = end + 2 + size + 2;
        if (size == 0)
        {
            break;
        }
    }
    cr_assert(joined == body);
}

// Guards against a caller that is not told when to come back.
Test(entry, a_refusal_names_a_time_to_come_back)
{
    scripted_server gate(refusing_gate("overloaded"));
    entry_under_test entry({gate.address()});
    const auto answer = entry.call(caller_request("POST"));
    cr_assert(contains(answer, "HTTP/1.1 503"));
    cr_assert(!header_of(answer, "Retry-After").empty());
}

// Guards against a request that is reported as 504, after which an unsafe
// request can't be sent again, although the gate was given no body to run.
Test(entry, deadline_in_the_handshake_is_a_true_not_run)
{
    scripted_server silent(
        [](raw_connection& entry)
        {
            entry.read_all();
        });
    entry_under_test entry({silent.address()}, std::chrono::milliseconds{300});
    const auto answer = entry.call(caller_request("POST", "order"));
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "deadline_exceeded");
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert(!header_of(answer, "Retry-After").empty());
}

// Guards against the same status for a request whose deadline passed in a
// gate's queue.
Test(entry, deadline_at_the_gate_is_a_true_not_run)
{
    scripted_server gate(refusing_gate("deadline_exceeded"));
    entry_under_test entry({gate.address()});
    const auto answer = entry.call(caller_request("POST", "order"));
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert(!header_of(answer, "Retry-After").empty());
}

// Guards against a 503 for a request that may have run: the gate names a kind
// whose usual answer is 503, without the proof that nothing ran.
Test(entry, refusal_without_proof_leaves_the_outcome_unknown)
{
    for (const auto* kind : {"deadline_exceeded", "draining"})
    {
        scripted_server gate(
            [kind](raw_connection& entry)
            {
                const auto head = entry.read_until("\r\n\r\n");
                entry.send(continue_answer);
                entry.read_until("0\r\n\r\n");
                entry.send(
                    "HTTP/1.1 503 Service Unavailable\r\n"
                    "Hemlockshelf-Request-Id: " +
                    header_of(head, "Hemlockshelf-Request-Id") +
                    "\r\nHemlockshelf-Error: " + kind +
                    "\r\nContent-Length: 0\r\n\r\n");
                entry.read_all();
            });
        entry_under_test entry({gate.address()});
        const auto answer = entry.call(caller_request("POST", "order"));
        cr_assert(contains(answer, "HTTP/1.1 504"), "%s", answer.c_str());
        cr_assert_eq(
            header_of(answer, "Hemlockshelf-Error"), "outcome_unknown");
        cr_assert(!contains(answer, "Not-Run"));
    }
}

// Guards against an unsafe request that ends as 504 although no byte of its
// body was written: the gate was lost between its 100 and the body, which the
// entry, short of processor time, noticed when it wrote.
Test(entry, gate_lost_between_its_100_and_the_body_is_replaced)
{
    std::atomic<int> executions = 0;
    auto settings = test_settings();
    settings.threads_ = 1;
    std::atomic<bool> occupied = false;
    std::atomic<bool> lost = false;
    scripted_server losing(
        [&](raw_connection& entry)
        {
            entry.read_until("\r\n\r\n");
            while (!occupied)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            entry.send(continue_answer);
            entry.reset();
            lost = true;
        });
    scripted_server honest(honest_gate(executions));
    entry_under_test entry(
        {losing.address(), honest.address()}, std::chrono::seconds{20}, 200,
        settings);
    occupied_loop loop(entry);
    raw_connection caller(entry.where());
    caller.send(caller_request("POST", "order"));
    while (losing.connections() == 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    raw_connection other(entry.where());
    other.send(caller_request("DELETE"));
    loop.await_call(2);
    occupied = true;
    while (!lost)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    loop.release(2);
    const auto answer = caller.read_message();
    cr_assert(contains(answer, "served"), "%s", answer.c_str());
}

// Guards against a request that waits for a gate's 100 when its node stops and
// ends with its connection, without an answer, although it has not run.
Test(entry, a_stop_answers_a_request_that_waits_for_a_gate)
{
    scripted_server silent(
        [](raw_connection& entry)
        {
            entry.read_all();
        });
    auto settings = test_settings();
    settings.handshake_timeout_ = std::chrono::seconds{10};
    entry_under_test entry(
        {silent.address(), silent.address()}, std::chrono::seconds{20}, 200,
        settings);
    raw_connection caller(entry.where());
    caller.send(caller_request("POST", "order"));
    while (silent.connections() == 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    entry.group().drain();
    entry.group().refuse_unforwarded();
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    entry.group().close_all();
    const auto answer = caller.read_message();
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "draining");
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert(!header_of(answer, "Retry-After").empty());
    cr_assert_eq(silent.connections(), 1);
}

// Guards against the same end of a request that arrives whole in the last
// moment before a stop.
Test(entry, a_stop_answers_a_request_that_arrives_last)
{
    std::atomic<int> executions = 0;
    scripted_server gate(honest_gate(executions));
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    const auto request = caller_request("GET");
    caller.send(request.substr(0, 10));
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    entry.group().drain();
    entry.group().refuse_unforwarded();
    caller.send(request.substr(10));
    const auto answer = caller.read_message();
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(executions, 0);
}

// Guards against a request whose upstream is at work and which is broken off
// with an answer of the stopping node.
Test(entry, a_stop_leaves_a_request_alone_that_was_passed_on)
{
    std::atomic<bool> arrived = false;
    std::atomic<bool> refused = false;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(continue_answer);
            entry.read_until("0\r\n\r\n");
            arrived = true;
            while (!refused)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            entry.send(answer_to(head, "served"));
            entry.read_all();
        });
    entry_under_test entry({gate.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("POST", "order"));
    while (!arrived)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    entry.group().drain();
    entry.group().refuse_unforwarded();
    refused = true;
    const auto answer = caller.read_message();
    cr_assert(contains(answer, "served"), "%s", answer.c_str());
}

// Guards against another attempt that a stop cuts: the one before ended after
// the node began to refuse.
Test(entry, a_stop_begins_no_further_attempt)
{
    std::atomic<int> executions = 0;
    std::atomic<bool> arrived = false;
    std::atomic<bool> refused = false;
    scripted_server losing(
        [&](raw_connection& entry)
        {
            entry.read_until("\r\n\r\n");
            arrived = true;
            while (!refused)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
        });
    scripted_server honest(honest_gate(executions));
    entry_under_test entry({losing.address(), honest.address()});
    raw_connection caller(entry.where());
    caller.send(caller_request("GET"));
    while (!arrived)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    entry.group().drain();
    entry.group().refuse_unforwarded();
    refused = true;
    const auto answer = caller.read_message();
    cr_assert_eq(
        header_of(answer, "Hemlockshelf-Error"), "outcome_unknown", "%s",
        answer.c_str());
    cr_assert_eq(executions, 0);
}

// Guards against an answer that is dropped although it has arrived: the process
// was short of processor time and acted on the end of a time limit first.
Test(entry, an_answer_that_has_arrived_at_the_time_limit_is_passed_on)
{
    waiting_gate script;
    const auto answer = call_with_late_loop(
        script, caller_request("GET", {}, "X-Name: order\r\n"));
    cr_assert(contains(answer, "late"), "%s", answer.c_str());
}

// Guards against the same loss at the deadline of a call.
Test(entry, an_answer_that_has_arrived_at_the_deadline_is_passed_on)
{
    waiting_gate script;
    const auto answer = call_with_late_loop(
        script, caller_request(
                    "GET", {},
                    "X-Name: order\r\nHemlockshelf-Deadline-Ms: " +
                        std::to_string(late_loop_limit.count()) + "\r\n"));
    cr_assert(contains(answer, "late"), "%s", answer.c_str());
}

// Guards against a gate's 100 that is dropped in the same way, so that a
// request with one gate is refused.
Test(entry, a_100_that_has_arrived_at_the_time_limit_is_used)
{
    waiting_gate script;
    const auto answer = call_with_late_loop(
        script, caller_request("POST", "silk", "X-Name: order\r\n"));
    cr_assert(contains(answer, "late"), "%s", answer.c_str());
}

// Guards against a body that is sent after the deadline because the 100 had
// arrived: the request would run for a caller that no longer waits.
Test(entry, a_100_that_has_arrived_at_the_deadline_releases_no_body)
{
    waiting_gate script;
    const auto answer = call_with_late_loop(
        script, caller_request(
                    "POST", "silk",
                    "X-Name: order\r\nHemlockshelf-Deadline-Ms: " +
                        std::to_string(late_loop_limit.count()) + "\r\n"));
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert_eq(script.bodies(), 0);
}
