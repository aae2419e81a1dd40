#include "adapters/cli/progress_bar.hpp"

#include <iostream>

#include <fmt/format.h>
#include <unistd.h>

namespace hemlockshelf {

namespace {

constexpr std::size_t bar_width = 30;

} // namespace

std::string progress_line(std::size_t done, std::size_t total)
{
    const auto filled = total == 0 ? bar_width : bar_width * done / total;
    return fmt::format(
        "[{}{}] {}/{} nodes", std::string(filled, '#'),
        std::string(bar_width - filled, '-'), done, total);
}

progress_bar::progress_bar() : is_terminal_(isatty(STDERR_FILENO) == 1) {}

progress_bar::~progress_bar()
{
    if (drawn_)
    {
        std::cerr << "\n";
    }
}

void progress_bar::show(std::size_t done, std::size_t total)
{
    if (!is_terminal_)
    {
        return;
    }
    drawn_ = true;
    std::cerr << "\r" << progress_line(done, total) << std::flush;
}

} // namespace hemlockshelf
