#ifndef HEMLOCKSHELF_EDITING_EDIT_REQUEST_HPP
#define HEMLOCKSHELF_EDITING_EDIT_REQUEST_HPP

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "hemlockshelf/config/row_change.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Change of one row, with the row version that the operator expects, if any.
struct row_edit
{
    row_change change_;
    std::optional<row_version> expected_version_;
};

/// An edit submitted by an operator; it is accepted or rejected atomically.
struct edit_request
{
    change_id id_;
    std::string actor_;
    client_account_id account_;
    bool dry_run_ = false;
    std::vector<row_edit> edits_;
};

/// Result of an accepted edit.
struct edit_outcome
{
    change_id id_;
    /// Revision at which the edit was accepted; for a dry run, the revision
    /// that it was validated against.
    revision revision_;
};

/// Parses the body of `POST /v1/edits`. `account` comes from the operator's
/// token. The errors are `bad_request` and `invalid_row`.
result<edit_request> edit_request_from_json(
    const nlohmann::json& json, const client_account_id& account);

} // namespace hemlockshelf

#endif
