// Command line for operators.

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <gflags/gflags.h>

#include "adapters/cli/command_table.hpp"
#include "adapters/settings/units.hpp"
#include "hemlockshelf/core/error_table.hpp"

DEFINE_string(
    node,
    "127.0.0.1:7004",
    "admin addresses of nodes, separated by commas; the first that answers "
    "is used");
DEFINE_string(
    token_file,
    "",
    "file with the operator token; without it, the environment variable "
    "HEMLOCKSHELF_TOKEN is used");
DEFINE_string(actor, "", "name for the audit trail; default: USER");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(dry_run, false, "show what an edit would change, change nothing");
DEFINE_string(change_id, "", "id of the edit; default: a random one");
DEFINE_string(timeout, "10s", "longest wait for an answer or a revision");

namespace {

using hemlockshelf::error;
using hemlockshelf::error_kind;
using hemlockshelf::result;

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

result<std::string> read_token()
{
    if (FLAGS_token_file.empty())
    {
        return environment("HEMLOCKSHELF_TOKEN");
    }
    std::ifstream file(FLAGS_token_file);
    std::string token;
    if (!std::getline(file, token))
    {
        return hemlockshelf::make_error(
            error_kind::usage,
            "--token_file: expected a readable file, given \"" +
                FLAGS_token_file + "\"");
    }
    return token;
}

result<std::vector<hemlockshelf::endpoint>> read_nodes()
{
    std::vector<hemlockshelf::endpoint> nodes;
    std::istringstream list(FLAGS_node);
    std::string item;
    while (std::getline(list, item, ','))
    {
        const auto node = hemlockshelf::parse_endpoint(item);
        if (!node)
        {
            return hemlockshelf::make_error(
                error_kind::usage, "--node: " + node.error().message_);
        }
        nodes.push_back(*node);
    }
    return nodes;
}

result<hemlockshelf::cli_options> read_options()
{
    hemlockshelf::cli_options options;
    auto nodes = read_nodes();
    if (!nodes)
    {
        return tl::unexpected<error>(nodes.error());
    }
    auto token = read_token();
    if (!token)
    {
        return tl::unexpected<error>(token.error());
    }
    const auto timeout = hemlockshelf::parse_duration(FLAGS_timeout);
    if (!timeout)
    {
        return hemlockshelf::make_error(
            error_kind::usage, "--timeout: " + timeout.error().message_);
    }
    if (FLAGS_output != "table" && FLAGS_output != "json")
    {
        return hemlockshelf::make_error(
            error_kind::usage,
            "--output: expected table or json, given \"" + FLAGS_output + "\"");
    }
    options.nodes_ = std::move(*nodes);
    options.token_ = std::move(*token);
    options.actor_ = FLAGS_actor.empty() ? environment("USER") : FLAGS_actor;
    if (options.actor_.empty())
    {
        options.actor_ = "unknown";
    }
    options.output_ = FLAGS_output == "json"
                          ? hemlockshelf::output_format::json
                          : hemlockshelf::output_format::table;
    options.dry_run_ = FLAGS_dry_run;
    options.change_id_ = FLAGS_change_id;
    options.timeout_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(*timeout);
    return options;
}

int finish(const result<void>& outcome)
{
    if (outcome)
    {
        return static_cast<int>(hemlockshelf::exit_code::ok);
    }
    const auto& answer =
        hemlockshelf::error_properties_of(outcome.error().kind_);
    std::cerr << answer.name_ << ": " << outcome.error().message_ << "\n";
    return static_cast<int>(answer.exit_code_);
}

int run(int argc, char** argv)
{
    const auto options = read_options();
    if (!options)
    {
        return finish(tl::unexpected<error>(options.error()));
    }
    const std::string name = argc > 1 ? argv[1] : "";
    const hemlockshelf::cli_arguments arguments(
        argv + (argc > 1 ? 2 : argc), argv + argc);
    return finish(hemlockshelf::run_command(*options, name, arguments));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(hemlockshelf::command_help());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "internal: " << failure.what() << "\n";
        return static_cast<int>(hemlockshelf::exit_code::internal);
    }
}
