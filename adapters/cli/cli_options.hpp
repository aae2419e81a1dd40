#ifndef HEMLOCKSHELF_ADAPTERS_CLI_CLI_OPTIONS_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_CLI_OPTIONS_HPP

#include <chrono>
#include <string>
#include <vector>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf {

enum class output_format
{
    table,
    json,
};

/// Options of the operators' command line.
struct cli_options
{
    /// Admin addresses; the first that answers is used.
    std::vector<endpoint> nodes_;
    /// Operator token of a client account; sent, never printed.
    std::string token_;
    std::string actor_;
    output_format output_ = output_format::table;
    bool dry_run_ = false;
    /// Id of the edit; empty lets the command choose one.
    std::string change_id_;
    std::chrono::milliseconds timeout_{10'000};
};

} // namespace hemlockshelf

#endif
