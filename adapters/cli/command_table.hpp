#ifndef HEMLOCKSHELF_ADAPTERS_CLI_COMMAND_TABLE_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_COMMAND_TABLE_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "adapters/cli/commands.hpp"

namespace hemlockshelf {

/// A command of the operators' command line.
struct cli_command
{
    std::string_view name_;
    std::string_view arguments_;
    std::string_view summary_;
    std::string_view example_;
    std::size_t min_arguments_;
    std::size_t max_arguments_;
    result<void> (*run_)(const cli_options&, const cli_arguments&);
};

std::span<const cli_command> command_table();

/// Returns the help text with one line and one example per command.
std::string command_help();

/// Runs a command by its name. The error is `usage` if there is no such
/// command or its arguments do not fit.
result<void> run_command(
    const cli_options& options,
    const std::string& name,
    const cli_arguments& arguments);

} // namespace hemlockshelf

#endif
