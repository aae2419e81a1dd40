#ifndef HEMLOCKSHELF_CORE_ERROR_HPP
#define HEMLOCKSHELF_CORE_ERROR_HPP

#include <chrono>
#include <string>

#include <tl/expected.hpp>

#include "hemlockshelf/core/error_kind.hpp"

namespace hemlockshelf {

/// An error kind and a message that states what was given, what was expected
/// and where.
struct error
{
    error_kind kind_ = error_kind::internal;
    std::string message_;
    /// Delay after which a caller may retry; 0 if unknown.
    std::chrono::milliseconds retry_after_{0};

    friend bool operator==(const error&, const error&) = default;
};

/// Value or error.
template <class Value>
using result = tl::expected<Value, error>;

/// Makes the error side of a `result`.
tl::unexpected<error> make_error(error_kind kind, std::string message);

} // namespace hemlockshelf

#endif
