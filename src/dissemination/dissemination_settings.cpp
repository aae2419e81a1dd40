#include "hemlockshelf/dissemination/dissemination_settings.hpp"

namespace hemlockshelf {

dissemination_settings default_settings(dissemination_profile profile)
{
    dissemination_settings settings;
    if (profile == dissemination_profile::convergence)
    {
        return settings;
    }
    settings.domain_fanout_ = 2;
    settings.offer_first_ = true;
    settings.poll_interval_ = std::chrono::milliseconds{1000};
    settings.repair_interval_ = std::chrono::milliseconds{30'000};
    settings.cross_domain_interval_ = std::chrono::milliseconds{30'000};
    settings.repair_grace_ = std::chrono::milliseconds{1000};
    settings.record_batch_delay_ = std::chrono::milliseconds{20};
    return settings;
}

} // namespace hemlockshelf
