#include "hemlockshelf/core/real_clock.hpp"

namespace hemlockshelf {

steady_time real_clock::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time real_clock::wall_now() const
{
    return std::chrono::system_clock::now();
}

} // namespace hemlockshelf
