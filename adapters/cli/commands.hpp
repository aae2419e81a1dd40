#ifndef HEMLOCKSHELF_ADAPTERS_CLI_COMMANDS_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_COMMANDS_HPP

#include <string>
#include <vector>

#include "adapters/cli/cli_options.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

using cli_arguments = std::vector<std::string>;

// Each command prints its result on standard output. An error is printed by
// the caller and gives the exit code.

result<void> run_apply(const cli_options&, const cli_arguments&);
result<void> run_delete(const cli_options&, const cli_arguments&);
result<void> run_outcome(const cli_options&, const cli_arguments&);
result<void> run_get(const cli_options&, const cli_arguments&);
result<void> run_versions(const cli_options&, const cli_arguments&);
result<void> run_history(const cli_options&, const cli_arguments&);
result<void> run_explain(const cli_options&, const cli_arguments&);
result<void> run_status(const cli_options&, const cli_arguments&);
result<void> run_drain(const cli_options&, const cli_arguments&);
result<void> run_wait(const cli_options&, const cli_arguments&);
result<void> run_trace(const cli_options&, const cli_arguments&);

} // namespace hemlockshelf

#endif
