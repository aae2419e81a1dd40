#include "adapters/cli/command_table.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

constexpr std::array commands{
    cli_command{
        "apply", "FILE", "Submits the rows of a file as one edit.",
        "hemlockshelf apply --dry-run rows.yaml", 1, 1, run_apply},
    cli_command{
        "get", "routes|pools [KEY]", "Shows rows that the node runs.",
        "hemlockshelf get pools regie/catalogue", 1, 2, run_get},
    cli_command{
        "versions", "routes|pools [KEY]",
        "Shows the account's rows in the platform with their versions.",
        "hemlockshelf versions pools regie/catalogue", 1, 2, run_versions},
    cli_command{
        "delete", "routes|pools KEY", "Deletes a row.",
        "hemlockshelf delete routes regie/catalogue", 2, 2, run_delete},
    cli_command{
        "outcome", "CHANGE_ID",
        "Tells whether an edit whose answer was lost was accepted.",
        "hemlockshelf outcome 7f1c", 1, 1, run_outcome},
    cli_command{
        "history", "[AFTER_REVISION]",
        "Shows who changed which rows of the token's account.",
        "hemlockshelf history 40 --output json", 0, 1, run_history},
    cli_command{
        "status", "", "Shows every node's state, revision and lag.",
        "hemlockshelf status", 0, 0, run_status},
    cli_command{
        "explain", "ACCOUNT HOST PATH [METHOD]",
        "Shows which route, pool and upstream a request would take.",
        "hemlockshelf explain regie catalogue.regie /silk", 3, 4, run_explain},
    cli_command{
        "drain", "", "Drains the upstream beside the node.",
        "hemlockshelf drain --node 10.0.0.7:7004", 0, 0, run_drain},
    cli_command{
        "wait", "REVISION", "Waits until every reachable node runs a revision.",
        "hemlockshelf wait 41 --timeout 4s", 1, 1, run_wait},
    cli_command{
        "trace", "REQUEST_ID [LOG]...",
        "Tells the story of a request from nodes' logs or standard input.",
        "hemlockshelf trace 9c41d07be2a35f68 node-1.log node-2.log", 1, 1000,
        run_trace},
};

} // namespace

std::span<const cli_command> command_table()
{
    return commands;
}

std::string command_help()
{
    std::string help =
        "hemlockshelf COMMAND [ARGUMENT]... [FLAG]...\n\nCommands:\n";
    for (const auto& command : commands)
    {
        help += fmt::format(
            "  {} {}\n      {}\n      Example: {}\n", command.name_,
            command.arguments_, command.summary_, command.example_);
    }
    return help;
}

result<void> run_command(
    const cli_options& options,
    const std::string& name,
    const cli_arguments& arguments)
{
    const auto* found = std::ranges::find(commands, name, &cli_command::name_);
    if (found == commands.end())
    {
        return make_error(
            error_kind::usage,
            fmt::format(
                "command: expected one of those below, given \"{}\"\n\n{}",
                name, command_help()));
    }
    if (arguments.size() < found->min_arguments_ ||
        arguments.size() > found->max_arguments_)
    {
        return make_error(
            error_kind::usage,
            fmt::format(
                "{}: expected the arguments {}, given {} of them", found->name_,
                found->arguments_.empty() ? "(none)" : found->arguments_,
                arguments.size()));
    }
    return found->run_(options, arguments);
}

} // namespace hemlockshelf
