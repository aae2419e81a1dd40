#ifndef HEMLOCKSHELF_ADAPTERS_CLI_LOG_LINE_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_LOG_LINE_HPP

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockshelf {

/// A line of a node's log, in either of its forms.
struct log_line
{
    /// Wall-clock time of the node that wrote it.
    std::chrono::milliseconds time_{};
    std::string vm_;
    std::string event_;
    /// Other fields as text, by name.
    std::map<std::string, std::string> fields_;
    /// The event and its fields as they stand in the line.
    std::string text_;
};

/// Reads a line; nothing if it is not one of a node's log. What stands before
/// the time, such as the prefix of a log collector, is passed over.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace hemlockshelf

#endif
