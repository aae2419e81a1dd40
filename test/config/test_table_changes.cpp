#include "hemlockshelf/config/table_changes.hpp"

#include <rapidcheck.h>

#include "hemlockshelf/config/table_builder.hpp"
#include "test/config/row_generators.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

config_tables any_tables()
{
    config_tables tables;
    for (const auto& change :
         *rc::gen::container<std::vector<row_change>>(any_change()))
    {
        apply_change(tables, change);
    }
    return tables;
}

bool same_rows(const config_tables& left, const config_tables& right)
{
    return all_rows(left) == all_rows(right) && left.hash_ == right.hash_;
}

} // namespace

// Guards against a delta between two published states that misses a row, so
// that peers that apply it would run a configuration that was never published.
Test(table_changes, lead_from_one_state_to_the_other)
{
    cr_assert(rc::check(
        []
        {
            auto tables = any_tables();
            const auto after = any_tables();
            for (const auto& change : changes_between(tables, after))
            {
                apply_change(tables, change);
            }
            RC_ASSERT(same_rows(tables, after));
            RC_ASSERT(changes_between(tables, after).empty());
        }));
}

// Guards against tables that keep rows of the previous state, or have a wrong
// hash.
Test(table_update, equals_tables_built_from_nothing)
{
    cr_assert(rc::check(
        []
        {
            const auto previous = any_tables();
            const auto wanted = any_tables();
            table_builder update(previous);
            for (const auto& [key, row] : wanted.pools_)
            {
                update.put(key, *row);
            }
            for (const auto& [key, row] : wanted.routes_)
            {
                update.put(key, *row);
            }
            for (const auto& [key, row] : wanted.accounts_)
            {
                update.put(key, *row);
            }
            RC_ASSERT(same_rows(std::move(update).finish(), wanted));
        }));
}
