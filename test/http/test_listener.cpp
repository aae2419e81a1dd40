#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds idle_timeout{300};

call_settings impatient_settings()
{
    auto settings = test_settings();
    settings.idle_timeout_ = idle_timeout;
    return settings;
}

/// Requires that the listener closes an idle connection without an answer, not
/// before the idle timeout and well before reads of the test end.
void expect_idle_close(raw_connection& caller)
{
    const auto start = std::chrono::steady_clock::now();
    cr_assert_eq(caller.read_all(), "");
    const auto elapsed = std::chrono::steady_clock::now() - start;
    cr_assert(elapsed >= idle_timeout - 50ms && elapsed < 4s);
}

void expect_answer(
    const entry_under_test& entry,
    const std::string& request,
    const std::string& expected)
{
    const auto answer = entry.call(request);
    cr_assert(
        contains(answer, expected), "expected %s, got %s", expected.c_str(),
        answer.c_str());
}

} // namespace

// Guards against input that ends the process, hangs a connection or makes two
// parties see different requests in it. The last request shows that the
// listener still serves.
Test(listener, bad_input_gets_a_clear_answer)
{
    scripted_server gate(
        [](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            entry.send(
                "HTTP/1.1 200 OK\r\nHemlockshelf-Request-Id: " +
                header_of(head, "Hemlockshelf-Request-Id") +
                "\r\nContent-Length: 6\r\n\r\nserved");
        });
    entry_under_test entry({gate.address()});
    expect_answer(entry, "garbage\r\n\r\n", "400 ");
    expect_answer(entry, std::string("\0\1\2\r\n\r\n", 7), "400 ");
    expect_answer(
        entry, "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n",
        "431 ");
    expect_answer(
        entry,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
        "413 ");
    expect_answer(
        entry,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "400 ");
    expect_answer(
        entry, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        "400 ");
    expect_answer(
        entry, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400 ");
    expect_answer(
        entry, caller_request("GET", {}, "Hemlockshelf-Deadline-Ms: -1\r\n"),
        "400 ");
    expect_answer(
        entry,
        "PUT /silk HTTP/1.1\r\nHost: catalogue.regie\r\n"
        "Hemlockshelf-Account: regie\r\nTransfer-Encoding: chunked\r\n\r\n"
        "size\r\n",
        "400 ");
    expect_answer(
        entry, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "unknown_account");
    expect_answer(entry, caller_request("GET"), "served");
}

// Guards against a chunked body with trailers that changes what is passed on.
Test(listener, trailers_of_callers_are_dropped)
{
    std::string seen;
    scripted_server gate(
        [&](raw_connection& entry)
        {
            const auto head = entry.read_until("\r\n\r\n");
            seen = head + entry.read_until("0\r\n\r\n");
            entry.send(
                "HTTP/1.1 200 OK\r\nHemlockshelf-Request-Id: " +
                header_of(head, "Hemlockshelf-Request-Id") +
                "\r\nContent-Length: 6\r\n\r\nserved");
            entry.read_all();
        });
    entry_under_test entry({gate.address()});
    expect_answer(
        entry,
        "PUT /silk HTTP/1.1\r\nHost: catalogue.regie\r\n"
        "Hemlockshelf-Account: regie\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\nHemlockshelf-Not-Run: true\r\n\r\n",
        "served");
    cr_assert(contains(seen, "4\r\nbody\r\n0\r\n\r\n"));
    cr_assert(!contains(seen, "Not-Run"));
}

// Guards against callers that hold connections forever without a request, or
// with half of one.
Test(listener, idle_connections_of_callers_are_closed)
{
    entry_under_test entry({}, 20s, 200, impatient_settings());
    raw_connection silent(entry.where());
    expect_idle_close(silent);
    raw_connection stalled(entry.where());
    stalled.send("GET /silk HTTP/1.1\r\nHost: cat");
    expect_idle_close(stalled);
}

// Guards against an idle timeout that cuts a call, and against one that counts
// from before the call's end.
Test(listener, a_call_longer_than_the_idle_timeout_keeps_its_connection)
{
    scripted_server gate(
        [](raw_connection& entry)
        {
            while (true)
            {
                const auto head = entry.read_until("\r\n\r\n");
                if (head.empty())
                {
                    return;
                }
                std::this_thread::sleep_for(idle_timeout + 150ms);
                entry.send(
                    "HTTP/1.1 200 OK\r\nHemlockshelf-Request-Id: " +
                    header_of(head, "Hemlockshelf-Request-Id") +
                    "\r\nContent-Length: 6\r\n\r\nserved");
            }
        });
    entry_under_test entry({gate.address()}, 20s, 200, impatient_settings());
    raw_connection caller(entry.where());
    for (int count = 0; count < 2; ++count)
    {
        caller.send(caller_request("GET"));
        cr_assert(contains(caller.read_message(), "served"));
    }
    expect_idle_close(caller);
}
