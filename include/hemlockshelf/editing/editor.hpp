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

/// What an editor works with.
struct editor_ports
{
    using snapshot_pointer = std::shared_ptr<const config_snapshot>;

    table_service* tables_ = nullptr;
    const clock* time_ = nullptr;
    /// May be null.
    metric_sink* metrics_ = nullptr;
    /// Returns the newest snapshot of this node, from which the editor
    /// catches up to the head.
    std::function<snapshot_pointer()> current_snapshot_;
    /// Called for each edit of this node that is known to have committed,
    /// with the snapshot that it leads to, before `submit` returns. Edits of
    /// several threads may arrive out of the order of their revisions.
    std::function<void(const change_record&, const snapshot_pointer&)>
        on_accepted_;
    /// Waits before an attempt is repeated; sleeps if it is empty.
    std::function<void(std::chrono::milliseconds)> sleep_;
};

/// Accepts operators' edits: checks each against the revision that it commits
/// on and writes it in one transaction, which takes the slot of the next
/// revision. Thread-safe as far as its ports are.
class editor
{
public:
    editor(editor_ports ports, vm_id vm, editing_settings settings = {});

    /// Commits an edit as a whole, or with `dry_run` checks it. An edit that
    /// was committed before under the same change id gives the same outcome.
    /// The errors are
    /// - `bad_request`, `forbidden`, `invalid_row`, `not_found` (a row to
    ///   delete) if a part of it is wrong;
    /// - `conflict` if a row does not have the expected version, or the change
    ///   id belongs to another edit;
    /// - `rate_limited` and `quota_exceeded` by the account's limits;
    /// - `busy` if other edits won every attempt;
    /// - `platform_unavailable` if it certainly was not committed; a refusal
    ///   for the platform's rate ends the edit only when no time is left to
    ///   try again;
    /// - `outcome_unknown`, with the change id, if the platform's answer was
    ///   lost and could not be read back.
    result<edit_outcome> submit(const edit_request& request);

    /// Returns the revision at which a change was accepted. `not_found` if no
    /// such change is known.
    result<edit_outcome> find(const change_id& id);

private:
    /// The outcome, or nothing if another edit won the revision.
    using attempt_result = result<std::optional<edit_outcome>>;

    result<edit_outcome> run(const edit_request& request);
    attempt_result
    attempt(const edit_request& request, int number, steady_time give_up);
    attempt_result
    finish_dry_run(const edit_request& request, const edit_base& base);
    result<edit_outcome>
    finish_lost_races(const edit_request& request, int count);
    attempt_result after_conflict(const edit_request& request, int number);
    attempt_result
    explain_refusal(const edit_request& request, const error& refusal);
    attempt_result resolve_conflict(const edit_request& request);
    attempt_result read_back(
        const edit_request& request,
        const edit_plan& plan,
        const edit_base& base,
        steady_time give_up);
    /// Finds out whether the plan's transaction has committed (true) or never
    /// will (false); nothing if it may still arrive.
    std::optional<bool>
    read_slot(const edit_request& request, const edit_plan& plan);
    /// Finds the edit under its change id; nothing if the id is unused.
    attempt_result find_same(const edit_request& request);
    result<void> check_expected_versions(const edit_request& request);
    edit_outcome accept(const edit_plan& plan, const edit_base& base);
    /// Returns the random delay before an attempt, by the failed ones so far.
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
