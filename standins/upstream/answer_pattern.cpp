#include "standins/upstream/answer_pattern.hpp"

#include <algorithm>
#include <new>

#include <fmt/format.h>
#include <xxhash.h>

namespace hemlockshelf {

body_hash::body_hash() : state_(XXH3_createState())
{
    if (state_ == nullptr)
    {
        throw std::bad_alloc();
    }
    XXH3_64bits_reset(state_);
}

body_hash::~body_hash()
{
    XXH3_freeState(state_);
}

void body_hash::add(std::string_view chunk)
{
    XXH3_64bits_update(state_, chunk.data(), chunk.size());
}

std::string body_hash::to_string() const
{
    return fmt::format("{:016x}", XXH3_64bits_digest(state_));
}

std::string
answer_pattern(std::string_view request_id, std::string_view body_hash)
{
    auto pattern = fmt::format("{} {} ", request_id, body_hash);
    std::ranges::replace_if(
        pattern,
        [](char character)
        {
            return character < ' ' || character > '~' || character == '"' ||
                   character == '\\';
        },
        '_');
    return pattern;
}

void fill_chunk(
    std::string_view pattern, std::uint64_t offset, std::span<char> chunk)
{
    auto position = static_cast<std::size_t>(offset % pattern.size());
    for (auto& byte : chunk)
    {
        byte = pattern[position];
        position = position + 1 == pattern.size() ? 0 : position + 1;
    }
}

} // namespace hemlockshelf
