#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "call_fixture.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace hemlockshelf::test;

namespace {

/// More than the buffers of all sockets on the way hold.
constexpr std::size_t upload_bytes = std::size_t{32} << 20U;

/// Time in which an upload fills the buffers of the sockets, so that the reset
/// meets a write that waits.
constexpr std::chrono::milliseconds time_to_fill_buffers{200};

/// Time in which a gate finishes connecting, and the longer one that each of
/// its readings of the clock takes.
constexpr std::chrono::milliseconds time_to_connect{20};
constexpr std::chrono::milliseconds clock_delay{60};

constexpr std::string_view progress_answer = "HTTP/1.1 102 Processing\r\n\r\n";

/// Removes the interim answers that a gate sends if it or its upstream is slow.
std::string without_progress(std::string answer)
{
    while (answer.starts_with(progress_answer))
    {
        answer.erase(0, progress_answer.size());
    }
    return answer;
}

/// Sends a request while reading the answer to the end of the connection.
std::string answer_to_upload(const endpoint& server, const std::string& request)
{
    raw_connection client(server);
    std::thread upload(
        [&]
        {
            client.send(request);
        });
    auto answer = client.read_all();
    upload.join();
    return without_progress(std::move(answer));
}

std::string
answer_to_request(const endpoint& server, const std::string& request)
{
    raw_connection client(server);
    client.send(request);
    auto answer = client.read_message();
    while (answer == progress_answer)
    {
        answer = client.read_message();
    }
    return answer;
}

std::string upload_to_gate()
{
    return gate_request_text(
               "POST",
               "Content-Length: " + std::to_string(upload_bytes) + "\r\n") +
           std::string(upload_bytes, 'x');
}

std::string upload_to_entry()
{
    return caller_request("POST", std::string(upload_bytes, 'x'));
}

/// Sends part of an answer whose body ends with the connection.
void send_part_without_length(raw_connection& peer, const std::string& head)
{
    peer.send(head_to(head, "Connection: close\r\n") + "part");
}

/// Answers an upload at once and resets the connection during the upload.
void reset_during_upload(raw_connection& peer)
{
    const auto head = peer.read_until("\r\n\r\n");
    if (contains(head, "100-continue"))
    {
        peer.send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    send_part_without_length(peer, head);
    std::this_thread::sleep_for(time_to_fill_buffers);
    peer.reset();
}

/// Whether an answer is an error or visibly incomplete.
bool is_failure(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 5") ||
           (answer.starts_with("HTTP/1.1 200") &&
            contains(answer, "Transfer-Encoding: chunked") &&
            !answer.ends_with("0\r\n\r\n"));
}

void expect_failure(const std::string& answer)
{
    cr_expect(is_failure(answer), "%s", answer.substr(0, 500).c_str());
}

/// Expects an error that leaves open whether the request has run.
void expect_error(const std::string& answer, const std::string& status)
{
    cr_expect(
        answer.starts_with("HTTP/1.1 " + status + " "), "%s", answer.c_str());
    cr_expect(!contains(answer, "Hemlockshelf-Not-Run"), "%s", answer.c_str());
}

/// Replaces the status 200 of an answer.
std::string with_status(const std::string& status, std::string answer)
{
    return answer.replace(answer.find("200"), status.size(), status);
}

} // namespace

// Guards against passing on part of an answer as a complete one: the write of
// the upload takes the error of the reset, so that the next read sees an
// ordinary end of the connection.
Test(unusable_answer, a_reset_during_an_upload_does_not_complete_the_answer)
{
    scripted_server upstream(reset_during_upload);
    const gate_under_test gate(upstream.address());
    expect_failure(answer_to_upload(gate.where(), upload_to_gate()));
}

// Guards against the same at the entry, if a gate sends such an answer.
Test(unusable_answer, a_reset_by_a_gate_does_not_complete_the_answer)
{
    scripted_server gate(reset_during_upload);
    const entry_under_test entry({gate.address()});
    expect_failure(answer_to_upload(entry.where(), upload_to_entry()));
}

// Guards against the same on the whole way from an upstream to a caller.
Test(unusable_answer, a_reset_by_an_upstream_is_a_failure_for_the_caller)
{
    scripted_server upstream(reset_during_upload);
    const gate_under_test gate(
        upstream.address(), 4, 8, long_timeout_settings());
    const entry_under_test entry({gate.where()});
    expect_failure(answer_to_upload(entry.where(), upload_to_entry()));
}

// Guards against passing on part of an answer to a request without a body as a
// complete one.
Test(unusable_answer, a_reset_does_not_complete_the_answer_to_a_get)
{
    const auto answer_in_part = [](raw_connection& peer)
    {
        send_part_without_length(peer, peer.read_until("\r\n\r\n"));
        peer.reset();
    };
    scripted_server upstream(answer_in_part);
    const gate_under_test gate(upstream.address());
    expect_failure(answer_to_request(gate.where(), gate_request_text("GET")));
    scripted_server faulty_gate(answer_in_part);
    const entry_under_test entry({faulty_gate.address()});
    expect_failure(answer_to_request(entry.where(), caller_request("GET")));
}

// Guards against the same if the reset precedes the request, so that the write
// of the head takes the error. If the gate is late, connecting fails instead.
Test(unusable_answer, a_reset_before_a_get_does_not_complete_the_answer)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            send_part_without_length(gate, {});
            std::this_thread::sleep_for(time_to_connect);
            gate.reset();
        });
    gate_under_test gate(upstream.address());
    // The gate reads the clock between connecting and writing.
    gate.time().set_delay(clock_delay);
    expect_failure(answer_to_request(gate.where(), gate_request_text("GET")));
}

