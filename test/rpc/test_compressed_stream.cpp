#include "adapters/rpc/compressed_stream.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include <malloc.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

class ignoring_sink final : public metric_sink
{
public:
    void add(metric_id, std::string_view, double) override {}
    void set(metric_id, std::string_view, double) override {}
    void observe(metric_id, std::string_view, double) override {}
};

/// Two ends of one connection on one event loop.
struct connection
{
    connection(kj::TwoWayPipe pipe, frame_codec& codec, metric_sink& metrics)
        : near_meter_(metrics), far_meter_(metrics),
          near_(kj::mv(pipe.ends[0]), codec, near_meter_),
          far_(kj::mv(pipe.ends[1]), codec, far_meter_)
    {}

    byte_meter near_meter_;
    byte_meter far_meter_;
    compressed_stream near_;
    compressed_stream far_;
};

struct event_loop
{
    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    ignoring_sink metrics_;
    frame_codec codec_;

    std::unique_ptr<connection> connect()
    {
        return std::make_unique<connection>(
            io_.provider->newTwoWayPipe(), codec_, metrics_);
    }
};

std::vector<std::uint8_t> message_of(std::size_t size)
{
    std::vector<std::uint8_t> message(size);
    for (std::size_t index = 0; index < size; ++index)
    {
        message[index] = static_cast<std::uint8_t>(index * 31 + index / 7);
    }
    return message;
}

/// Sends a message from one end and returns what the other end reads.
std::vector<std::uint8_t> pass(
    event_loop& loop,
    compressed_stream& from,
    compressed_stream& to,
    const std::vector<std::uint8_t>& message)
{
    auto written = from.write(message.data(), message.size());
    std::vector<std::uint8_t> read(message.size());
    const auto count = to.tryRead(read.data(), read.size(), read.size())
                           .wait(loop.io_.waitScope);
    written.wait(loop.io_.waitScope);
    read.resize(count);
    return read;
}

std::size_t heap_in_use()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Opens connections, uses each with `exchange` and checks the memory that they
/// keep.
template <class Exchange>
void check_memory_of_ends(
    event_loop& loop, std::size_t connections, const Exchange& exchange)
{
    constexpr std::size_t max_bytes_per_end = 20'000;
    const auto before = heap_in_use();
    std::vector<std::unique_ptr<connection>> links;
    for (std::size_t index = 0; index < connections; ++index)
    {
        links.push_back(loop.connect());
        exchange(*links.back());
    }
    const auto used = heap_in_use() - before;
    cr_assert_leq(
        used, 2 * connections * max_bytes_per_end, "%zu bytes for %zu ends",
        used, 2 * connections);
}

/// Returns whether a stream that receives these bytes reports a lost
/// connection. `ends` closes the sender's direction after them.
bool disconnects_after(const std::vector<std::uint8_t>& bytes, bool ends)
{
    event_loop loop;
    auto pipe = loop.io_.provider->newTwoWayPipe();
    byte_meter meter(loop.metrics_);
    compressed_stream stream(kj::mv(pipe.ends[0]), loop.codec_, meter);
    auto written = pipe.ends[1]->write(bytes.data(), bytes.size());
    if (ends)
    {
        written.wait(loop.io_.waitScope);
        pipe.ends[1]->shutdownWrite();
    }
    std::uint8_t byte = 0;
    try
    {
        stream.tryRead(&byte, 1, 1).wait(loop.io_.waitScope);
    }
    catch (const kj::Exception& exception)
    {
        return exception.getType() == kj::Exception::Type::DISCONNECTED;
    }
    return false;
}

} // namespace

// Guards against messages of several frames that are cut or mixed up.
Test(compressed_stream, messages_of_any_size_arrive_whole)
{
    event_loop loop;
    const auto link = loop.connect();
    for (const std::size_t size : {1U, 300U, 16384U, 16385U, 200'000U, 17U})
    {
        const auto message = message_of(size);
        cr_assert(pass(loop, link->near_, link->far_, message) == message);
        cr_assert(pass(loop, link->far_, link->near_, message) == message);
    }
}

// Guards against the memory of a node growing by hundreds of kilobytes with
// each peer. With contexts of its own each end of a connection took 330 kB,
// which made 74 MB of a process among 295.
Test(compressed_stream, a_connection_takes_little_memory)
{
    event_loop loop;
    const auto message = message_of(600);
    check_memory_of_ends(
        loop, 64,
        [&](connection& link)
        {
            for (int round = 0; round < 10; ++round)
            {
                pass(loop, link.near_, link.far_, message);
                pass(loop, link.far_, link.near_, message);
            }
        });
}

// Guards against a large message after which an idle connection keeps its
// buffers.
Test(compressed_stream, a_large_message_leaves_no_buffers)
{
    event_loop loop;
    const auto message = message_of(400'000);
    check_memory_of_ends(
        loop, 16,
        [&](connection& link)
        {
            pass(loop, link.near_, link.far_, message);
        });
}

// Guards against a malformed frame that ends the process: the stream reports a
// lost connection.
Test(compressed_stream, a_malformed_frame_ends_the_connection_only)
{
    cr_assert(disconnects_after({0, 4, 0xff, 0xff, 0xff, 0xff}, false));
}

// Guards against a message that looks complete although its connection ended
// in the middle of it.
Test(compressed_stream, an_end_within_a_frame_is_an_error)
{
    cr_assert(disconnects_after({0, 9, 1}, true));
}
