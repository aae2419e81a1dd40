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

/// One row of an edit, with the version that the operator expects, if any.
struct row_edit
{
    row_change change_;
    std::optional<row_version> expected_version_;
};

/// An operator's edit; it is accepted or refused as a whole.
struct edit_request
{
    change_id id_;
    std::string actor_;
    client_account_id account_;
    bool dry_run_ = false;
    std::vector<row_edit> edits_;
};

/// What became of an accepted edit.
struct edit_outcome
{
    change_id id_;
    /// Revision at which the edit was accepted; with `dry_run`, the revision
    /// that it was checked against.
    revision revision_;
};

/// Reads the body of `POST /v1/edits`. The account comes from the operator's
/// token. The errors are `bad_request` and `invalid_row`.
result<edit_request> edit_request_from_json(
    const nlohmann::json& json, const client_account_id& account);

} // namespace hemlockshelf

#endif
