#ifndef HEMLOCKSHELF_STANDINS_LINK_LINK_HANDLER_HPP
#define HEMLOCKSHELF_STANDINS_LINK_LINK_HANDLER_HPP

#include "adapters/http/http_message.hpp"
#include "standins/link/relay.hpp"

namespace hemlockshelf {

/// Answers `POST /v1/faults` and `GET /v1/counters`.
///
/// The body of a fault is `{"mode","from","to","both"}` with the mode `ok`,
/// `cut`, `silent` or `silent_open`. `silent_open` silences only the
/// connections that are currently open. `both` defaults to true: the rule
/// applies in both directions.
http_response handle_link_request(relay& links, const http_request& request);

} // namespace hemlockshelf

#endif
