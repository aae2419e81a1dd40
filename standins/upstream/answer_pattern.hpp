#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_PATTERN_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_PATTERN_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace hemlockshelf {

/// Computes the XXH3-64 hash of a body that arrives in chunks.
class body_hash
{
public:
    body_hash();
    ~body_hash();
    body_hash(const body_hash&) = delete;
    body_hash& operator=(const body_hash&) = delete;

    void add(std::string_view chunk);

    /// Returns 16 hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

private:
    XXH3_state_s* state_;
};

/// Returns the text that is repeated to make the filling of an answer: the
/// request's id and the hash of its body. A checker can identify the request
/// from any section of the filling. Characters that JSON would escape become
/// `_`.
std::string
answer_pattern(std::string_view request_id, std::string_view body_hash);

/// Fills `chunk` with the bytes of the filling that start at `offset`.
void fill_chunk(
    std::string_view pattern, std::uint64_t offset, std::span<char> chunk);

} // namespace hemlockshelf

#endif
