#include <fstream>
#include <iostream>

#include <fmt/format.h>

#include "adapters/cli/commands.hpp"
#include "adapters/cli/request_trace.hpp"

namespace hemlockshelf {

result<void>
run_trace(const cli_options& /*options*/, const cli_arguments& arguments)
{
    std::vector<log_line> lines;
    for (std::size_t index = 1; index < arguments.size(); ++index)
    {
        std::ifstream file(arguments[index]);
        if (!file)
        {
            return make_error(
                error_kind::usage,
                fmt::format(
                    "trace: expected a readable log, given \"{}\"",
                    arguments[index]));
        }
        auto read = read_log(file);
        lines.insert(
            lines.end(), std::make_move_iterator(read.begin()),
            std::make_move_iterator(read.end()));
    }
    if (arguments.size() == 1)
    {
        lines = read_log(std::cin);
    }
    std::cout << trace_request(std::move(lines), arguments.front());
    return {};
}

} // namespace hemlockshelf
