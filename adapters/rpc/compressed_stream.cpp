#include "adapters/rpc/compressed_stream.hpp"

#include <utility>

#include <kj/debug.h>
#include <kj/vector.h>

namespace hemlockshelf {

namespace {

constexpr int compression_level = 1;
// Bounds the memory of each connection; a window of 16 KiB holds the last
// hundred small messages.
constexpr int window_log = 14;

void check(std::size_t code)
{
    if (ZSTD_isError(code) != 0)
    {
        kj::throwFatalException(KJ_EXCEPTION(
            DISCONNECTED, "control stream: malformed data",
            ZSTD_getErrorName(code)));
    }
}

void append_compressed(
    ZSTD_CCtx* context,
    kj::ArrayPtr<const kj::byte> piece,
    ZSTD_EndDirective directive,
    kj::Vector<kj::byte>& output)
{
    ZSTD_inBuffer input{piece.begin(), piece.size(), 0};
    std::size_t remaining = 1;
    while (remaining != 0 || input.pos < input.size)
    {
        std::array<kj::byte, 4096> block;
        ZSTD_outBuffer buffer{block.data(), block.size(), 0};
        remaining = ZSTD_compressStream2(context, &buffer, &input, directive);
        check(remaining);
        output.addAll(kj::arrayPtr(block.data(), buffer.pos));
        if (directive == ZSTD_e_continue && input.pos == input.size)
        {
            return;
        }
    }
}

} // namespace

compressed_stream::compressed_stream(
    kj::Own<kj::AsyncIoStream> socket, byte_meter& meter)
    : socket_(kj::mv(socket)), meter_(meter), compressor_(ZSTD_createCCtx()),
      decompressor_(ZSTD_createDCtx())
{
    check(ZSTD_CCtx_setParameter(
        compressor_.get(), ZSTD_c_compressionLevel, compression_level));
    check(ZSTD_CCtx_setParameter(
        compressor_.get(), ZSTD_c_windowLog, window_log));
    check(ZSTD_CCtx_setParameter(
        compressor_.get(), ZSTD_c_hashLog, window_log - 1));
    check(ZSTD_DCtx_setParameter(
        decompressor_.get(), ZSTD_d_windowLogMax, window_log));
}

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
    already_read += decompress_into(buffer + already_read, max - already_read);
    if (already_read >= min)
    {
        return already_read;
    }
    return socket_->tryRead(input_.data(), 1, input_.size())
        .then(
            [this, buffer, min, max,
             already_read](std::size_t received) -> kj::Promise<std::size_t>
            {
                if (received == 0)
                {
                    return already_read;
                }
                meter_.received(received);
                input_begin_ = 0;
                input_end_ = received;
                return read_more(buffer, min, max, already_read);
            });
}

std::size_t
compressed_stream::decompress_into(kj::byte* buffer, std::size_t size)
{
    ZSTD_outBuffer output{buffer, size, 0};
    while (output.pos < output.size &&
           (input_begin_ < input_end_ || output_pending_))
    {
        ZSTD_inBuffer input{input_.data(), input_end_, input_begin_};
        check(ZSTD_decompressStream(decompressor_.get(), &output, &input));
        input_begin_ = input.pos;
        output_pending_ = output.pos == output.size;
    }
    return output.pos;
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
    kj::Vector<kj::byte> compressed;
    for (const auto& piece : pieces)
    {
        append_compressed(
            compressor_.get(), piece, ZSTD_e_continue, compressed);
    }
    append_compressed(compressor_.get(), nullptr, ZSTD_e_flush, compressed);
    auto bytes = compressed.releaseAsArray();
    meter_.sent(bytes.size());
    auto written = socket_->write(bytes.begin(), bytes.size());
    return written.attach(kj::mv(bytes));
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
