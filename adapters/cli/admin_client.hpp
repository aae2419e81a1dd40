#ifndef HEMLOCKSHELF_ADAPTERS_CLI_ADMIN_CLIENT_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_ADMIN_CLIENT_HPP

#include <string>

#include <nlohmann/json.hpp>

#include "adapters/cli/cli_options.hpp"
#include "adapters/http/http_client.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Speaks to the admin interface of nodes.
class admin_client
{
public:
    explicit admin_client(const cli_options& options);

    /// Reads from the first node that answers. The errors are `unreachable`
    /// and those of the node.
    [[nodiscard]] result<nlohmann::json> get(const std::string& path) const;

    /// Reads from one node.
    [[nodiscard]] result<nlohmann::json>
    get_from(const endpoint& node, const std::string& path) const;

    /// Sends to the first node that can be reached. A node that was reached
    /// but did not answer is not passed over: the error is `outcome_unknown`.
    [[nodiscard]] result<nlohmann::json>
    post(const std::string& path, const nlohmann::json& body) const;

private:
    [[nodiscard]] result<nlohmann::json>
    send(const endpoint& node, http_request request) const;

    const cli_options& options_;
};

} // namespace hemlockshelf

#endif
