#include "hemlockshelf/core/manual_clock.hpp"

namespace hemlockshelf {

steady_time manual_clock::now() const
{
    return steady_;
}

wall_time manual_clock::wall_now() const
{
    return wall_;
}

void manual_clock::advance(std::chrono::nanoseconds step)
{
    steady_ += std::chrono::duration_cast<steady_time::duration>(step);
    wall_ += std::chrono::duration_cast<wall_time::duration>(step);
}

} // namespace hemlockshelf
