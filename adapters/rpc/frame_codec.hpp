#ifndef HEMLOCKSHELF_ADAPTERS_RPC_FRAME_CODEC_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_FRAME_CODEC_HPP

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

#include <zstd.h>

namespace hemlockshelf {

/// The most recent plain bytes of one direction of a connection. Both ends keep
/// the same bytes, which serve as the dictionary of the next frame.
class frame_history
{
public:
    /// Bounds the memory of a connection. Holds the last 20 small messages.
    static constexpr std::size_t max_size = 4096;

    [[nodiscard]] std::span<const std::byte> bytes() const noexcept
    {
        return bytes_;
    }

    void append(std::span<const std::byte> plain);

private:
    std::vector<std::byte> bytes_;
};

/// Compresses and decompresses the frames of many connections with one pair of
/// zstd contexts, which take 330 kB. Not thread-safe: the connections of one
/// event loop share a codec.
///
/// A frame is the size of its payload in two bytes, most significant first, and
/// the payload: a zstd frame without its magic number.
class frame_codec
{
public:
    /// Maximum number of plain bytes in a frame.
    static constexpr std::size_t max_plain_size = std::size_t{16} << 10;
    static constexpr std::size_t header_size = 2;

    frame_codec();

    /// Appends frames with all of `plain` to `output`.
    /// Throws `std::runtime_error` if zstd fails.
    void encode(
        frame_history& history,
        std::span<const std::byte> plain,
        std::vector<std::byte>& output);

    /// Returns the size of the payload that follows a header.
    static std::size_t
    payload_size(std::span<const std::byte, header_size> header) noexcept;

    /// Returns the plain bytes of a payload. They are valid until the next call
    /// of the codec. Throws `std::runtime_error` if the payload is malformed.
    std::span<const std::byte>
    decode(frame_history& history, std::span<const std::byte> payload);

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

    void encode_frame(
        frame_history& history,
        std::span<const std::byte> plain,
        std::vector<std::byte>& output);

    std::unique_ptr<ZSTD_CCtx, context_deleter> compressor_;
    std::unique_ptr<ZSTD_DCtx, context_deleter> decompressor_;
    /// A payload with its magic number.
    std::vector<std::byte> frame_;
    std::array<std::byte, max_plain_size> plain_{};
};

} // namespace hemlockshelf

#endif
