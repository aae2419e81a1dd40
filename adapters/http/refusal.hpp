#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_REFUSAL_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_REFUSAL_HPP

#include "adapters/http/http_message.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Makes the answer to a call that ended with an error. It carries the
/// not-run header if, and only if, the error kind says that the request
/// cannot have run.
http_response call_error_response(const error& failure);

/// Removes the headers that only nodes may set from a message of a caller or
/// an upstream.
void remove_internal_headers(boost::beast::http::fields& fields);

} // namespace hemlockshelf

#endif
