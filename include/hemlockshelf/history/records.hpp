#ifndef HEMLOCKSHELF_HISTORY_RECORDS_HPP
#define HEMLOCKSHELF_HISTORY_RECORDS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "hemlockshelf/config/table_id.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Time of an event since the Unix epoch.
using event_time = std::chrono::microseconds;

/// New content of one row. A null row is a deletion.
struct row_value
{
    table_id table_ = table_id::routes;
    row_key key_;
    nlohmann::json row_;

    friend bool operator==(const row_value&, const row_value&) = default;
};

/// All rows of both tables.
using row_state = std::map<std::pair<table_id, row_key>, nlohmann::json>;

/// Result of an edit as returned to the operator.
enum class edit_result
{
    accepted,
    refused,
    unknown,
};

/// Precondition of an edit with `expected_version` on one row.
struct expected_row
{
    table_id table_ = table_id::routes;
    row_key key_;
    /// Version given by the operator; 0 if the row is expected to be absent.
    std::uint64_t version_ = 0;
    /// Content that the operator read at this version; null if absent.
    nlohmann::json row_;
};

/// One edit, as recorded by its operator.
struct edit_record
{
    change_id id_;
    std::vector<row_value> rows_;
    event_time invoked_at_{};
    event_time answered_at_{};
    edit_result result_ = edit_result::unknown;
    /// Revision in the answer; only for accepted edits.
    revision revision_;
    /// Preconditions on rows; empty for an edit without `expected_version`.
    std::vector<expected_row> expected_ = {};
};

/// One change, as stored by the platform.
struct committed_change
{
    revision revision_;
    change_id id_;
    std::vector<row_value> rows_;
};

/// Result of a request as returned to the caller.
enum class request_result
{
    /// Answered by an upstream.
    served,
    /// Refused with an error that excludes execution.
    not_run,
    /// Any other error, or no answer.
    unknown,
};

/// One request, as recorded by its caller.
struct request_record
{
    request_id id_;
    /// Path without the query.
    std::string path_ = {};
    bool idempotent_ = true;
    event_time sent_at_{};
    event_time answered_at_{};
    request_result result_ = request_result::unknown;
    std::uint64_t sent_body_bytes_ = 0;
    /// Request id and body size in the answer; only for served requests.
    request_id answered_id_;
    std::uint64_t answered_body_bytes_ = 0;
    /// Name of the error kind in the answer, used in violation messages.
    std::string error_;
};

/// One execution of a request, as recorded by the upstream.
struct execution_record
{
    request_id id_;
    std::string upstream_;
    event_time at_{};
};

/// The revision that a node reported as active.
struct revision_report
{
    vm_id vm_;
    /// Identifies the process on the VM. A new process may start at an older
    /// revision.
    std::uint64_t process_ = 0;
    revision revision_;
    event_time at_{};
};

/// The rows that a node reported at one revision.
struct rows_report
{
    vm_id vm_;
    revision revision_;
    row_state rows_;
    /// Whether the report was taken at the end of the run, when all accepted
    /// edits must be active.
    bool final_ = false;
};

/// All events recorded in one run.
struct run_history
{
    std::vector<edit_record> edits_;
    std::vector<committed_change> changes_;
    std::vector<request_record> requests_;
    std::vector<execution_record> executions_;
    std::vector<revision_report> revisions_;
    std::vector<rows_report> rows_;
};

} // namespace hemlockshelf

#endif
