#include "experiment/processor_limit.hpp"

#include <cerrno>
#include <filesystem>
#include <string>
#include <system_error>

#include <fmt/format.h>
#include <sched.h>

namespace hemlockshelf {

namespace {

[[noreturn]] void fail(const char* action)
{
    throw std::system_error(errno, std::generic_category(), action);
}

cpu_set_t first_processors(std::size_t count)
{
    cpu_set_t usable;
    if (::sched_getaffinity(0, sizeof(usable), &usable) != 0)
    {
        fail("sched_getaffinity");
    }
    cpu_set_t chosen;
    CPU_ZERO(&chosen);
    std::size_t found = 0;
    for (std::size_t processor = 0; processor < CPU_SETSIZE && found < count;
         ++processor)
    {
        if (CPU_ISSET(processor, &usable))
        {
            CPU_SET(processor, &chosen);
            ++found;
        }
    }
    return chosen;
}

} // namespace

void limit_processors(pid_t process, std::size_t count)
{
    const auto processors = first_processors(count);
    const auto folder = fmt::format("/proc/{}/task", process);
    for (const auto& thread : std::filesystem::directory_iterator(folder))
    {
        const auto id = std::stoi(thread.path().filename().string());
        // A thread may end between the listing and the call.
        if (::sched_setaffinity(id, sizeof(processors), &processors) != 0 &&
            errno != ESRCH)
        {
            fail("sched_setaffinity");
        }
    }
}

} // namespace hemlockshelf
