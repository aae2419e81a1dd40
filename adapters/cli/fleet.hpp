#ifndef HEMLOCKSHELF_ADAPTERS_CLI_FLEET_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_FLEET_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "adapters/cli/admin_client.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// What one node says about itself, or why it could not be asked.
struct node_report
{
    std::string vm_;
    std::string failure_domain_;
    std::string region_;
    /// State of the node, or the liveness that its peers hold.
    std::string state_;
    /// Nothing if the node did not answer.
    std::optional<std::uint64_t> revision_;
    std::string problem_;
};

/// Asks every member that the first reachable node knows. The error is
/// `unreachable` if no node answers.
result<std::vector<node_report>>
survey_fleet(const admin_client& client, const cli_options& options);

/// Returns the highest revision of the reports, 0 if none answered.
std::uint64_t highest_revision(const std::vector<node_report>& reports);

} // namespace hemlockshelf

#endif
