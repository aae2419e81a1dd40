#ifndef HEMLOCKSHELF_CORE_MANUAL_CLOCK_HPP
#define HEMLOCKSHELF_CORE_MANUAL_CLOCK_HPP

#include <chrono>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Clock for tests that only advances when `advance` is called. Not
/// thread-safe.
class manual_clock final : public clock
{
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;

    /// Advances both clocks by `step`.
    void advance(std::chrono::nanoseconds step);

private:
    steady_time steady_{std::chrono::seconds{1000}};
    wall_time wall_{std::chrono::seconds{1'700'000'000}};
};

} // namespace hemlockshelf

#endif
