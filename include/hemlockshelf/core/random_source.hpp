#ifndef HEMLOCKSHELF_CORE_RANDOM_SOURCE_HPP
#define HEMLOCKSHELF_CORE_RANDOM_SOURCE_HPP

#include <random>

namespace hemlockshelf {

/// Random generator, passed as an argument so that tests can fix its seed.
using random_source = std::mt19937_64;

/// Returns a number from 0 (included) to 1 (excluded).
inline double random_fraction(random_source& random)
{
    // The upper 53 bits fill the mantissa of a double exactly.
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

/// Returns the calling thread's generator, seeded from the operating system.
/// For production code.
inline random_source& thread_random()
{
    thread_local random_source random{std::random_device{}()};
    return random;
}

} // namespace hemlockshelf

#endif
