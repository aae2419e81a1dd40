#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_OUTCOME_LOG_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_OUTCOME_LOG_HPP

#include <cstdint>
#include <fstream>
#include <string>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// One execution of a request.
struct execution
{
    std::string request_id_;
    std::string method_;
    std::string target_;
    std::string upstream_;
    wall_time started_at_{};
    wall_time ended_at_{};
    /// XXH3-64 hash of the bytes of the body that have arrived.
    std::string body_hash_;
    /// First word of the body, which callers use as its identifier.
    std::string body_id_;
    std::uint64_t body_bytes_ = 0;
    bool completed_ = false;
    /// Whether the whole answer has been written to the connection.
    bool answered_ = false;
};

/// Log of the outcome of each execution, one JSON object per line. An execution
/// that ends because the process is killed has a line only in `execution_log`.
class outcome_log
{
public:
    /// Appends to the file; an empty path writes nothing. Throws
    /// `std::ios_base::failure` if the file can't be opened.
    explicit outcome_log(const std::string& path);

    void write(const execution& run);

private:
    std::ofstream file_;
};

} // namespace hemlockshelf

#endif
