#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "adapters/http/http_client.hpp"
#include "scripted_server.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;
using std::chrono::milliseconds;

namespace {

constexpr const char* chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

result<http_response> call(const scripted_server& server)
{
    http_request request{boost::beast::http::verb::get, "/", 11};
    request.set(boost::beast::http::field::host, "a");
    return blocking_exchange(
        {server.address(), {}, milliseconds{4000}}, request);
}

} // namespace

// Guards against an immediate retry to a rate-limited server because decimal
// seconds are parsed as no wait, and against an endless wait after an invalid
// value.
Test(http_client, retry_after_is_read_in_whole_and_decimal_seconds)
{
    const std::map<std::string, milliseconds> waits{
        {"2", milliseconds{2000}},  {"0.25", milliseconds{250}},
        {"1.5 s", milliseconds{0}}, {"nan", milliseconds{0}},
        {"-1", milliseconds{0}},    {"1e3", milliseconds{0}},
        {"3601", milliseconds{0}},  {"", milliseconds{0}}};
    for (const auto& [text, wait] : waits)
    {
        http_response answer;
        answer.set(boost::beast::http::field::retry_after, text);
        cr_expect(parse_retry_after(answer) == wait, "%s", text.c_str());
    }
}

// Guards against a process that ends because the last chunk of an empty answer
// of the platform arrives in pieces, with the head or after it.
Test(http_client, a_last_chunk_may_arrive_in_pieces)
{
    const std::string head = chunked_head;
    const std::vector<std::vector<std::string>> divisions{
        {head, "0\r\n", "\r", "\n"},
        {head + "0\r\n", "\r", "\n"},
        {head + "0\r\n\r", "\n"},
        {head + "0", "\r\n\r\n"}};
    for (const auto& pieces : divisions)
    {
        const scripted_server server(
            [&pieces](raw_connection& client)
            {
                client.read_until("\r\n\r\n");
                for (const auto& piece : pieces)
                {
                    client.send(piece);
                    std::this_thread::sleep_for(milliseconds{5});
                }
                client.read_all();
            });
        const auto answer = call(server);
        cr_assert(answer && answer->result_int() == 200);
    }
}

// Guards against an answer whose line does not end, all of which is kept until
// the process runs out of memory.
Test(http_client, a_line_without_end_fails_the_call)
{
    constexpr int most_blocks = 256;
    int sent = 0;
    {
        const scripted_server server(
            [&sent](raw_connection& client)
            {
                client.read_until("\r\n\r\n");
                client.send(std::string(chunked_head) + "5;x=");
                const std::string block(std::size_t{64} << 10U, 'x');
                while (sent < most_blocks && client.send(block))
                {
                    ++sent;
                }
            });
        cr_assert(!call(server));
    }
    cr_assert(sent < most_blocks);
}

// Guards against an answer whose status is not one of HTTP.
Test(http_client, a_status_out_of_range_fails_the_call)
{
    for (const std::string status : {"000", "099", "600", "999"})
    {
        const scripted_server server(
            [&status](raw_connection& client)
            {
                client.read_until("\r\n\r\n");
                client.send(
                    "HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n");
                client.read_all();
            });
        const auto answer = call(server);
        cr_assert(!answer, "%s", status.c_str());
        cr_assert(answer.error().kind_ == error_kind::outcome_unknown);
    }
}
