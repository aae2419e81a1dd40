#ifndef HEMLOCKSHELF_ADAPTERS_RPC_COMPRESSED_STREAM_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_COMPRESSED_STREAM_HPP

#include <array>
#include <cstddef>
#include <memory>

#include <kj/async-io.h>
#include <zstd.h>

#include "adapters/rpc/byte_meter.hpp"

namespace hemlockshelf {

/// Stream that compresses what it writes, with each write flushed, and counts
/// the bytes on the socket. The history of the connection is the dictionary:
/// a heartbeat that repeats the last one takes about a tenth of its size.
class compressed_stream final : public kj::AsyncIoStream
{
public:
    compressed_stream(kj::Own<kj::AsyncIoStream> socket, byte_meter& meter);

    kj::Promise<std::size_t>
    tryRead(void* buffer, std::size_t min, std::size_t max) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void>
    write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

private:
    struct context_deleter
    {
        void operator()(ZSTD_CCtx* context) const
        {
            ZSTD_freeCCtx(context);
        }
        void operator()(ZSTD_DCtx* context) const
        {
            ZSTD_freeDCtx(context);
        }
    };

    kj::Promise<std::size_t> read_more(
        kj::byte* buffer,
        std::size_t min,
        std::size_t max,
        std::size_t already_read);
    std::size_t decompress_into(kj::byte* buffer, std::size_t size);

    kj::Own<kj::AsyncIoStream> socket_;
    byte_meter& meter_;
    std::unique_ptr<ZSTD_CCtx, context_deleter> compressor_;
    std::unique_ptr<ZSTD_DCtx, context_deleter> decompressor_;
    std::array<kj::byte, 4096> input_{};
    std::size_t input_begin_ = 0;
    std::size_t input_end_ = 0;
    /// The decompressor may hold output that did not fit the last buffer.
    bool output_pending_ = false;
};

} // namespace hemlockshelf

#endif
