#ifndef HEMLOCKSHELF_CORE_REAL_CLOCK_HPP
#define HEMLOCKSHELF_CORE_REAL_CLOCK_HPP

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// Reads the clocks of the operating system.
class real_clock final : public clock
{
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;
    [[nodiscard]] boot_time boot_now() const override;
};

} // namespace hemlockshelf

#endif
