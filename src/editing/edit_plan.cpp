#include "hemlockshelf/editing/edit_plan.hpp"

#include <string>
#include <utility>

#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/editing/edit_checks.hpp"
#include "hemlockshelf/editing/platform_tables.hpp"

namespace hemlockshelf {

namespace {

template <class Rows>
nlohmann::json find_row(const Rows& rows, const row_key& key)
{
    const auto found = rows.find(key);
    return found == rows.end() ? nlohmann::json{} : to_json(*found->second);
}

nlohmann::json row_json(const config_tables& tables, const row_change& change)
{
    switch (change.table_)
    {
    case table_id::routes:
        return find_row(tables.routes_, change.key_);
    case table_id::pools:
        return find_row(tables.pools_, change.key_);
    case table_id::accounts:
        return find_row(tables.accounts_, change.key_);
    }
    return {};
}

void add_row_edit(edit_plan& plan, config_tables& tables, const row_edit& edit)
{
    const auto& change = edit.change_;
    const std::string table(to_string(change.table_));
    auto before = row_json(tables, change);
    apply_change(tables, change);
    auto after = row_json(tables, change);
    plan.writes_.writes_.push_back({table, change.key_.value(), after});
    if (edit.expected_version_)
    {
        plan.writes_.checks_.push_back(
            {table, change.key_.value(), *edit.expected_version_});
    }
    plan.record_.audit_.rows_.push_back(
        {change.table_, change.key_, std::move(before), std::move(after)});
    plan.record_.delta_.changes_.push_back(change);
}

result<void> check_quotas(
    const edit_plan& plan,
    const edit_request& request,
    const edit_base& base,
    const edit_quotas& quotas)
{
    auto rows = check_row_quota(
        request.account_, base.snapshot_->tables(), plan.snapshot_->tables(),
        quotas);
    if (!rows)
    {
        return rows;
    }
    return check_accepted_quota(
        request.account_, base.recent_, plan.record_.audit_.at_, quotas);
}

/// Adds the checks that the slot of the next revision is free: its change row
/// is absent and the change row of the base still exists. Without the second
/// check, a commit that is delayed until the change row of its slot has been
/// archived could commit the same revision again.
void add_slot_checks(edit_plan& plan, const edit_base& base)
{
    const auto base_number = base.snapshot_->number();
    auto& checks = plan.writes_.checks_;
    checks.push_back(
        {platform_tables::changes,
         platform_tables::change_key(plan.record_.delta_.to_), row_version{0}});
    if (base_number > revision{0})
    {
        checks.push_back(
            {platform_tables::changes, platform_tables::change_key(base_number),
             base.change_version_});
    }
}

/// Applies the edit and sets the delta and snapshot of the plan. The errors are
/// `not_found` and `invalid_row`.
result<void> build_snapshot(
    edit_plan& plan, const edit_request& request, const config_snapshot& base)
{
    auto deletions = check_deletions(request, base.tables());
    if (!deletions)
    {
        return deletions;
    }
    auto tables = base.tables();
    for (const auto& edit : request.edits_)
    {
        add_row_edit(plan, tables, edit);
    }
    auto& delta = plan.record_.delta_;
    delta.to_ = revision{base.number().value() + 1};
    delta.result_hash_ = tables.hash_;
    auto next = config_snapshot::build_next(
        base, delta.to_, std::move(tables), delta.changes_);
    if (!next)
    {
        return tl::unexpected<error>(std::move(next.error()));
    }
    plan.snapshot_ = std::move(*next);
    return {};
}

void add_revision_writes(edit_plan& plan)
{
    const auto next = plan.record_.delta_.to_;
    const auto& id = plan.record_.id_.value();
    const auto slot = platform_tables::change_key(next);
    plan.writes_.checks_.push_back(
        {platform_tables::change_ids, id, row_version{0}});
    auto& writes = plan.writes_.writes_;
    writes.push_back(
        {platform_tables::head,
         platform_tables::head_key,
         {{"revision", next.value()},
          {"hash", plan.record_.delta_.result_hash_.to_string()}}});
    writes.push_back({platform_tables::changes, slot, to_json(plan.record_)});
    writes.push_back(
        {platform_tables::change_ids, id, {{"revision", next.value()}}});
}

} // namespace

result<edit_plan> plan_edit(
    const edit_request& request,
    const edit_base& base,
    const edit_quotas& quotas,
    wall_time now,
    const vm_id& vm)
{
    edit_plan plan;
    plan.record_.id_ = request.id_;
    plan.record_.audit_ = {request.actor_, request.account_, now, vm, {}};
    const auto applied = build_snapshot(plan, request, *base.snapshot_);
    if (!applied)
    {
        return tl::unexpected<error>(applied.error());
    }
    const auto checked = check_quotas(plan, request, base, quotas);
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    add_slot_checks(plan, base);
    add_revision_writes(plan);
    return plan;
}

} // namespace hemlockshelf
