#include "adapters/rpc/frame_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace hemlockshelf {

namespace {

constexpr int compression_level = 1;
// Magic number of a zstd frame, in the order of its bytes. Every frame starts
// with it, so it is left out on the wire.
constexpr std::array magic_number{
    std::byte{0x28}, std::byte{0xb5}, std::byte{0x2f}, std::byte{0xfd}};

std::size_t check(std::size_t code)
{
    if (ZSTD_isError(code) != 0)
    {
        throw std::runtime_error(
            std::string("control stream: malformed frame: ") +
            ZSTD_getErrorName(code));
    }
    return code;
}

} // namespace

void frame_history::append(std::span<const std::byte> plain)
{
    const auto added = plain.last(std::min(plain.size(), max_size));
    const auto kept = std::min(bytes_.size(), max_size - added.size());
    bytes_.erase(
        bytes_.begin(), bytes_.end() - static_cast<std::ptrdiff_t>(kept));
    bytes_.insert(bytes_.end(), added.begin(), added.end());
}

frame_codec::frame_codec()
    : compressor_(ZSTD_createCCtx()), decompressor_(ZSTD_createDCtx())
{
    check(ZSTD_CCtx_setParameter(
        compressor_.get(), ZSTD_c_compressionLevel, compression_level));
    check(ZSTD_CCtx_setParameter(compressor_.get(), ZSTD_c_contentSizeFlag, 0));
}

void frame_codec::encode(
    frame_history& history,
    std::span<const std::byte> plain,
    std::vector<std::byte>& output)
{
    while (!plain.empty())
    {
        const auto size = std::min(plain.size(), max_plain_size);
        encode_frame(history, plain.first(size), output);
        plain = plain.subspan(size);
    }
}

void frame_codec::encode_frame(
    frame_history& history,
    std::span<const std::byte> plain,
    std::vector<std::byte>& output)
{
    const auto prefix = history.bytes();
    check(ZSTD_CCtx_refPrefix(compressor_.get(), prefix.data(), prefix.size()));
    frame_.resize(ZSTD_compressBound(plain.size()));
    const auto size = check(ZSTD_compress2(
        compressor_.get(), frame_.data(), frame_.size(), plain.data(),
        plain.size()));
    const auto payload =
        std::span(frame_).first(size).subspan(magic_number.size());
    const auto length = static_cast<std::uint16_t>(payload.size());
    output.push_back(static_cast<std::byte>(length >> 8U));
    output.push_back(static_cast<std::byte>(length & 0xffU));
    output.insert(output.end(), payload.begin(), payload.end());
    history.append(plain);
}

std::size_t frame_codec::payload_size(
    std::span<const std::byte, header_size> header) noexcept
{
    return std::to_integer<std::size_t>(header[0]) << 8U |
           std::to_integer<std::size_t>(header[1]);
}

std::span<const std::byte>
frame_codec::decode(frame_history& history, std::span<const std::byte> payload)
{
    frame_.assign(magic_number.begin(), magic_number.end());
    frame_.insert(frame_.end(), payload.begin(), payload.end());
    const auto prefix = history.bytes();
    check(
        ZSTD_DCtx_refPrefix(decompressor_.get(), prefix.data(), prefix.size()));
    const auto size = check(ZSTD_decompressDCtx(
        decompressor_.get(), plain_.data(), plain_.size(), frame_.data(),
        frame_.size()));
    const auto plain = std::span(std::as_const(plain_)).first(size);
    history.append(plain);
    return plain;
}

} // namespace hemlockshelf
