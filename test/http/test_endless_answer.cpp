#include <algorithm>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds timeout{1'000};
constexpr milliseconds reserve{1'500};
constexpr milliseconds trickle_interval{20};
constexpr milliseconds short_answer_timeout{500};
// With a few readings for each piece, a peer without a pause is faster.
constexpr std::chrono::microseconds slow_clock_reading{200};
constexpr std::size_t max_growth_kib = std::size_t{48} * 1024;
constexpr std::size_t piece_bytes = 4096;

/// What a peer sends without end after the start of an answer.
struct flood
{
    std::string start_;
    std::string piece_;
};

std::string repeat(const std::string& text)
{
    std::string piece;
    while (piece.size() < piece_bytes)
    {
        piece += text;
    }
    return piece;
}

const std::string letters(piece_bytes, 'x');
const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

const flood endless_line{"HTTP/1.1 200 ", letters};
const flood endless_fields{"HTTP/1.1 200 OK\r\n", repeat("X-Field: x\r\n")};
const flood endless_interim{"", repeat("HTTP/1.1 102 Processing\r\n\r\n")};
const flood endless_chunks{chunked_head, "1000\r\n" + letters + "\r\n"};
const flood endless_extension{chunked_head, letters};
const flood endless_body{"HTTP/1.1 200 OK\r\n", letters};

/// Sends a flood to every request until the connection ends. An answer that
/// repeats the request's id is taken for one to it.
scripted_server::script
flooding(const flood& what, const std::string& after_head = {})
{
    return [what, after_head](raw_connection& client)
    {
        const auto request = client.read_until("\r\n\r\n");
        auto start = what.start_;
        if (start.ends_with("\r\n") && !after_head.empty())
        {
            start += "Hemlockshelf-Request-Id: " +
                     header_of(request, "Hemlockshelf-Request-Id") + "\r\n" +
                     after_head;
        }
        // In one write, so that the bytes behind a whole answer come with it.
        bool open = client.send(start + what.piece_);
        while (open)
        {
            open = client.send(what.piece_);
        }
    };
}

/// Sends one byte of `text` after another, and the last one without end.
scripted_server::script trickling(const std::string& text)
{
    return [text](raw_connection& client)
    {
        client.read_until("\r\n\r\n");
        std::size_t at = 0;
        while (client.send(text.substr(at, 1)))
        {
            at = std::min(at + 1, text.size() - 1);
            std::this_thread::sleep_for(trickle_interval);
        }
    };
}

std::size_t peak_memory_kib()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word && word != "VmHWM:")
    {}
    std::size_t size = 0;
    status >> size;
    return size;
}

/// Bounds what one exchange may cost. A client that is slower than the flood
/// may take an answer until `answer_timeout` after the deadline.
class cost_check
{
public:
    explicit cost_check(milliseconds answer_timeout = {})
        : longest_(timeout + answer_timeout + reserve)
    {}

    ~cost_check()
    {
        const auto taken = steady_clock::now() - begin_;
        cr_expect_lt(taken.count(), std::chrono::nanoseconds(longest_).count());
        cr_expect_lt(peak_memory_kib() - memory_, max_growth_kib);
    }

private:
    milliseconds longest_;
    steady_clock::time_point begin_ = steady_clock::now();
    std::size_t memory_ = peak_memory_kib();
};

std::string status_of(const std::string& answer)
{
    return answer.substr(0, std::string("HTTP/1.1 200").size());
}

/// Expects that the entry ends the request with an answer of its own.
void expect_entry_answer(const flood& what)
{
    scripted_server gate(flooding(what));
    entry_under_test entry({gate.address()}, timeout);
    const cost_check cost;
    const auto answer = entry.call(caller_request("GET"));
    cr_expect_eq(status_of(answer), "HTTP/1.1 504", "%s", answer.c_str());
    cr_expect(!contains(answer, "Not-Run"));
}

/// Expects that the gate ends the request with an answer of its own.
void expect_gate_answer(const flood& what)
{
    scripted_server upstream(flooding(what));
    gate_under_test gate(upstream.address());
    const cost_check cost;
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET", {}, timeout.count()));
    std::string answer;
    do
    {
        answer = entry.read_message();
    } while (status_of(answer) == "HTTP/1.1 102");
    cr_expect_eq(status_of(answer), "HTTP/1.1 502", "%s", answer.c_str());
    cr_expect(!contains(answer, "Not-Run"));
}

void expect_entry_cut(const flood& what, const std::string& after_head)
{
    scripted_server gate(flooding(what, after_head));
    entry_under_test entry({gate.address()}, timeout);
    const cost_check cost(test_settings().answer_timeout_);
    raw_connection caller(entry.where());
    caller.send(caller_request("GET"));
    cr_expect(!caller.discard_all().ends_with("\r\n0\r\n\r\n"));
}

call_settings short_answer_settings()
{
    auto settings = test_settings();
    settings.answer_timeout_ = short_answer_timeout;
    return settings;
}

void expect_gate_cut(const flood& what, const std::string& after_head)
{
    scripted_server upstream(flooding(what, after_head));
    gate_under_test gate(upstream.address());
    const cost_check cost(test_settings().answer_timeout_);
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET", {}, timeout.count()));
    cr_expect(!entry.discard_all().ends_with("\r\n0\r\n\r\n"));
}

} // namespace

