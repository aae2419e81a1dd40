#ifndef HEMLOCKSHELF_CORE_ERROR_KIND_HPP
#define HEMLOCKSHELF_CORE_ERROR_KIND_HPP

namespace hemlockshelf {

/// All error kinds. `error_table` maps each to its name, HTTP status, retry
/// advice and exit code.
enum class error_kind
{
    bad_request,
    unauthorized,
    forbidden,
    unknown_account,
    not_found,
    conflict,
    invalid_row,
    quota_exceeded,
    rate_limited,
    /// The node may not rely on the API keys that it holds.
    credentials_unconfirmed,
    /// No node that grants the account's quota answered.
    quota_unavailable,
    header_too_large,
    body_too_large,
    no_route,
    no_upstream,
    overloaded,
    draining,
    not_ready,
    deadline_exceeded,
    gate_unreachable,
    upstream_failed,
    outcome_unknown,
    duplicate_request,
    platform_unavailable,
    busy,
    hash_mismatch,
    stale_revision,
    revision_gap,
    unreachable,
    settings_invalid,
    usage,
    internal,
};

} // namespace hemlockshelf

#endif
