#ifndef HEMLOCKSHELF_EXPERIMENT_PROCESSOR_LIMIT_HPP
#define HEMLOCKSHELF_EXPERIMENT_PROCESSOR_LIMIT_HPP

#include <cstddef>

#include <sys/types.h>

namespace hemlockshelf {

/// Restricts every thread of a process, and those that they start, to the first
/// `count` processors that this process may use. Throws `std::system_error`.
void limit_processors(pid_t process, std::size_t count);

} // namespace hemlockshelf

#endif