// Guards against a status line without end that fills the entry's memory.
Test(endless_answer, entry_ends_a_line)
{
    expect_entry_answer(endless_line);
}

// Guards against header fields without end that fill the entry's memory.
Test(endless_answer, entry_ends_fields)
{
    expect_entry_answer(endless_fields);
}

// Guards against interim answers without end, each of which shows that the gate
// is alive.
Test(endless_answer, entry_ends_interim_answers)
{
    expect_entry_answer(endless_interim);
}

// Guards against a chunk's extension without end that fills the entry's memory.
Test(endless_answer, entry_ends_an_extension)
{
    scripted_server gate(flooding(endless_extension, "\r\n4;"));
    entry_under_test entry({gate.address()}, timeout);
    const cost_check cost;
    const auto answer = entry.call(caller_request("GET"));
    cr_expect_eq(status_of(answer), "HTTP/1.1 502", "%s", answer.c_str());
}

// Guards against chunks without end that keep the entry busy after the deadline
// and are taken for a whole answer.
Test(endless_answer, entry_ends_chunks)
{
    expect_entry_cut(endless_chunks, "\r\n");
}

// Guards against a body without length and end that keeps the entry busy after
// the deadline and is taken for a whole answer.
Test(endless_answer, entry_ends_a_body)
{
    expect_entry_cut(endless_body, "\r\n");
}

// Guards against bytes after a whole answer that are taken for the next one or
// keep the entry reading.
Test(endless_answer, entry_drops_what_follows_an_answer)
{
    scripted_server gate(
        flooding(endless_body, "Content-Length: 6\r\n\r\nserved"));
    entry_under_test entry({gate.address()}, timeout);
    raw_connection caller(entry.where());
    const cost_check cost;
    for (int call = 0; call < 3; ++call)
    {
        caller.send(caller_request("GET"));
        const auto answer = caller.read_message();
        cr_expect(answer.ends_with("\r\n\r\nserved"), "%s", answer.c_str());
    }
    cr_expect_eq(gate.connections(), 3);
}

// Guards against a status line without end that fills the gate's memory.
Test(endless_answer, gate_ends_a_line)
{
    expect_gate_answer(endless_line);
}

// Guards against header fields without end that fill the gate's memory.
Test(endless_answer, gate_ends_fields)
{
    expect_gate_answer(endless_fields);
}

// Guards against interim answers without end.
Test(endless_answer, gate_ends_interim_answers)
{
    expect_gate_answer(endless_interim);
}

// Guards against a chunk's extension without end that fills the gate's memory.
Test(endless_answer, gate_ends_an_extension)
{
    expect_gate_cut(endless_extension, "\r\n4;");
}

// Guards against chunks without end that hold a slot after the deadline and are
// taken for a whole answer.
Test(endless_answer, gate_ends_chunks)
{
    expect_gate_cut(endless_chunks, "\r\n");
}

// Guards against a body without length and end that holds a slot after the
// deadline and is taken for a whole answer.
Test(endless_answer, gate_ends_a_body)
{
    expect_gate_cut(endless_body, "\r\n");
}

// Guards against a time limit that is extended again and again, because bytes
// of the endless body wait to be read each time it passes.
Test(endless_answer, slow_entry_ends_a_body)
{
    scripted_server gate(flooding(endless_body, "\r\n"));
    const auto settings = short_answer_settings();
    entry_under_test entry({gate.address()}, timeout, 200, settings);
    entry.time().set_delay(slow_clock_reading);
    const cost_check cost(short_answer_timeout);
    raw_connection caller(entry.where());
    caller.send(caller_request("GET"));
    caller.discard_all();
}

// Guards against the same at the gate.
Test(endless_answer, slow_gate_ends_a_body)
{
    scripted_server upstream(flooding(endless_body, "\r\n"));
    const auto settings = short_answer_settings();
    gate_under_test gate(upstream.address(), 4, 8, settings);
    gate.time().set_delay(slow_clock_reading);
    const cost_check cost(short_answer_timeout);
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET", {}, timeout.count()));
    entry.discard_all();
}

// Guards against a head that comes byte by byte and keeps the entry waiting
// beyond the deadline.
Test(endless_answer, entry_ends_a_head_that_trickles)
{
    scripted_server gate(trickling("HTTP/1.1 200 x"));
    entry_under_test entry({gate.address()}, timeout, 200, test_settings());
    const cost_check cost;
    const auto answer = entry.call(caller_request("GET"));
    cr_expect_eq(status_of(answer), "HTTP/1.1 504", "%s", answer.c_str());
}

// Guards against a head that comes byte by byte and keeps the gate waiting
// beyond the deadline.
Test(endless_answer, gate_ends_a_head_that_trickles)
{
    scripted_server upstream(trickling("HTTP/1.1 200 x"));
    gate_under_test gate(upstream.address());
    const cost_check cost;
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET", {}, timeout.count()));
    cr_expect(contains(entry.read_until("outcome_unknown"), "HTTP/1.1 504"));
}
