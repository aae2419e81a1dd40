#ifndef HEMLOCKSHELF_STANDINS_PLATFORM_RATE_LIMIT_HPP
#define HEMLOCKSHELF_STANDINS_PLATFORM_RATE_LIMIT_HPP

#include <mutex>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Token bucket that holds up to a quarter of a second's requests.
/// Thread-safe.
class rate_limit
{
public:
    explicit rate_limit(double per_second);

    /// Takes a token; false if there is none.
    bool take(steady_time now);

private:
    std::mutex mutex_;
    double per_second_;
    double tokens_;
    steady_time refilled_;
};

} // namespace hemlockshelf

#endif
