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

/// Time of an event, counted from the Unix epoch.
using event_time = std::chrono::microseconds;

/// New content of one row; a null row is a deletion.
struct row_value
{
    table_id table_ = table_id::routes;
    row_key key_;
    nlohmann::json row_;

    friend bool operator==(const row_value&, const row_value&) = default;
};

/// All rows of both tables.
using row_state = std::map<std::pair<table_id, row_key>, nlohmann::json>;

/// What an operator was told about an edit.
enum class edit_result
{
    accepted,
    refused,
    unknown,
};

/// State of a row on which an edit depends by `expected_version`.
struct expected_row
{
    table_id table_ = table_id::routes;
    row_key key_;
    /// Version that the operator gave; 0 means that the row is absent.
    std::uint64_t version_ = 0;
    /// Content that the operator read at this version; null if it is absent.
    nlohmann::json row_;
};

/// One edit as its operator saw it.
struct edit_record
{
    change_id id_;
    std::vector<row_value> rows_;
    event_time invoked_at_{};
    event_time answered_at_{};
    edit_result result_ = edit_result::unknown;
    /// Revision that the answer gave; only for accepted edits.
    revision revision_;
    /// Rows that have to be as the operator read them; empty for an edit
    /// without `expected_version`.
    std::vector<expected_row> expected_ = {};
};

/// One change as the platform holds it.
struct committed_change
{
    revision revision_;
    change_id id_;
    std::vector<row_value> rows_;
};

/// What a caller was told about a request.
enum class request_result
{
    /// The answer of an upstream.
    served,
    /// A refusal that says that the request was not run.
    not_run,
    /// Any other refusal, or no answer.
    unknown,
};

/// One request as its caller saw it.
struct request_record
{
    request_id id_;
    bool idempotent_ = true;
    event_time sent_at_{};
    event_time answered_at_{};
    request_result result_ = request_result::unknown;
    std::uint64_t sent_body_bytes_ = 0;
    /// Request id and size of the body that the answer names; only for served
    /// requests.
    request_id answered_id_;
    std::uint64_t answered_body_bytes_ = 0;
    /// Name of the error kind in the answer, for reports.
    std::string error_;
};

/// One execution of a request, recorded by the upstream itself.
struct execution_record
{
    request_id id_;
    std::string upstream_;
    event_time at_{};
};

/// A revision that a node reported as running.
struct revision_report
{
    vm_id vm_;
    /// Tells the processes of a VM apart; a new one may start at an older
    /// revision.
    std::uint64_t process_ = 0;
    revision revision_;
    event_time at_{};
};

/// The rows that a node reported for one revision.
struct rows_report
{
    vm_id vm_;
    revision revision_;
    row_state rows_;
    /// Whether the report was taken at the end of the run, when every accepted
    /// edit has to be in force.
    bool final_ = false;
};

/// Everything that was recorded in one run.
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
