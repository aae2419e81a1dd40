#include "hemlockshelf/editing/edit_plan.hpp"

#include <map>
#include <set>
#include <utility>

#include <rapidcheck.h>

#include "hemlockshelf/editing/edit_checks.hpp"
#include "test/config/row_generators.hpp"
#include "test/editing/edit_samples.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const client_account_id account{"regie"};

/// Validates the edit against all rows, without the incremental build.
result<std::shared_ptr<const config_snapshot>> check_every_row(
    const edit_request& request,
    const edit_base& base,
    const edit_quotas& quotas)
{
    const auto& before = base.snapshot_->tables();
    auto tables = before;
    for (const auto& edit : request.edits_)
    {
        apply_change(tables, edit.change_);
    }
    auto checked = check_deletions(request, before);
    if (checked)
    {
        checked = check_references(tables);
    }
    if (checked)
    {
        checked = check_row_quota(account, before, tables, quotas);
    }
    if (checked)
    {
        checked = check_accepted_quota(account, base.recent_, {}, quotas);
    }
    if (!checked)
    {
        return tl::unexpected<error>(checked.error());
    }
    return config_snapshot::build(
        revision{base.snapshot_->number().value() + 1}, std::move(tables));
}

/// Generates a list of changes of distinct rows.
rc::Gen<std::vector<row_change>> any_edit()
{
    return rc::gen::map(
        rc::gen::resize(
            4,
            rc::gen::container<std::vector<row_change>>(any_edited_change())),
        [](std::vector<row_change> changes)
        {
            std::set<std::pair<table_id, row_key>> seen;
            std::erase_if(
                changes,
                [&seen](const row_change& change)
                {
                    return !seen.emplace(change.table_, change.key_).second;
                });
            return changes;
        });
}

edit_request request_for(const std::vector<row_change>& changes)
{
    std::vector<row_edit> edits;
    edits.reserve(changes.size());
    for (const auto& change : changes)
    {
        edits.push_back({change, std::nullopt});
    }
    return make_request("c1", std::move(edits));
}

edit_base any_base()
{
    const auto changes =
        *rc::gen::container<std::vector<row_change>>(any_edited_change());
    edit_base base{make_chain(changes).snapshots_.back(), {}};
    const auto accepted = *rc::gen::inRange(0, 3);
    for (int count = 0; count < accepted; ++count)
    {
        base.recent_.push_back({revision{}, change_id{}, account, {}});
    }
    return base;
}

edit_quotas any_quotas()
{
    edit_quotas quotas;
    quotas.max_rows_ = *rc::gen::inRange<std::size_t>(1, 7);
    quotas.max_accepted_ = 2;
    return quotas;
}

void check_same_routes(
    const config_snapshot& left, const config_snapshot& right)
{
    for (const auto* owner : {"regie", "guild"})
    {
        for (const auto* host : {"catalogue.regie", "ledger.guild"})
        {
            for (const auto* path : {"/", "/silk", "/silk/red"})
            {
                const client_account_id id{owner};
                const auto* found = left.find_route(id, host, path);
                const auto* expected = right.find_route(id, host, path);
                RC_ASSERT((found == nullptr) == (expected == nullptr));
                if (found != nullptr)
                {
                    RC_ASSERT(found->key_ == expected->key_);
                    RC_ASSERT(*found->route_ == *expected->route_);
                    RC_ASSERT(*found->pool_ == *expected->pool_);
                }
            }
        }
    }
}

void check_same(
    const edit_plan& plan,
    const std::shared_ptr<const config_snapshot>& expected)
{
    const auto& hash = expected->tables().hash_;
    RC_ASSERT(plan.snapshot_->number() == expected->number());
    RC_ASSERT(plan.snapshot_->tables().hash_ == hash);
    RC_ASSERT(plan.record_.delta_.result_hash_ == hash);
    check_same_routes(*plan.snapshot_, *expected);
}

} // namespace

// Guards against an invalid edit that is accepted because an affected row is
// not checked, and against a snapshot whose index misses a change.
Test(edit_plan, agrees_with_a_check_of_every_row)
{
    std::map<error_kind, int> refusals;
    int accepted = 0;
    const bool agrees = rc::check(
        [&]
        {
            const auto base = any_base();
            const auto quotas = any_quotas();
            const auto request = request_for(*any_edit());
            const auto plan =
                plan_edit(request, base, quotas, {}, vm_id{"vm-1"});
            const auto expected = check_every_row(request, base, quotas);
            RC_ASSERT(plan.has_value() == expected.has_value());
            if (!plan)
            {
                RC_ASSERT(plan.error() == expected.error());
                ++refusals[plan.error().kind_];
                return;
            }
            ++accepted;
            check_same(*plan, *expected);
        });
    cr_assert(agrees);
    // Each kind of result has to occur, otherwise the comparison is vacuous.
    cr_assert(accepted > 0);
    for (const auto kind :
         {error_kind::not_found, error_kind::invalid_row,
          error_kind::quota_exceeded})
    {
        cr_assert(refusals[kind] > 0);
    }
}
