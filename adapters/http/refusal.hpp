#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_REFUSAL_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_REFUSAL_HPP

#include <string>
#include <string_view>

#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Makes the whole answer to a call that ended with an error. It carries the
/// not-run header only if `may_claim_not_run` and the error kind says that the
/// request cannot have run. `extra_fields` are whole header lines.
std::string refusal_text(
    const error& failure,
    bool may_claim_not_run,
    bool keep_connection,
    std::string_view extra_fields);

} // namespace hemlockshelf

#endif
