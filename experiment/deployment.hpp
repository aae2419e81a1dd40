#ifndef HEMLOCKSHELF_EXPERIMENT_DEPLOYMENT_HPP
#define HEMLOCKSHELF_EXPERIMENT_DEPLOYMENT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace hemlockshelf {

/// A failure domain and the region that it belongs to.
struct deployed_domain
{
    std::string name_;
    std::string region_;
};

/// A user's mesh, read from the folder of an example.
struct deployment
{
    std::string account_;
    /// Operator token of the account.
    std::string token_;
    std::string platform_region_;
    std::vector<deployed_domain> domains_;
    std::vector<std::string> services_;
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
    /// Rows of the tables, in the form of `edits` in `POST /v1/edits`.
    nlohmann::json tables_;
};

/// Reads `deployment.yaml` and `tables.json`. Throws `std::exception` if a
/// file is missing or malformed.
deployment load_deployment(const std::string& folder);

} // namespace hemlockshelf

#endif
