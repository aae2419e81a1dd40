#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Long enough for a busy machine to bring the first bytes of an answer.
constexpr milliseconds timeout{1'000};
// More than the buffers of the connections hold.
constexpr std::size_t long_bytes = std::size_t{24} * 1024 * 1024;
constexpr std::size_t stalled_bytes = 200'000;

std::string head_for(const std::string& request, std::size_t length)
{
    return head_to(
        request, "Content-Length: " + std::to_string(length) + "\r\n");
}

/// Sends a long answer on every connection. The body is built in advance, which
/// takes up to 1.7 s on a busy machine.
class long_answer
{
public:
    scripted_server::script script()
    {
        return [this](raw_connection& client)
        {
            const auto request = client.read_until("\r\n\r\n");
            client.send(head_for(request, long_bytes) + body_.substr(0, 1));
            begun_ = steady_clock::now();
            client.send(body_.substr(1));
            client.read_all();
            ended_ = true;
        };
    }

    [[nodiscard]] const std::atomic<bool>& ended() const
    {
        return ended_;
    }

    [[nodiscard]] bool begun_by(steady_clock::time_point when) const
    {
        const auto begun = begun_.load();
        return begun != steady_clock::time_point{} && begun <= when;
    }

private:
    const std::string body_ = std::string(long_bytes, 'x');
    std::atomic<steady_clock::time_point> begun_{};
    std::atomic<bool> ended_ = false;
};

/// The answer received by a client that read nothing before the deadline.
struct delayed_read
{
    std::string answer_;
    /// Whether the answer began before the deadline and the client read it
    /// without a pause. Otherwise the relay may truncate it.
    bool in_time_ = false;
};

/// Sends `request` over `client` and reads the answer after the deadline.
delayed_read read_after_deadline(
    raw_connection& client,
    const std::string& request,
    const std::string& start,
    milliseconds timeout_of_call,
    const long_answer& source)
{
    // Less than the 250 ms for which the relay waits for the next bytes of an
    // answer that its client has delayed.
    constexpr milliseconds longest_read{200};
    const auto sent = steady_clock::now();
    client.send(request);
    std::this_thread::sleep_for(2 * timeout_of_call);
    const auto taken = steady_clock::now();
    delayed_read delivery;
    // The gate may have sent progress reports before the answer.
    delivery.answer_ = client.read_until(start);
    delivery.answer_ += client.read_message();
    delivery.in_time_ = source.begun_by(sent + timeout_of_call) &&
                        steady_clock::now() - taken <= longest_read;
    return delivery;
}

/// Repeats a delivery with longer timeouts while a lack of processor time has
/// kept the answer from being ready in time. Returns the first one that is
/// complete or that the relay had no reason to truncate.
delayed_read repeat_until_ready_in_time(
    const std::function<delayed_read(milliseconds)>& deliver)
{
    constexpr milliseconds longest_timeout{8'000};
    auto delivery = deliver(timeout);
    for (auto longer = 2 * timeout; longer <= longest_timeout; longer *= 2)
    {
        if (delivery.in_time_ || delivery.answer_.size() > long_bytes)
        {
            break;
        }
        delivery = deliver(longer);
    }
    return delivery;
}

void check_complete(const delayed_read& delivery)
{
    const auto& answer = delivery.answer_;
    cr_assert_gt(
        answer.size(), long_bytes, "%zu bytes, %s: %s", answer.size(),
        delivery.in_time_ ? "ready in time" : "never ready in time",
        answer.substr(0, answer.find("xxxx")).c_str());
}

void wait_until(const std::atomic<bool>& condition, milliseconds longest)
{
    const auto end = steady_clock::now() + longest;
    while (!condition && steady_clock::now() < end)
    {
        std::this_thread::sleep_for(milliseconds{5});
    }
}

} // namespace

// Guards against an answer that was ready in time and is truncated because its
// caller reads slowly.
Test(late_answer, the_entry_delivers_a_ready_answer_after_the_deadline)
{
    check_complete(repeat_until_ready_in_time(
        [](milliseconds longest)
        {
            long_answer source;
            scripted_server gate(source.script());
            entry_under_test entry({gate.address()}, longest);
            raw_connection caller(entry.where());
            return read_after_deadline(
                caller, caller_request("GET"), "HTTP/1.1 ", longest, source);
        }));
}

// Guards against an answer that was ready in time and is truncated between the
// gate and an entry whose caller reads slowly.
Test(late_answer, the_gate_delivers_a_ready_answer_after_the_deadline)
{
    check_complete(repeat_until_ready_in_time(
        [](milliseconds longest)
        {
            long_answer source;
            scripted_server upstream(source.script());
            gate_under_test gate(upstream.address());
            raw_connection entry(gate.where());
            return read_after_deadline(
                entry, gate_request_text("GET", {}, longest.count()),
                "HTTP/1.1 200", longest, source);
        }));
}

// Guards against a caller that occupies a gate's connection forever because it
// does not read its answer.
Test(late_answer, a_caller_that_takes_nothing_is_cut)
{
    long_answer source;
    scripted_server gate(source.script());
    auto settings = test_settings();
    settings.answer_timeout_ = timeout;
    entry_under_test entry({gate.address()}, timeout, 200, settings);
    raw_connection caller(entry.where());
    const auto begin = steady_clock::now();
    caller.send(caller_request("GET"));
    wait_until(source.ended(), milliseconds{4'000});
    cr_assert(source.ended());
    cr_assert_geq(
        (steady_clock::now() - begin).count(),
        std::chrono::nanoseconds(2 * timeout - milliseconds{50}).count());
}

// Guards against an extension for an upstream that is not ready at the
// deadline: only the time spent on waiting for the caller extends it.
Test(late_answer, an_answer_that_stalls_is_cut_at_the_deadline)
{
    std::atomic<bool> ended = false;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head =
                head_for(entry.read_until("\r\n\r\n"), stalled_bytes);
            entry.send(head + std::string(stalled_bytes / 2, 'x'));
            entry.read_all();
            ended = true;
        });
    entry_under_test entry({gate.address()}, timeout);
    raw_connection caller(entry.where());
    const auto begin = steady_clock::now();
    caller.send(caller_request("GET"));
    cr_assert_lt(caller.read_all().size(), stalled_bytes);
    wait_until(ended, milliseconds{4'000});
    cr_assert(ended);
    cr_assert_lt(
        (steady_clock::now() - begin).count(),
        std::chrono::nanoseconds(timeout + milliseconds{1'500}).count());
}

// A node is asked to stop while a gate that is short of processor time has a
// request and sends nothing for longer than the silence limit. Guards against
// an end of the request at which its upstream is at work.
Test(late_answer, a_node_that_drains_waits_for_a_silent_gate)
{
    std::atomic<bool> dispatched = false;
    const auto settings = test_settings();
    scripted_server gate(
        [&](raw_connection& connection)
        {
            const auto head = connection.read_until("\r\n\r\n");
            dispatched = true;
            std::this_thread::sleep_for(
                settings.silence_timeout_ + std::chrono::milliseconds{500});
            connection.send(answer_to(head, "served"));
            connection.read_all();
        });
    entry_under_test entry(
        {gate.address()}, std::chrono::seconds{10}, 200, settings);
    std::thread stop(
        [&]
        {
            while (!dispatched)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            entry.group().drain();
        });
    const auto answer = entry.call(caller_request("GET"));
    stop.join();
    cr_assert(contains(answer, "\r\n\r\nserved"), "%s", answer.c_str());
}
