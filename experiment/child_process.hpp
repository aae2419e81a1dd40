#ifndef HEMLOCKSHELF_EXPERIMENT_CHILD_PROCESS_HPP
#define HEMLOCKSHELF_EXPERIMENT_CHILD_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace hemlockshelf {

/// A child process. It is killed when the thread that started it exits or the
/// object is destroyed.
class child_process
{
public:
    /// Starts `command`, whose first item is the program's path; its output is
    /// appended to a file. Throws `std::system_error`.
    child_process(
        const std::vector<std::string>& command, const std::string& log_path);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    [[nodiscard]] pid_t pid() const;

    /// Sends a signal unless the process has ended.
    void signal(int number);

    /// Kills the process and waits for its end.
    void kill();

    /// Sends SIGTERM and waits for the end. Returns the exit status as
    /// `wait_for` does; kills the process and returns nothing on a timeout.
    std::optional<int> terminate(std::chrono::milliseconds timeout);

    /// Waits for the end and returns the exit code, or 128 + the signal that
    /// ended the process. Returns nothing if it still runs.
    std::optional<int> wait_for(std::chrono::milliseconds timeout);

    [[nodiscard]] bool running();

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace hemlockshelf

#endif
