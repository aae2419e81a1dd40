#include "hemlockshelf/dissemination/configuration_lease.hpp"

#include <algorithm>

#include "hemlockshelf/dissemination/loop_delay.hpp"

namespace hemlockshelf {

namespace {

// A later confirmation arrives twice a second while nothing is slow. A node
// that has just received one is not cut off.
constexpr std::chrono::seconds heard_recently{2};

} // namespace

bool may_rely_unconfirmed(const confirmation_outlook& outlook)
{
    const bool hears_readers =
        outlook.since_heard_ && *outlook.since_heard_ <= heard_recently;
    const bool is_slow =
        outlook.has_readers_ && outlook.loop_delay_ >= long_loop_delay;
    return !outlook.knows_newer_ && !outlook.reads_platform_ &&
           !hears_readers && !is_slow;
}

void configuration_lease::confirm(boot_time at)
{
    confirmed_.record(at);
}

void configuration_lease::set_outlook(confirmation_outlook outlook)
{
    may_rely_ = may_rely_unconfirmed(outlook);
    outlook.loop_delay_ = std::max<std::chrono::nanoseconds>(
        outlook.loop_delay_, long_loop_delay);
    may_rely_if_late_ = may_rely_unconfirmed(outlook);
}

void configuration_lease::require_confirmation()
{
    may_rely_ = false;
    may_rely_if_late_ = false;
}

bool configuration_lease::is_valid(
    boot_time now, std::chrono::nanoseconds loop_delay) const
{
    const auto elapsed = age(now);
    return (elapsed && *elapsed < configuration_lifetime) ||
           (loop_delay < long_loop_delay ? may_rely_ : may_rely_if_late_);
}

std::optional<std::chrono::nanoseconds>
configuration_lease::age(boot_time now) const
{
    return confirmed_.age(now);
}

} // namespace hemlockshelf
