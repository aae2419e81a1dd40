#include "adapters/rpc/compressed_stream.hpp"

#include <algorithm>
#include <exception>
#include <span>
#include <utility>

#include <kj/debug.h>

namespace hemlockshelf {

namespace {

// Bytes requested from the socket when no frame has begun. Small, because each
// idle connection holds a buffer of this size. It fits several small messages.
constexpr std::size_t idle_read_size = 512;
// Buffers that grew beyond this size are released when they are empty.
constexpr std::size_t max_kept_capacity = 1024;

void release_if_large(std::vector<std::byte>& buffer)
{
    if (buffer.empty() && buffer.capacity() > max_kept_capacity)
    {
        std::vector<std::byte>().swap(buffer);
    }
}

template <class Function>
auto disconnect_on_failure(Function&& function)
{
    try
    {
        return function();
    }
    catch (const std::exception& failure)
    {
        kj::throwFatalException(
            KJ_EXCEPTION(DISCONNECTED, "control stream", failure.what()));
    }
}

} // namespace

compressed_stream::compressed_stream(
    kj::Own<kj::AsyncIoStream> socket, frame_codec& codec, byte_meter& meter)
    : socket_(kj::mv(socket)), codec_(codec), meter_(meter)
{}

kj::Promise<std::size_t>
compressed_stream::tryRead(void* buffer, std::size_t min, std::size_t max)
{
    return read_more(static_cast<kj::byte*>(buffer), min, max, 0);
}

kj::Promise<std::size_t> compressed_stream::read_more(
    kj::byte* buffer,
    std::size_t min,
    std::size_t max,
    std::size_t already_read)
{
    already_read += take_plain(buffer + already_read, max - already_read);
    if (already_read >= min)
    {
        return already_read;
    }
    return receive().then(
        [this, buffer, min, max,
         already_read](bool is_open) -> kj::Promise<std::size_t>
        {
            if (!is_open)
            {
                return already_read;
            }
            decode_received();
            return read_more(buffer, min, max, already_read);
        });
}

std::size_t compressed_stream::take_plain(kj::byte* buffer, std::size_t size)
{
    const auto count = std::min(size, plain_.size() - plain_begin_);
    const auto unread = std::span(plain_).subspan(plain_begin_, count);
    std::ranges::copy(unread, reinterpret_cast<std::byte*>(buffer));
    plain_begin_ += count;
    if (plain_begin_ == plain_.size())
    {
        plain_.clear();
        plain_begin_ = 0;
        release_if_large(plain_);
    }
    return count;
}

kj::Promise<bool> compressed_stream::receive()
{
    const auto held = received_.size();
    received_.resize(held + std::max(idle_read_size, missing_bytes()));
    return socket_->tryRead(received_.data() + held, 1, received_.size() - held)
        .then(
            [this, held](std::size_t count)
            {
                received_.resize(held + count);
                meter_.received(count);
                if (count == 0 && held > 0)
                {
                    kj::throwFatalException(KJ_EXCEPTION(
                        DISCONNECTED,
                        "control stream: closed in the middle of a frame"));
                }
                return count > 0;
            });
}

std::size_t compressed_stream::missing_bytes() const
{
    if (received_.size() < frame_codec::header_size)
    {
        return frame_codec::header_size - received_.size();
    }
    const auto payload = frame_codec::payload_size(
        std::span(received_).first<frame_codec::header_size>());
    return frame_codec::header_size + payload - received_.size();
}

void compressed_stream::decode_received()
{
    std::span<const std::byte> rest(received_);
    while (rest.size() >= frame_codec::header_size)
    {
        const auto payload =
            frame_codec::payload_size(rest.first<frame_codec::header_size>());
        const auto frame_size = frame_codec::header_size + payload;
        if (rest.size() < frame_size)
        {
            break;
        }
        const auto plain = disconnect_on_failure(
            [&]
            {
                return codec_.decode(
                    read_, rest.subspan(frame_codec::header_size, payload));
            });
        plain_.insert(plain_.end(), plain.begin(), plain.end());
        rest = rest.subspan(frame_size);
    }
    received_.erase(
        received_.begin(),
        received_.end() - static_cast<std::ptrdiff_t>(rest.size()));
    release_if_large(received_);
}

kj::Promise<void> compressed_stream::write(const void* buffer, std::size_t size)
{
    const kj::ArrayPtr<const kj::byte> piece(
        static_cast<const kj::byte*>(buffer), size);
    return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> compressed_stream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::vector<std::byte> plain;
    for (const auto& piece : pieces)
    {
        const auto bytes =
            std::as_bytes(std::span(piece.begin(), piece.size()));
        plain.insert(plain.end(), bytes.begin(), bytes.end());
    }
    std::vector<std::byte> frames;
    disconnect_on_failure(
        [&]
        {
            codec_.encode(sent_, plain, frames);
        });
    meter_.sent(frames.size());
    auto held = kj::heap(std::move(frames));
    auto written = socket_->write(held->data(), held->size());
    return written.attach(kj::mv(held));
}

kj::Promise<void> compressed_stream::whenWriteDisconnected()
{
    return socket_->whenWriteDisconnected();
}

void compressed_stream::shutdownWrite()
{
    socket_->shutdownWrite();
}

void compressed_stream::abortRead()
{
    socket_->abortRead();
}

} // namespace hemlockshelf
