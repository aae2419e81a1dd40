#include "hemlockshelf/core/real_clock.hpp"

#include <ctime>

namespace hemlockshelf {

steady_time real_clock::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time real_clock::wall_now() const
{
    return std::chrono::system_clock::now();
}

boot_time real_clock::boot_now() const
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return boot_time{
        std::chrono::seconds{time.tv_sec} +
        std::chrono::nanoseconds{time.tv_nsec}};
}

} // namespace hemlockshelf
