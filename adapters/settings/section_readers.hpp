#ifndef HEMLOCKSHELF_ADAPTERS_SETTINGS_SECTION_READERS_HPP
#define HEMLOCKSHELF_ADAPTERS_SETTINGS_SECTION_READERS_HPP

#include "adapters/http/call_settings.hpp"
#include "adapters/settings/settings_section.hpp"
#include "hemlockshelf/accounts/credential_lease.hpp"
#include "hemlockshelf/dissemination/dissemination_settings.hpp"
#include "hemlockshelf/editing/editing_settings.hpp"
#include "hemlockshelf/gate/gate_settings.hpp"
#include "hemlockshelf/membership/membership_settings.hpp"
#include "hemlockshelf/quota/quota_settings.hpp"
#include "hemlockshelf/retry/retry_settings.hpp"
#include "hemlockshelf/routing/routing_settings.hpp"

namespace hemlockshelf {

// Each reads one section of the settings file. Values that are absent keep
// their defaults; errors go to the section.

void read_call_path(settings_section section, call_settings& settings);
void read_editing(settings_section section, editing_settings& settings);
void read_routing(settings_section section, routing_settings& settings);
void read_retry(settings_section section, retry_settings& settings);
void read_gate_limits(settings_section section, gate_settings& settings);
void read_accounts(settings_section section, account_settings& settings);
void read_quota(settings_section section, quota_settings& settings);
void read_membership(settings_section section, membership_settings& settings);
void read_dissemination(
    settings_section section, dissemination_settings& settings);

} // namespace hemlockshelf

#endif
