#ifndef HEMLOCKSHELF_CONFIG_CONFIG_DELTA_HPP
#define HEMLOCKSHELF_CONFIG_CONFIG_DELTA_HPP

#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "hemlockshelf/config/row_change.hpp"
#include "hemlockshelf/core/content_hash.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// The change from the revision `base_revision` to revision `to_`.
struct config_delta
{
    revision to_;
    std::vector<row_change> changes_;
    /// Content hash of the tables after the change.
    content_hash result_hash_;
    /// The revision that the change applies to, if it is not `to_ - 1`.
    /// Configurations that operators publish whole leave gaps between
    /// revisions.
    std::optional<revision> base_{};

    friend bool operator==(const config_delta&, const config_delta&) = default;
};

/// Returns the revision that the change applies to.
revision base_revision(const config_delta& delta);

/// Returns one delta with the effect of all, each of which applies to the
/// result of the one before. The list must not be empty.
config_delta combine(const std::vector<config_delta>& deltas);

/// Returns `{"upserts":[{"table","key","row"}],"deletes":[{"table","key"}]}`.
nlohmann::json changes_to_json(const std::vector<row_change>& changes);

/// Parses the output of `changes_to_json`. The error is `invalid_row` if the
/// input is malformed.
result<std::vector<row_change>> changes_from_json(const nlohmann::json& json);

/// Returns `{"revision","hash","delta"}`, with `"base"` if the delta has one.
nlohmann::json to_json(const config_delta& delta);

/// Parses the output of `to_json`, or a change row, whose additional fields are
/// ignored.
result<config_delta> delta_from_json(const nlohmann::json& json);

} // namespace hemlockshelf

#endif
