#include "hemlockshelf/core/error.hpp"

#include <utility>

namespace hemlockshelf {

tl::unexpected<error> make_error(error_kind kind, std::string message)
{
    return tl::unexpected<error>(error{kind, std::move(message)});
}

} // namespace hemlockshelf
