#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_EXECUTION_LOG_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_EXECUTION_LOG_HPP

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

/// One run of a request.
struct execution
{
    std::string request_id_;
    std::string method_;
    std::string target_;
    std::string upstream_;
    wall_time started_at_{};
    wall_time ended_at_{};
    /// XXH3-64 of the part of the body that has arrived.
    std::string body_hash_;
    std::uint64_t body_bytes_ = 0;
    bool completed_ = false;
    /// Whether the whole answer has been handed to the connection.
    bool answered_ = false;
};

/// Log of executions, one JSON object per line. A line is flushed when it is
/// written, so that a kill loses none.
class execution_log
{
public:
    /// Appends to the file; an empty path writes nothing. Throws
    /// `std::ios_base::failure` if the file can't be opened.
    execution_log(const std::string& path, bool log_starts);

    void write_start(const execution& run);
    void write_end(const execution& run);

private:
    void write(const execution& run, std::string_view outcome);

    std::ofstream file_;
    bool log_starts_;
};

} // namespace hemlockshelf

#endif
