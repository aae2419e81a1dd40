#ifndef HEMLOCKSHELF_ADAPTERS_CLI_PROGRESS_BAR_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_PROGRESS_BAR_HPP

#include <cstddef>
#include <string>

namespace hemlockshelf {

/// Returns a line such as `[#####-----] 8/16 nodes`.
std::string progress_line(std::size_t done, std::size_t total);

/// Draws a progress line on standard error, if that is a terminal.
class progress_bar
{
public:
    progress_bar();
    ~progress_bar();

    progress_bar(const progress_bar&) = delete;
    progress_bar& operator=(const progress_bar&) = delete;

    void show(std::size_t done, std::size_t total);

private:
    bool is_terminal_;
    bool drawn_ = false;
};

} // namespace hemlockshelf

#endif
