#include "hemlockshelf/editing/submission_limiter.hpp"

#include "hemlockshelf/core/manual_clock.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const client_account_id regie{"regie"};
const client_account_id guild{"guild"};

edit_quotas quotas(std::uint32_t per_second, std::uint32_t concurrent)
{
    edit_quotas limits;
    limits.max_submitted_per_second_ = per_second;
    limits.max_concurrent_ = concurrent;
    return limits;
}

} // namespace

// Guards against an account whose flood holds every thread of the node.
Test(submission_limiter, concurrent_edits_are_limited_per_account)
{
    const manual_clock time;
    submission_limiter limiter(quotas(100, 1));
    auto first = limiter.admit(regie, time.now());
    cr_assert(first.has_value());
    cr_assert(
        limiter.admit(regie, time.now()).error().kind_ ==
        error_kind::rate_limited);
    cr_assert(limiter.admit(guild, time.now()).has_value());
    first->reset();
    cr_assert(limiter.admit(regie, time.now()).has_value());
}

// Guards against a flood that uses up the platform's requests, and against a
// limit that never ends.
Test(submission_limiter, edits_per_second_are_limited_per_account)
{
    manual_clock time;
    submission_limiter limiter(quotas(2, 10));
    cr_assert(limiter.admit(regie, time.now()).has_value());
    cr_assert(limiter.admit(regie, time.now()).has_value());
    cr_assert(!limiter.admit(regie, time.now()).has_value());
    cr_assert(limiter.admit(guild, time.now()).has_value());
    time.advance(std::chrono::milliseconds{500});
    cr_assert(limiter.admit(regie, time.now()).has_value());
    cr_assert(!limiter.admit(regie, time.now()).has_value());
}
