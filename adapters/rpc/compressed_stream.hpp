#ifndef HEMLOCKSHELF_ADAPTERS_RPC_COMPRESSED_STREAM_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_COMPRESSED_STREAM_HPP

#include <array>
#include <cstddef>
#include <vector>

#include <kj/async-io.h>

#include "adapters/rpc/byte_meter.hpp"
#include "adapters/rpc/frame_codec.hpp"

namespace hemlockshelf {

/// Stream that sends each write in compressed frames and counts the bytes on
/// the socket. The history of the connection is the dictionary: a heartbeat
/// that repeats the last one takes about a tenth of its size.
///
/// A node of a large deployment holds hundreds of these streams, most of them
/// idle, so an idle one keeps only its history. `codec` must outlive it.
class compressed_stream final : public kj::AsyncIoStream
{
public:
    compressed_stream(
        kj::Own<kj::AsyncIoStream> socket,
        frame_codec& codec,
        byte_meter& meter);

    /// Fails with a `DISCONNECTED` exception if the peer sends a malformed
    /// frame or closes the connection in the middle of one.
    kj::Promise<std::size_t>
    tryRead(void* buffer, std::size_t min, std::size_t max) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void>
    write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

private:
    kj::Promise<std::size_t> read_more(
        kj::byte* buffer,
        std::size_t min,
        std::size_t max,
        std::size_t already_read);
    std::size_t take_plain(kj::byte* buffer, std::size_t size);
    /// Reads at least one byte from the socket into `received_`. Returns false
    /// at the end of the stream.
    kj::Promise<bool> receive();
    void decode_received();
    [[nodiscard]] std::size_t missing_bytes() const;

    kj::Own<kj::AsyncIoStream> socket_;
    frame_codec& codec_;
    byte_meter& meter_;
    frame_history sent_;
    frame_history read_;
    /// Bytes of frames that are not complete.
    std::vector<std::byte> received_;
    /// Decoded bytes that the caller has not read, from `plain_begin_`.
    std::vector<std::byte> plain_;
    std::size_t plain_begin_ = 0;
};

} // namespace hemlockshelf

#endif
