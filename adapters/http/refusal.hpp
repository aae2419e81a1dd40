#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_REFUSAL_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_REFUSAL_HPP

#include <string>
#include <string_view>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Returns the complete HTTP message that answers a call with an error. It
/// carries the not-run header only if `may_claim_not_run` is set and the error
/// kind says that the request cannot have run. `extra_fields` holds complete
/// header lines.
std::string refusal_text(
    const error& failure,
    bool may_claim_not_run,
    bool keep_connection,
    std::string_view extra_fields);

} // namespace hemlockshelf

#endif
