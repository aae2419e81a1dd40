#include "experiment/child_process.hpp"

#include <cerrno>
#include <csignal>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds wait_step{5};
constexpr int exec_failed = 127;
constexpr int signal_base = 128;

/// Runs in the child after the fork, so it makes only calls that are safe in a
/// signal handler.
[[noreturn]] void
execute(char* const* arguments, const char* log_path, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
    {
        ::_exit(exec_failed);
    }
    const int log =
        ::open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(exec_failed);
}

} // namespace

child_process::child_process(
    const std::vector<std::string>& command, const std::string& log_path)
{
    std::vector<std::string> copy = command;
    std::vector<char*> arguments;
    for (auto& argument : copy)
    {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0)
    {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (pid_ == 0)
    {
        execute(arguments.data(), log_path.c_str(), parent);
    }
}

child_process::~child_process()
{
    kill();
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(other.status_)
{}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(pid_, other.pid_);
    std::swap(status_, other.status_);
    return *this;
}

pid_t child_process::pid() const
{
    return pid_;
}

void child_process::signal(int number)
{
    if (running())
    {
        ::kill(pid_, number);
    }
}

void child_process::kill()
{
    if (!running())
    {
        return;
    }
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    status_ = signal_base + SIGKILL;
}

std::optional<int> child_process::terminate(std::chrono::milliseconds timeout)
{
    signal(SIGTERM);
    const auto status = wait_for(timeout);
    if (!status)
    {
        kill();
    }
    return status;
}

std::optional<int> child_process::wait_for(std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (running())
    {
        if (std::chrono::steady_clock::now() >= until)
        {
            return std::nullopt;
        }
        std::this_thread::sleep_for(wait_step);
    }
    return status_;
}

bool child_process::running()
{
    if (pid_ < 0 || status_)
    {
        return false;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_)
    {
        return true;
    }
    status_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                : signal_base + WTERMSIG(status);
    return false;
}

} // namespace hemlockshelf
