#ifndef HEMLOCKSHELF_EDITING_EDITOR_HPP
#define HEMLOCKSHELF_EDITING_EDITOR_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/edit_base.hpp"
#include "hemlockshelf/editing/edit_plan.hpp"
#include "hemlockshelf/editing/edit_request.hpp"
#include "hemlockshelf/editing/editing_settings.hpp"
#include "hemlockshelf/editing/submission_limiter.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Dependencies and callbacks of an editor.
struct editor_ports
{
    using snapshot_pointer = std::shared_ptr<const config_snapshot>;

    table_service* tables_ = nullptr;
    const clock* time_ = nullptr;
    /// May be null.
    metric_sink* metrics_ = nullptr;
    /// Returns the current snapshot of this node, to which the editor applies
    /// newer changes.
    std::function<snapshot_pointer()> current_snapshot_;
    /// Called for each edit of this node that is known to be committed, with
    /// the resulting snapshot, before `submit` returns. Calls for edits of
    /// several threads may be out of revision order.
    std::function<void(const change_record&, const snapshot_pointer&)>
        on_accepted_;
    /// Waits before a retry; if empty, the thread sleeps.
    std::function<void(std::chrono::milliseconds)> sleep_;
};

/// Processes operators' edits. Validates each edit against the revision that it
/// commits on and writes it in one transaction, which takes the slot of the
/// next revision: at most one edit can commit each revision. Thread-safe if its
/// ports are.
class editor
{
public:
    editor(editor_ports ports, vm_id vm, editing_settings settings = {});

    /// Commits an edit atomically, or only validates it if `dry_run_` is set.
    /// Resubmitting a committed edit with the same change ID returns the
    /// original outcome.
    /// The errors are
    /// - `bad_request`, `forbidden`, `invalid_row`, `not_found` (a row to
    ///   delete does not exist) if any part of the edit is invalid;
    /// - `conflict` if a row does not have the expected version, or another
    /// edit
    ///   uses the change ID;
    /// - `rate_limited` and `quota_exceeded` if the account exceeds its limits;
    /// - `busy` if every attempt lost to a concurrent edit;
    /// - `platform_unavailable` if the edit was definitely not committed; a
    /// rate
    ///   limit of the platform is retried until the time limit of the edit;
    /// - `outcome_unknown`, with the change ID, if the platform's response was
    ///   lost and the outcome could not be read back.
    result<edit_outcome> submit(const edit_request& request);

    /// Returns the revision at which a change was accepted. The error is
    /// `not_found` if no such change is known.
    result<edit_outcome> find(const change_id& id);

private:
    /// The outcome, or nothing if another edit committed the revision first.
    using attempt_result = result<std::optional<edit_outcome>>;

    result<edit_outcome> commit_with_retries(const edit_request& request);
    attempt_result
    try_commit(const edit_request& request, int number, steady_time deadline);
    attempt_result
    finish_dry_run(const edit_request& request, const edit_base& base);
    result<edit_outcome>
    report_lost_races(const edit_request& request, int count);
    attempt_result
    handle_commit_conflict(const edit_request& request, int number);
    attempt_result
    handle_plan_error(const edit_request& request, const error& failure);
    attempt_result resolve_conflict(const edit_request& request);
    attempt_result read_back(
        const edit_request& request,
        const edit_plan& plan,
        const edit_base& base,
        steady_time deadline);
    /// Reads the slot of the plan's revision. Returns true if the transaction
    /// has committed, false if it can never commit, and nothing if it may still
    /// be in flight.
    std::optional<bool>
    read_commit_state(const edit_request& request, const edit_plan& plan);
    /// Looks up the edit by its change ID. Returns nothing if the ID is unused;
    /// the error is `conflict` if another edit uses it.
    attempt_result find_committed(const edit_request& request);
    result<void> check_expected_versions(const edit_request& request);
    edit_outcome accept(const edit_plan& plan, const edit_base& base);
    /// Returns a random delay before the next attempt, given the number of
    /// failed attempts.
    [[nodiscard]] std::chrono::milliseconds
    backoff(int failed, const change_id& id) const;
    void pause(std::chrono::milliseconds time) const;

    editor_ports ports_;
    vm_id vm_;
    editing_settings settings_;
    edit_base_cache bases_;
    submission_limiter limiter_;
};

} // namespace hemlockshelf

#endif
