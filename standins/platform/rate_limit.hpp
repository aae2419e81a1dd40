#ifndef HEMLOCKSHELF_STANDINS_PLATFORM_RATE_LIMIT_HPP
#define HEMLOCKSHELF_STANDINS_PLATFORM_RATE_LIMIT_HPP

#include <mutex>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Token bucket whose capacity is the requests of a quarter of a second.
/// Thread-safe.
class rate_limit
{
public:
    explicit rate_limit(double per_second);

    /// Takes a token; returns false if there is none.
    bool try_take(steady_time now);

private:
    std::mutex mutex_;
    double per_second_;
    double tokens_;
    steady_time refilled_at_;
};

} // namespace hemlockshelf

#endif