// Guards against passing on an answer whose status is not one of HTTP, from an
// upstream or from a gate.
Test(unusable_answer, a_status_out_of_range_is_no_answer)
{
    for (const std::string status : {"000", "099", "600", "999"})
    {
        const auto run = [status](raw_connection& peer)
        {
            const auto head = peer.read_until("\r\n\r\n");
            peer.send(with_status(status, answer_to(head, "no answer")));
            peer.read_all();
        };
        scripted_server upstream(run);
        const gate_under_test gate(upstream.address());
        expect_error(
            answer_to_request(gate.where(), gate_request_text("GET")), "502");
        scripted_server faulty_gate(run);
        const entry_under_test entry({faulty_gate.address()});
        expect_error(
            answer_to_request(entry.where(), caller_request("GET")), "504");
    }
}

// Guards against taking an interim answer with an unregistered status for the
// final answer.
Test(unusable_answer, an_unregistered_interim_status_is_no_final_answer)
{
    scripted_server upstream(
        [](raw_connection& gate)
        {
            const auto head = gate.read_until("\r\n\r\n");
            gate.send("HTTP/1.1 199 Interim\r\n\r\n");
            gate.send(answer_to(head, "final"));
            gate.read_all();
        });
    const gate_under_test gate(upstream.address());
    const auto answer =
        answer_to_request(gate.where(), gate_request_text("GET"));
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    cr_assert(answer.ends_with("final"), "%s", answer.c_str());
}

// Guards against refusing an answer whose status is in the range but not
// registered.
Test(unusable_answer, an_unregistered_final_status_is_passed_on)
{
    for (const std::string status : {"299", "599"})
    {
        scripted_server upstream(
            [status](raw_connection& gate)
            {
                const auto head = gate.read_until("\r\n\r\n");
                gate.send(with_status(status, answer_to(head, "served")));
                gate.read_all();
            });
        const gate_under_test gate(upstream.address());
        const auto answer =
            answer_to_request(gate.where(), gate_request_text("GET"));
        cr_assert(
            answer.starts_with("HTTP/1.1 " + status), "%s", answer.c_str());
    }
}

// Guards against a success that is passed on without the upstream's signature
// because its status is not registered.
Test(unusable_answer, an_unregistered_success_needs_a_signature)
{
    auto settings = test_settings();
    settings.protocol_.signature_ = "X-Signature";
    scripted_server upstream(
        [](raw_connection& gate)
        {
            auto answer = answer_to(gate.read_until("\r\n\r\n"), "forged");
            answer.replace(answer.find("200"), 3, "299");
            gate.send(answer);
            gate.read_all();
        });
    const gate_under_test gate(upstream.address(), 4, 8, settings);
    raw_connection entry(gate.where());
    entry.send(gate_request_text("GET"));
    const auto answer = entry.read_message();
    cr_assert_eq(answer.substr(0, 12), "HTTP/1.1 502", "%s", answer.c_str());
}
