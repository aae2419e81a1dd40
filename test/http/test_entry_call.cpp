#include "adapters/http/entry_call.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using boost::beast::http::verb;

// Guards against a GET that is sent twice, or explained as repeatable, although
// its route decides for every method.
Test(entry_call, a_route_may_decide_for_every_method)
{
    route_row row;
    cr_assert(is_repeatable(row, verb::get));
    cr_assert(!is_repeatable(row, verb::post));
    row.ignore_method_ = true;
    cr_assert(!is_repeatable(row, verb::get));
    row.idempotent_ = true;
    cr_assert(is_repeatable(row, verb::post));
}
