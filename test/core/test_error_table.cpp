#include "hemlockshelf/core/error_table.hpp"

#include <set>
#include <string_view>

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against two kinds that share a name, by which operators and scripts
// tell them apart.
Test(error_table, names_are_unique_and_can_be_found)
{
    std::set<std::string_view> names;
    for (const auto& answer : error_table())
    {
        cr_assert(names.insert(answer.name_).second);
        cr_assert(find_error_kind(answer.name_) == answer.kind_);
        cr_assert(error_properties_of(answer.kind_).name_ == answer.name_);
    }
}

// Guards against an answer that claims that a request was not run although it
// may have run.
Test(error_table, uncertain_kinds_never_claim_not_run)
{
    for (const auto kind :
         {error_kind::outcome_unknown, error_kind::upstream_failed,
          error_kind::internal})
    {
        cr_assert(
            error_properties_of(kind).execution_ == execution::may_have_run);
    }
}
