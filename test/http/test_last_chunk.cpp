#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> chunked_bodies{
    "5\r\norder\r\n0\r\n\r\n", "0\r\n\r\n"};

/// Sends the text in two pieces, or in three if `last` is set, the last of
/// which is one byte.
void send_in_pieces(
    raw_connection& connection,
    const std::string& text,
    std::size_t first,
    bool last)
{
    const auto end = text.size() - (last ? 1 : 0);
    connection.send(text.substr(0, first));
    std::this_thread::sleep_for(5ms);
    connection.send(text.substr(first, end - first));
    std::this_thread::sleep_for(5ms);
    connection.send(text.substr(end));
}

/// Calls `check` for each way to divide a body.
void for_each_division(
    const std::function<void(const std::string&, std::size_t, bool)>& check)
{
    for (const auto& body : chunked_bodies)
    {
        for (std::size_t first = 0; first < body.size(); ++first)
        {
            check(body, first, false);
            check(body, first, true);
        }
    }
}

} // namespace

// Guards against a process that ends because the last chunk of a body arrives
// in pieces: the parser got the same bytes twice.
Test(last_chunk, of_an_answer_may_arrive_in_pieces)
{
    for_each_division(
        [](const std::string& body, std::size_t first, bool last)
        {
            scripted_server upstream(
                [&](raw_connection& gate)
                {
                    const auto head = gate.read_until("\r\n\r\n");
                    gate.send(head_to(head, "Transfer-Encoding: chunked\r\n"));
                    send_in_pieces(gate, body, first, last);
                    gate.read_all();
                });
            gate_under_test gate(
                upstream.address(), 4, 8, long_timeout_settings());
            entry_under_test entry({gate.where()});
            const auto answer = entry.call(caller_request("GET"));
            cr_assert(
                contains(answer, "200 OK") &&
                    contains(answer, "order") == contains(body, "order"),
                "after %zu bytes: %s", first, answer.c_str());
        });
}

Test(last_chunk, of_a_request_may_arrive_in_pieces)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            while (true)
            {
                const auto head = gate.read_until("\r\n\r\n");
                if (head.empty())
                {
                    return;
                }
                gate.read_until("0\r\n\r\n");
                gate.send(answer_to(head, "served"));
            }
        });
    gate_under_test gate(upstream.address(), 4, 8, long_timeout_settings());
    entry_under_test entry({gate.where()});
    const std::string head = "POST /silk HTTP/1.1\r\nHost: catalogue.regie\r\n"
                             "Hemlockshelf-Account: regie\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    raw_connection caller(entry.where());
    for_each_division(
        [&](const std::string& body, std::size_t first, bool last)
        {
            caller.send(head);
            send_in_pieces(caller, body, first, last);
            const auto answer = caller.read_message();
            cr_assert(
                contains(answer, "served"), "after %zu bytes: %s", first,
                answer.c_str());
        });
}
