#include "hemlockshelf/editing/editor.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/core/content_hash.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/editing/edit_checks.hpp"
#include "hemlockshelf/editing/platform_tables.hpp"

namespace hemlockshelf {

namespace {

result<edit_outcome>
outcome_from_row(const change_id& id, const nlohmann::json& value)
{
    if (!value.is_object() || !value.contains("revision") ||
        !value.at("revision").is_number_unsigned())
    {
        return make_error(
            error_kind::platform_unavailable,
            fmt::format(
                "row \"{}\" of \"{}\": expected a revision, given {}",
                id.value(), platform_tables::change_ids, value.dump()));
    }
    return edit_outcome{
        id, revision{value.at("revision").get<std::uint64_t>()}};
}

bool is_same_edit(const edit_request& request, const change_record& record)
{
    return record.audit_.account_ == request.account_ &&
           std::ranges::is_permutation(
               request.edits_, record.delta_.changes_, {}, &row_edit::change_);
}

bool is_recent(const edit_base& base, const change_id& id)
{
    return std::ranges::find(base.recent_, id, &recent_change::id_) !=
           base.recent_.end();
}

tl::unexpected<error> outcome_unknown_error(const edit_request& request)
{
    return make_error(
        error_kind::outcome_unknown,
        fmt::format(
            "edit \"{}\": the platform's response was lost; query the outcome "
            "by this change ID",
            request.id_.value()));
}

tl::unexpected<error> busy_error(const edit_request& request, int count)
{
    return make_error(
        error_kind::busy, fmt::format(
                              "edit \"{}\": not committed, lost to concurrent "
                              "edits {} times in a "
                              "row",
                              request.id_.value(), count));
}

/// Converts a `rate_limited` error of the platform. An editor's `rate_limited`
/// error refers to the limits of the operator's account only.
tl::unexpected<error> platform_rate_error(const error& failure)
{
    return make_error(error_kind::platform_unavailable, failure.message_);
}

bool is_rate_limit(const error& failure)
{
    return failure.kind_ == error_kind::rate_limited;
}

result<void>
check_version(const row_edit& edit, const std::optional<stored_row>& row)
{
    const auto found = row ? row->version_ : row_version{0};
    if (found == *edit.expected_version_)
    {
        return {};
    }
    return make_error(
        error_kind::conflict,
        fmt::format(
            "row \"{}\" of \"{}\": expected version {}, found {}",
            edit.change_.key_.value(), to_string(edit.change_.table_),
            edit.expected_version_->value(),
            row ? fmt::format(
                      "version {} with {}", found.value(), row->value_.dump())
                : std::string("no row")));
}

} // namespace

editor::editor(editor_ports ports, vm_id vm, editing_settings settings)
    : ports_(std::move(ports)), vm_(std::move(vm)), settings_(settings),
      bases_(*ports_.tables_, ports_.current_snapshot_),
      limiter_(settings_.quotas_)
{}

result<edit_outcome> editor::submit(const edit_request& request)
{
    const auto permit = limiter_.admit(request.account_, ports_.time_->now());
    auto outcome =
        permit ? commit_with_retries(request)
               : result<edit_outcome>(tl::unexpected<error>(permit.error()));
    if (ports_.metrics_ != nullptr)
    {
        ports_.metrics_->add(
            metric_id::edits,
            outcome ? std::string_view("accepted")
                    : error_properties_of(outcome.error().kind_).name_);
    }
    return outcome;
}

result<edit_outcome> editor::find(const change_id& id)
{
    const auto row =
        ports_.tables_->read(platform_tables::change_ids, id.value());
    if (!row)
    {
        return tl::unexpected<error>(row.error());
    }
    if (!row->has_value())
    {
        return make_error(
            error_kind::not_found,
            fmt::format("change id \"{}\": not found", id.value()));
    }
    return outcome_from_row(id, (*row)->value_);
}

result<edit_outcome> editor::commit_with_retries(const edit_request& request)
{
    const auto checked = check_request(request);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    const auto deadline = ports_.time_->now() + settings_.retry_.give_up_after_;
    constexpr std::chrono::milliseconds no_wait{0};
    int lost = 0;
    int limited = 0;
    while (true)
    {
        const auto outcome = try_commit(request, lost + 1, deadline);
        if (outcome && *outcome)
        {
            return **outcome;
        }
        if (!outcome && !is_rate_limit(outcome.error()))
        {
            return tl::unexpected<error>(outcome.error());
        }
        // Only attempts that lose to a concurrent edit count towards
        // `max_attempts_`; rate-limited ones do not.
        lost += outcome ? 1 : 0;
        limited += outcome ? 0 : 1;
        const auto delay = backoff(lost + limited, request.id_) +
                           (outcome ? no_wait : ports_.tables_->retry_after());
        if (lost >= settings_.retry_.max_attempts_ ||
            ports_.time_->now() + delay >= deadline)
        {
            return outcome ? report_lost_races(request, lost)
                           : platform_rate_error(outcome.error());
        }
        pause(delay);
    }
}

// Another node may have committed the same edit since the first attempt, with a
// change that is missing from the recent changes that this node has read.
result<edit_outcome>
editor::report_lost_races(const edit_request& request, int count)
{
    const auto same = find_committed(request);
    if (same && *same)
    {
        return **same;
    }
    if (same)
    {
        return busy_error(request, count);
    }
    return same.error().kind_ == error_kind::conflict
               ? result<edit_outcome>(tl::unexpected<error>(same.error()))
               : outcome_unknown_error(request);
}

editor::attempt_result editor::try_commit(
    const edit_request& request, int number, steady_time deadline)
{
    const auto base = bases_.read(
        ports_.time_->wall_now() - settings_.quotas_.accepted_window_);
    if (!base)
    {
        return tl::unexpected<error>(base.error());
    }
    if (is_recent(**base, request.id_))
    {
        return find_committed(request);
    }
    const auto plan = plan_edit(
        request, **base, settings_.quotas_, ports_.time_->wall_now(), vm_);
    if (!plan)
    {
        return handle_plan_error(request, plan.error());
    }
    if (request.dry_run_)
    {
        return finish_dry_run(request, **base);
    }
    const auto committed = ports_.tables_->commit(plan->writes_);
    if (committed)
    {
        return accept(*plan, **base);
    }
    switch (committed.error().kind_)
    {
    case error_kind::conflict:
        return handle_commit_conflict(request, number);
    case error_kind::outcome_unknown:
        return read_back(request, *plan, **base, deadline);
    default:
        return tl::unexpected<error>(committed.error());
    }
}

editor::attempt_result
editor::finish_dry_run(const edit_request& request, const edit_base& base)
{
    const auto expected = check_expected_versions(request);
    if (!expected)
    {
        return tl::unexpected<error>(expected.error());
    }
    return edit_outcome{request.id_, base.snapshot_->number()};
}

editor::attempt_result
editor::handle_commit_conflict(const edit_request& request, int number)
{
    const auto expects = [](const row_edit& edit)
    {
        return edit.expected_version_.has_value();
    };
    // An earlier use of the change ID is detected at the first attempt, a new
    // use among the recent changes. Later attempts skip the reads that look for
    // it, because a longer attempt is more likely to lose to a concurrent edit.
    if (number == 1 || std::ranges::any_of(request.edits_, expects))
    {
        return resolve_conflict(request);
    }
    return std::nullopt;
}

editor::attempt_result
editor::handle_plan_error(const edit_request& request, const error& failure)
{
    // An edit that was committed before may be invalid on later revisions, for
    // example if it deletes a row.
    auto same = resolve_conflict(request);
    if (!same || *same)
    {
        return same;
    }
    return tl::unexpected<error>(failure);
}

editor::attempt_result editor::resolve_conflict(const edit_request& request)
{
    auto same = find_committed(request);
    if (!same || *same)
    {
        return same;
    }
    const auto expected = check_expected_versions(request);
    if (!expected)
    {
        return tl::unexpected<error>(expected.error());
    }
    return std::nullopt;
}

editor::attempt_result editor::read_back(
    const edit_request& request,
    const edit_plan& plan,
    const edit_base& base,
    steady_time deadline)
{
    const int limit = settings_.retry_.max_read_backs_;
    for (int count = 0;
         count < limit && (count == 0 || ports_.time_->now() < deadline);
         ++count)
    {
        const auto committed = read_commit_state(request, plan);
        if (committed)
        {
            return *committed ? attempt_result(accept(plan, base))
                              : resolve_conflict(request);
        }
        pause(settings_.retry_.read_back_interval_);
    }
    return outcome_unknown_error(request);
}

std::optional<bool>
editor::read_commit_state(const edit_request& request, const edit_plan& plan)
{
    const auto row = ports_.tables_->read(
        platform_tables::changes,
        platform_tables::change_key(plan.record_.delta_.to_));
    if (!row || !*row)
    {
        return std::nullopt;
    }
    const auto record = change_record_from_json((*row)->value_);
    if (!record)
    {
        return std::nullopt;
    }
    return record->id_ == request.id_ && is_same_edit(request, *record);
}

editor::attempt_result editor::find_committed(const edit_request& request)
{
    const auto found = find(request.id_);
    if (!found && found.error().kind_ == error_kind::not_found)
    {
        return std::nullopt;
    }
    if (!found)
    {
        return tl::unexpected<error>(found.error());
    }
    const auto records = read_changes(
        *ports_.tables_, revision{found->revision_.value() - 1}, 1);
    if (!records)
    {
        // The change ID is in use, most likely by this edit.
        return outcome_unknown_error(request);
    }
    if (!records->empty() && records->front().id_ == request.id_ &&
        is_same_edit(request, records->front()))
    {
        return *found;
    }
    return make_error(
        error_kind::conflict,
        fmt::format(
            "change id \"{}\": expected an unused one, found another edit at "
            "revision {}",
            request.id_.value(), found->revision_.value()));
}

result<void> editor::check_expected_versions(const edit_request& request)
{
    for (const auto& edit : request.edits_)
    {
        if (!edit.expected_version_)
        {
            continue;
        }
        const auto row = ports_.tables_->read(
            std::string(to_string(edit.change_.table_)),
            edit.change_.key_.value());
        if (!row)
        {
            return tl::unexpected<error>(row.error());
        }
        auto checked = check_version(edit, *row);
        if (!checked)
        {
            return checked;
        }
    }
    return {};
}

edit_outcome editor::accept(const edit_plan& plan, const edit_base& base)
{
    const auto& record = plan.record_;
    bases_.store(std::make_shared<const edit_base>(
        next_base(base, plan.snapshot_, record)));
    ports_.on_accepted_(record, plan.snapshot_);
    return {record.id_, record.delta_.to_};
}

std::chrono::milliseconds editor::backoff(int failed, const change_id& id) const
{
    // The delay is uniform between 0 and a limit that doubles, so that
    // concurrent editors do not retry at the same time. Hashing the ID gives
    // each edit its own sequence of delays.
    constexpr int max_doublings = 16;
    const auto& retry = settings_.retry_;
    const auto limit = std::min(
        retry.max_delay_,
        retry.first_delay_ * (1 << std::min(failed - 1, max_doublings)));
    const auto random =
        hash_text(id.value() + vm_.value(), static_cast<unsigned>(failed));
    const auto span = static_cast<std::uint64_t>(limit.count()) + 1;
    return std::chrono::milliseconds{random % span};
}

void editor::pause(std::chrono::milliseconds time) const
{
    if (ports_.sleep_)
    {
        ports_.sleep_(time);
        return;
    }
    std::this_thread::sleep_for(time);
}

} // namespace hemlockshelf
