#ifndef HEMLOCKSHELF_CORE_CONTENT_HASH_HPP
#define HEMLOCKSHELF_CORE_CONTENT_HASH_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockshelf {

/// Order-independent hash of a set of items: the sum of their XXH3-128 hashes,
/// in two 64-bit lanes. Adding or removing an item hashes only that item, not
/// the whole set.
class content_hash
{
public:
    content_hash() = default;
    constexpr content_hash(std::uint64_t high, std::uint64_t low)
        : high_(high), low_(low)
    {}

    /// Adds an item to the set.
    void add(std::string_view item);

    /// Removes an item that was added before.
    void remove(std::string_view item);

    [[nodiscard]] std::uint64_t high() const noexcept
    {
        return high_;
    }

    [[nodiscard]] std::uint64_t low() const noexcept
    {
        return low_;
    }

    /// Returns 32 hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

    /// Parses the output of `to_string`. Returns nullopt if `text` is
    /// malformed.
    static std::optional<content_hash> from_string(std::string_view text);

    friend auto operator<=>(const content_hash&, const content_hash&) = default;

private:
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
};

/// Returns the XXH3-64 of `text`, for rendezvous hashing and orderings.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

} // namespace hemlockshelf

#endif
