#include <atomic>
#include <chrono>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

gate_settings narrow_link()
{
    gate_settings limits;
    limits.link_ = bit_rate{7'000'000};
    return limits;
}

/// A gate whose link is granted to a body of the given size that does not come.
class full_gate
{
public:
    full_gate(const endpoint& upstream, std::uint64_t bytes)
        : gate_(upstream, 18, 64, test_settings(), narrow_link()),
          holder_(gate_.where()), refresh_(
                                      [this]
                                      {
                                          refresh();
                                      })
    {
        holder_.send(gate_request_text(
            "POST", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"
                    "Hemlockshelf-Body-Length: " +
                        std::to_string(bytes) + "\r\n"));
        holder_.read_until("100 Continue\r\n\r\n");
        // Keeps the gate from giving the body up.
        holder_.send("1\r\nx\r\n");
    }

    ~full_gate()
    {
        ended_ = true;
        refresh_.join();
    }

    full_gate(const full_gate&) = delete;
    full_gate& operator=(const full_gate&) = delete;

    [[nodiscard]] endpoint where() const
    {
        return gate_.where();
    }

private:
    void refresh()
    {
        while (!ended_)
        {
            gate_.gate().refresh();
            std::this_thread::sleep_until(gate_.gate().next_refresh());
        }
    }

    std::atomic<bool> ended_ = false;
    gate_under_test gate_;
    raw_connection holder_;
    std::thread refresh_;
};

struct refused_upload
{
    std::string answer_;
    std::chrono::milliseconds took_{};
};

/// Sends an upload to an entry in front of full gates.
refused_upload
upload_to_full_gates(std::uint64_t granted, std::chrono::milliseconds target)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            gate.read_all();
        });
    constexpr int gate_count = 4;
    std::list<full_gate> gates;
    std::vector<endpoint> addresses;
    addresses.reserve(gate_count);
    for (int count = 0; count < gate_count; ++count)
    {
        addresses.push_back(
            gates.emplace_back(upstream.address(), granted).where());
    }
    entry_under_test entry(addresses, 3s, 200, test_settings(), target);
    const auto start = std::chrono::steady_clock::now();
    auto answer = entry.call(caller_request("POST", std::string(60'000, 'x')));
    return {
        std::move(answer),
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start)};
}

} // namespace

// Guards against an upload that waits at one full gate after the other before
// it is refused, although each gate knows that its link is granted for longer
// than a call may wait: 400 kB take 571 ms, and the limit is 500 ms. The time
// allows for a busy machine; a wait at one gate takes 300 ms.
Test(full_links, what_no_link_brings_is_refused_at_once)
{
    const auto refused = upload_to_full_gates(400'000, 800ms);
    cr_assert(
        contains(refused.answer_, "HTTP/1.1 503"), "%s",
        refused.answer_.c_str());
    cr_assert_eq(header_of(refused.answer_, "Hemlockshelf-Not-Run"), "true");
    cr_assert_lt(refused.took_.count(), 250);
    // A quarter less or more than the 571 ms, at random.
    const auto retry_after =
        std::stod(header_of(refused.answer_, "Retry-After"));
    cr_assert_geq(retry_after, 0.42);
    cr_assert_leq(retry_after, 0.72);
}

// Guards against an upload that waits for a link which can only bring it after
// its target latency.
Test(full_links, what_no_link_brings_in_time_is_refused_at_once)
{
    const auto refused = upload_to_full_gates(300'000, 400ms);
    cr_assert(
        contains(refused.answer_, "HTTP/1.1 503"), "%s",
        refused.answer_.c_str());
    cr_assert_lt(refused.took_.count(), 250);
    const auto retry_after =
        std::stod(header_of(refused.answer_, "Retry-After"));
    cr_assert_geq(retry_after, 0.31);
    cr_assert_leq(retry_after, 0.54);
}
