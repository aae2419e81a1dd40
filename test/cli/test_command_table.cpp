#include "adapters/cli/command_table.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against an unknown command that ends as success.
Test(command_table, an_unknown_command_is_a_usage_error)
{
    const auto outcome = run_command({}, "aply", {});
    cr_assert(outcome.error().kind_ == error_kind::usage);
    cr_assert(outcome.error().message_.find("aply") != std::string::npos);
}

// Guards against a command that reads arguments which were not given.
Test(command_table, missing_and_extra_arguments_are_usage_errors)
{
    for (const auto& command : command_table())
    {
        const cli_arguments extra(command.max_arguments_ + 1, "x");
        const std::string name(command.name_);
        cr_assert(
            run_command({}, name, extra).error().kind_ == error_kind::usage);
        if (command.min_arguments_ > 0)
        {
            cr_assert(
                run_command({}, name, {}).error().kind_ == error_kind::usage);
        }
    }
}

// Guards against an edit that is reported as done although no node was there.
Test(command_table, a_node_that_cannot_be_reached_is_an_error)
{
    cli_options options;
    options.nodes_ = {{"127.0.0.1", 1}};
    const auto outcome =
        run_command(options, "delete", {"pools", "regie/catalogue"});
    cr_assert(outcome.error().kind_ == error_kind::unreachable);
}

// Guards against help that leaves a command out.
Test(command_table, help_names_every_command)
{
    for (const auto& command : command_table())
    {
        cr_assert(command_help().find(command.name_) != std::string::npos);
    }
}
