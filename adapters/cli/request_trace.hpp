#ifndef HEMLOCKSHELF_ADAPTERS_CLI_REQUEST_TRACE_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_REQUEST_TRACE_HPP

#include <istream>
#include <string>
#include <vector>

#include "adapters/cli/log_line.hpp"

namespace hemlockshelf {

/// Reads the lines of a log; others are passed over.
std::vector<log_line> read_log(std::istream& log);

/// Returns the story of a request and of the calls that its upstreams made for
/// it, in order of time: each line, after what its node had last said of its
/// beliefs, with the age, and notes on lines that are missing.
std::string trace_request(std::vector<log_line> lines, const std::string& id);

} // namespace hemlockshelf

#endif
