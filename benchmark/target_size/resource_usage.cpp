#include "benchmark/target_size/resource_usage.hpp"

#include <cstdint>
#include <ctime>
#include <fstream>

#include <unistd.h>

namespace hemlockshelf {

byte_count resident_memory()
{
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    statm >> total_pages >> resident_pages;
    const auto page_size = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return byte_count{resident_pages * page_size};
}

std::chrono::nanoseconds processor_time()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds{used.tv_sec} +
           std::chrono::nanoseconds{used.tv_nsec};
}

} // namespace hemlockshelf
