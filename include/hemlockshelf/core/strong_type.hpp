#ifndef HEMLOCKSHELF_CORE_STRONG_TYPE_HPP
#define HEMLOCKSHELF_CORE_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace hemlockshelf {

/// Wraps a value so that mixing up ids or units of different kinds does not
/// compile. `Tag` distinguishes the kinds, `Rep` is the type of the wrapped
/// value.
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    strong_type() = default;

    explicit constexpr strong_type(Rep value) : value_(std::move(value)) {}

    [[nodiscard]] constexpr const Rep& value() const noexcept
    {
        return value_;
    }

    friend constexpr auto
    operator<=>(const strong_type&, const strong_type&) = default;

private:
    Rep value_{};
};

} // namespace hemlockshelf

template <class Tag, class Rep>
struct std::hash<hemlockshelf::strong_type<Tag, Rep>>
{
    std::size_t
    operator()(const hemlockshelf::strong_type<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
