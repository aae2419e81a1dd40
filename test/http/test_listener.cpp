#include <atomic>
#include <string>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

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
    entry_under_test entry({gate.where()});
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
    entry_under_test entry({gate.where()});
    expect_answer(
        entry,
        "PUT /silk HTTP/1.1\r\nHost: catalogue.regie\r\n"
        "Hemlockshelf-Account: regie\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\nHemlockshelf-Not-Run: true\r\n\r\n",
        "served");
    cr_assert(contains(seen, "4\r\nbody\r\n0\r\n\r\n"));
    cr_assert(!contains(seen, "Not-Run"));
}
