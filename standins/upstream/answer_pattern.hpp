#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_PATTERN_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_PATTERN_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace hemlockshelf {

/// XXH3-64 of a body that arrives in parts.
class body_hash
{
public:
    body_hash();
    ~body_hash();
    body_hash(const body_hash&) = delete;
    body_hash& operator=(const body_hash&) = delete;

    void add(std::string_view part);

    /// Returns 16 hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

private:
    XXH3_state_s* state_;
};

/// Returns the text of which the filling of an answer is made, again and again:
/// the request's id and the hash of its body. A checker can tell from any part
/// of a filling whose it is. Characters that JSON escapes become `_`.
std::string
answer_pattern(std::string_view request_id, std::string_view body_hash);

/// Fills `part` with the bytes of a filling from `offset` on.
void fill_part(
    std::string_view pattern, std::uint64_t offset, std::span<char> part);

} // namespace hemlockshelf

#endif
