#include "node/platform_contact.hpp"

namespace hemlockshelf {

void record_poll(platform_contact& contact, bool answered, steady_time now)
{
    if (!answered)
    {
        contact = {true, std::nullopt};
        return;
    }
    if (!contact.lost_)
    {
        return;
    }
    const auto since = contact.answers_since_.value_or(now);
    contact.answers_since_ = since;
    if (now - since >= platform_recovery_time)
    {
        contact = {};
    }
}

} // namespace hemlockshelf
