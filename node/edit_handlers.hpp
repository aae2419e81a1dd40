#ifndef HEMLOCKSHELF_NODE_EDIT_HANDLERS_HPP
#define HEMLOCKSHELF_NODE_EDIT_HANDLERS_HPP

#include <optional>

#include "adapters/http/http_message.hpp"
#include "node/admin_handler.hpp"

namespace hemlockshelf {

/// Handles the requests of the admin interface for the configuration tables.
/// Returns nothing for other requests:
/// - `POST /v1/edits` (Bearer) submits an edit;
/// - `GET /v1/edits?change_id=` returns the outcome of an edit;
/// - `GET /v1/rows?table=` returns the rows of the node's snapshot;
/// - `GET /v1/versions?table=&key=&after=&limit=` (Bearer) returns rows of the
///   operator's account with their versions, from the platform;
/// - `GET /v1/audit?after_revision=&limit=` (Bearer) returns audit entries of
///   the operator's account.
std::optional<http_response>
handle_edit_request(const admin_context& context, const http_request& request);

} // namespace hemlockshelf

#endif
