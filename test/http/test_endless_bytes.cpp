#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t piece_bytes = std::size_t{64} << 10U;
constexpr std::size_t sent_bytes = std::size_t{96} << 20U;
// Far below what the upstream sends, and above what the threads of the test
// itself take.
constexpr std::size_t max_growth = std::size_t{16} << 20U;

std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Answers the first request with `start` and then with `piece` until the
/// connection is closed, and other requests completely.
scripted_server::script
endless_upstream(const std::string& start, const std::string& piece)
{
    return [start, piece](raw_connection& gate)
    {
        while (true)
        {
            const auto head = gate.read_until("\r\n\r\n");
            if (head.empty())
            {
                return;
            }
            if (!contains(head, "X-Name: endless"))
            {
                gate.send(answer_to(head, "served"));
                continue;
            }
            gate.send(start);
            std::string block;
            while (block.size() < piece_bytes)
            {
                block += piece;
            }
            for (std::size_t sent = 0; sent < sent_bytes; sent += block.size())
            {
                if (!gate.send(block))
                {
                    return;
                }
            }
            return;
        }
    };
}

/// What the callers and the process saw while an upstream sent without end.
struct observation
{
    std::string answer_;
    int served_ = 0;
    int asked_ = 0;
    std::size_t growth_ = 0;
};

/// Sends a request to an upstream that answers without end, beside requests of
/// other callers, through an entry and a gate.
observation observe(const std::string& start, const std::string& piece)
{
    scripted_server upstream(endless_upstream(start, piece));
    gate_under_test gate(upstream.address(), 8, 16, long_timeout_settings());
    entry_under_test entry({gate.where()});
    observation seen;
    seen.served_ += contains(entry.call(caller_request("GET")), "served");
    ++seen.asked_;
    const auto before = resident_bytes();
    std::atomic<bool> done = false;
    std::thread endless(
        [&]
        {
            raw_connection caller(entry.where());
            caller.send(caller_request(
                "POST", "order",
                "X-Name: endless\r\nHemlockshelf-Deadline-Ms: 600\r\n"));
            seen.answer_ = caller.read_until("\r\n\r\n");
            if (contains(seen.answer_, "200 OK"))
            {
                caller.discard_all();
            }
            done = true;
        });
    do
    {
        seen.served_ += contains(entry.call(caller_request("GET")), "served");
        ++seen.asked_;
        seen.growth_ = std::max(
            seen.growth_,
            resident_bytes() - std::min(resident_bytes(), before));
        std::this_thread::sleep_for(5ms);
    } while (!done);
    endless.join();
    return seen;
}

void check_others(const observation& seen)
{
    cr_assert_eq(seen.served_, seen.asked_);
    cr_assert(seen.growth_ < max_growth, "grown by %zu bytes", seen.growth_);
}

const std::string filler(1000, 'x');
const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a node that keeps all bytes of an answer that never ends and
// runs out of memory, so that the requests of other callers end with it. Here
// the bytes are no answer at all.
Test(endless_bytes, without_a_line_end_the_request_fails)
{
    const auto seen = observe("", filler);
    cr_assert(contains(seen.answer_, "502"), "%s", seen.answer_.c_str());
    check_others(seen);
}

Test(endless_bytes, of_a_head_end_the_request)
{
    const auto seen = observe("HTTP/1.1 200 OK\r\n", "X-Field: x\r\n");
    cr_assert(contains(seen.answer_, "502"), "%s", seen.answer_.c_str());
    check_others(seen);
}

Test(endless_bytes, of_interim_answers_end_the_request)
{
    const auto seen = observe("", "HTTP/1.1 102 Processing\r\n\r\n");
    cr_assert(contains(seen.answer_, "502"), "%s", seen.answer_.c_str());
    check_others(seen);
}

Test(endless_bytes, of_a_chunk_extension_end_the_answer)
{
    check_others(observe(chunked_head + "5;x=", filler));
}

Test(endless_bytes, of_a_trailer_end_the_answer)
{
    check_others(observe(chunked_head + "0\r\n", "X-Field: x\r\n"));
}

Test(endless_bytes, of_a_body_are_not_kept)
{
    check_others(observe("HTTP/1.1 200 OK\r\n\r\n", filler));
}

Test(endless_bytes, behind_a_refusal_are_not_read)
{
    const auto seen = observe(
        "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: "
        "chunked\r\n\r\n",
        "3e8\r\n" + filler + "\r\n");
    check_others(seen);
}
