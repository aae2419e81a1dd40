#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_EXECUTION_LOG_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_EXECUTION_LOG_HPP

#include <string>

namespace hemlockshelf {

/// Appends one line per executed request to a file. Each line is written
/// without buffering, so that it survives a kill of the process.
class execution_log
{
public:
    /// Opens the file for appending; an empty path records nothing.
    explicit execution_log(const std::string& path);
    ~execution_log();

    execution_log(const execution_log&) = delete;
    execution_log& operator=(const execution_log&) = delete;

    /// Records that `upstream` started to execute `request_id`.
    void record(const std::string& request_id, const std::string& upstream);

private:
    int file_ = -1;
};

} // namespace hemlockshelf

#endif
