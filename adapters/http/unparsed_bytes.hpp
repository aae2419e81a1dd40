#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_UNPARSED_BYTES_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_UNPARSED_BYTES_HPP

#include <cstddef>

namespace hemlockshelf {

/// Returns whether a buffer of `size` bytes may be passed to a parser that has
/// left its first `left` bytes in place before. It gets them again with more
/// bytes only: after the line of the last chunk, Beast's parser requires the
/// five bytes of the end of a message, and fails an assertion if they arrive in
/// pieces.
constexpr bool has_bytes_to_parse(std::size_t size, std::size_t left) noexcept
{
    constexpr std::size_t last_chunk_size = 5;
    return left == 0 ? size > 0 : size > left && size >= last_chunk_size;
}

} // namespace hemlockshelf

#endif
