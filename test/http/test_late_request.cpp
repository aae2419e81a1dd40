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

/// A gate that answers after 300 ms, and an entry that stops in a second.
struct fixture
{
    fixture()
    {
        // A request that a caller has begun to send keeps its connection.
        caller_.send(start_);
        std::this_thread::sleep_for(50ms);
        entry_.group().drain();
        entry_.group().set_end(entry_.time().now() + 1s);
        entry_.group().close_idle();
    }

    /// Sends the rest of a request with this deadline, and returns the answer.
    std::string finish_request(const std::string& deadline_ms)
    {
        caller_.send(
            "Hemlockshelf-Deadline-Ms: " + deadline_ms +
            "\r\nContent-Length: 5\r\n\r\norder");
        return caller_.read_message();
    }

    std::string start_ = "POST /silk HTTP/1.1\r\nHost: catalogue.regie\r\n"
                         "Hemlockshelf-Account: regie\r\n";
    std::atomic<int> executions_ = 0;
    scripted_server gate_{[this](raw_connection& entry)
                          {
                              const auto head = entry.read_until("\r\n\r\n");
                              if (head.empty())
                              {
                                  return;
                              }
                              entry.send("HTTP/1.1 100 Continue\r\n\r\n");
                              entry.read_until("0\r\n\r\n");
                              ++executions_;
                              std::this_thread::sleep_for(300ms);
                              entry.send(answer_to(head, "served"));
                          }};
    entry_under_test entry_{{gate_.address()}};
    raw_connection caller_{entry_.where()};
};

} // namespace

// Guards against a request that becomes complete late in a planned stop, is
// passed on and is cut when the node ends.
Test(late_request, is_refused_if_it_may_outlast_the_node)
{
    fixture node;
    const auto answer = node.finish_request("2000");
    cr_assert(contains(answer, "HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_eq(header_of(answer, "Hemlockshelf-Error"), "draining");
    cr_assert_eq(header_of(answer, "Hemlockshelf-Not-Run"), "true");
    cr_assert(!header_of(answer, "Retry-After").empty());
    cr_assert_eq(node.executions_, 0);
}

// Guards against refusing what can still be served.
Test(late_request, is_served_if_it_ends_before_the_node)
{
    fixture node;
    cr_assert(contains(node.finish_request("800"), "served"));
    cr_assert_eq(node.executions_, 1);
}

// Guards against a connection that is accepted while the listener closes and
// stays open, so that a request on it comes when the node is about to end.
Test(late_request, finds_no_open_connection)
{
    const fixture node;
    raw_connection caller(node.entry_.where());
    const auto started = std::chrono::steady_clock::now();
    cr_assert(caller.read_all().empty());
    cr_assert(std::chrono::steady_clock::now() - started < 2s);
}
