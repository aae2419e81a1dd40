#include "hemlockshelf/core/content_hash.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using hemlockshelf::content_hash;

// Guards against a hash that depends on the order in which rows are added,
// which would make nodes reject correct deltas.
Test(content_hash, does_not_depend_on_the_order)
{
    cr_assert(rc::check(
        [](std::vector<std::string> items)
        {
            content_hash forwards;
            content_hash backwards;
            for (const auto& item : items)
            {
                forwards.add(item);
            }
            std::reverse(items.begin(), items.end());
            for (const auto& item : items)
            {
                backwards.add(item);
            }
            RC_ASSERT(forwards == backwards);
        }));
}

// Guards against a removal that does not restore the previous hash.
Test(content_hash, removal_undoes_addition)
{
    cr_assert(rc::check(
        [](const std::vector<std::string>& items, const std::string& extra)
        {
            content_hash hash;
            for (const auto& item : items)
            {
                hash.add(item);
            }
            const auto before = hash;
            hash.add(extra);
            RC_ASSERT(hash != before);
            hash.remove(extra);
            RC_ASSERT(hash == before);
        }));
}

// Guards against a text form that drops leading zeros.
Test(content_hash, text_form_round_trips)
{
    const content_hash hash(0x1, 0xfedcba9876543210ULL);
    cr_assert(content_hash::from_string(hash.to_string()) == hash);
    cr_assert_not(content_hash::from_string("12").has_value());
    cr_assert_not(content_hash::from_string(std::string(32, 'x')).has_value());
}
