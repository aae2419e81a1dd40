#ifndef HEMLOCKSHELF_ADAPTERS_SETTINGS_NODE_SETTINGS_HPP
#define HEMLOCKSHELF_ADAPTERS_SETTINGS_NODE_SETTINGS_HPP

#include <map>
#include <string>
#include <vector>

#include "adapters/http/call_settings.hpp"
#include "adapters/http/endpoint.hpp"
#include "adapters/settings/settings_section.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/accounts/credential_lease.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/dissemination/dissemination_settings.hpp"
#include "hemlockshelf/editing/editing_settings.hpp"
#include "hemlockshelf/gate/gate_settings.hpp"
#include "hemlockshelf/membership/membership_settings.hpp"
#include "hemlockshelf/quota/quota_settings.hpp"
#include "hemlockshelf/retry/retry_settings.hpp"
#include "hemlockshelf/routing/routing_settings.hpp"

namespace hemlockshelf {

/// Settings of `hemlockshelfd`, read from a YAML file.
struct node_settings
{
    /// File from which the settings were read.
    std::string file_;
    vm_id vm_;
    failure_domain_id failure_domain_;
    region_id region_;
    /// Where the node listens.
    endpoint calls_;
    endpoint gate_;
    endpoint control_;
    endpoint admin_;
    /// Addresses that peers use, which differ from the bound ones where
    /// traffic passes a relay.
    endpoint advertised_gate_;
    endpoint advertised_control_;
    endpoint advertised_admin_;
    /// Local address of outgoing connections; empty lets the system choose.
    std::string source_address_;
    /// Capacity of the VM's link, each way.
    bit_rate link_;
    endpoint platform_;
    /// Control addresses of nodes for the first contact.
    std::vector<endpoint> peers_;
    /// SHA-256 of each account's operator token, in hexadecimal.
    std::map<client_account_id, std::string> token_hashes_;
    log_format log_format_ = log_format::text;
    std::string log_level_ = "info";
    membership_settings membership_;
    dissemination_settings dissemination_;
    editing_settings editing_;
    call_settings call_path_;
    routing_settings routing_;
    retry_settings retry_;
    gate_settings gate_limits_;
    account_settings accounts_;
    quota_settings quota_;
};

/// Reads and checks a settings file. The error is `settings_invalid` and names
/// the file, the line, what was given and what was expected.
result<node_settings> load_node_settings(const std::string& path);

/// Returns a description of every setting, in the order of the file.
std::vector<setting_info> describe_node_settings();

} // namespace hemlockshelf

#endif
