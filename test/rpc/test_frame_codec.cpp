#include "adapters/rpc/frame_codec.hpp"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <vector>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

using bytes = std::vector<std::byte>;

bytes to_bytes(const std::vector<std::uint8_t>& values)
{
    const auto view = std::as_bytes(std::span(values));
    return {view.begin(), view.end()};
}

/// Decodes complete frames.
bytes decode_all(
    frame_codec& codec, frame_history& history, std::span<const std::byte> rest)
{
    bytes plain;
    while (!rest.empty())
    {
        const auto size =
            frame_codec::payload_size(rest.first<frame_codec::header_size>());
        const auto decoded =
            codec.decode(history, rest.subspan(frame_codec::header_size, size));
        plain.insert(plain.end(), decoded.begin(), decoded.end());
        rest = rest.subspan(frame_codec::header_size + size);
    }
    return plain;
}

} // namespace

// Guards against connections that share a codec and decode with the history of
// another one.
Test(frame_codec, connections_that_share_a_codec_keep_their_own_history)
{
    rc::check(
        [](const std::vector<std::pair<bool, std::vector<std::uint8_t>>>&
               messages)
        {
            frame_codec sender;
            frame_codec receiver;
            std::array<frame_history, 2> sent;
            std::array<frame_history, 2> received;
            for (const auto& [second, values] : messages)
            {
                const auto link = second ? 1U : 0U;
                bytes frames;
                sender.encode(sent.at(link), to_bytes(values), frames);
                RC_ASSERT(
                    decode_all(receiver, received.at(link), frames) ==
                    to_bytes(values));
            }
        });
}

// Guards against a history that grows with the bytes of the connection.
Test(frame_codec, a_history_is_bounded)
{
    frame_codec codec;
    frame_history sent;
    frame_history received;
    const bytes plain(5 * frame_codec::max_plain_size + 7, std::byte{42});
    bytes frames;
    codec.encode(sent, plain, frames);
    cr_assert(decode_all(codec, received, frames) == plain);
    cr_assert(sent.bytes().size() == frame_history::max_size);
    cr_assert(received.bytes().size() == frame_history::max_size);
}

// Guards against heartbeats that cost their full size. A node may send 300
// bytes of control traffic a second while idle.
Test(frame_codec, a_repeated_message_takes_few_bytes)
{
    frame_codec codec;
    frame_history history;
    std::vector<std::uint8_t> values(280);
    std::uint32_t state = 7;
    for (auto& value : values)
    {
        state = state * 1664525U + 1013904223U;
        value = static_cast<std::uint8_t>(state >> 24U);
    }
    bytes first;
    codec.encode(history, to_bytes(values), first);
    values.at(100) ^= 1U;
    bytes second;
    codec.encode(history, to_bytes(values), second);
    cr_assert(second.size() <= 36);
}

// Guards against a frame that takes the process down or more memory than a
// frame may hold: arbitrary bytes are refused with an exception.
Test(frame_codec, arbitrary_payloads_are_refused_or_bounded)
{
    rc::check(
        [](const std::vector<std::uint8_t>& values)
        {
            frame_codec codec;
            frame_history history;
            try
            {
                RC_ASSERT(
                    codec.decode(history, to_bytes(values)).size() <=
                    frame_codec::max_plain_size);
            }
            catch (const std::runtime_error&)
            {
                RC_SUCCEED("refused");
            }
        });
}

// Guards against a decoder that still works with the damaged state of an
// earlier connection.
Test(frame_codec, a_codec_decodes_after_a_malformed_frame)
{
    frame_codec codec;
    frame_history history;
    cr_assert_throw(
        codec.decode(history, to_bytes({1, 2, 3})), std::runtime_error);
    frame_history sent;
    bytes frames;
    codec.encode(sent, to_bytes({9, 8, 7}), frames);
    cr_assert(decode_all(codec, history, frames) == to_bytes({9, 8, 7}));
}
