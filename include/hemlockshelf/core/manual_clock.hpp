#ifndef HEMLOCKSHELF_CORE_MANUAL_CLOCK_HPP
#define HEMLOCKSHELF_CORE_MANUAL_CLOCK_HPP

#include <chrono>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Clock for tests: time moves only when the test moves it. Not thread-safe.
class manual_clock final : public clock
{
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;

    /// Moves both clocks forwards by `step`.
    void advance(std::chrono::nanoseconds step);

private:
    steady_time steady_{std::chrono::seconds{1000}};
    wall_time wall_{std::chrono::seconds{1'700'000'000}};
};

} // namespace hemlockshelf

#endif
