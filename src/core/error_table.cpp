#include "hemlockshelf/core/error_table.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace hemlockshelf {

namespace {

using enum error_kind;
constexpr auto not_run = execution::not_run;
constexpr auto may_have_run = execution::may_have_run;
constexpr auto never = retry_advice::never;
constexpr auto after_delay = retry_advice::after_delay;
constexpr auto query_outcome = retry_advice::query_outcome;
constexpr auto refused = exit_code::refused;

// clang-format off
constexpr std::array answers{
    error_properties{bad_request, "bad_request", 400, not_run, never, refused},
    error_properties{unauthorized, "unauthorized", 401, not_run, never, refused},
    error_properties{forbidden, "forbidden", 403, not_run, never, refused},
    error_properties{unknown_account, "unknown_account", 403, not_run, never, refused},
    error_properties{not_found, "not_found", 404, not_run, never, refused},
    error_properties{conflict, "conflict", 409, not_run, never, exit_code::conflict},
    error_properties{invalid_row, "invalid_row", 422, not_run, never, refused},
    error_properties{quota_exceeded, "quota_exceeded", 429, not_run, after_delay, refused},
    error_properties{rate_limited, "rate_limited", 429, not_run, after_delay, refused},
    error_properties{credentials_unconfirmed, "credentials_unconfirmed", 503, not_run, after_delay, refused},
    error_properties{quota_unavailable, "quota_unavailable", 503, not_run, after_delay, refused},
    error_properties{header_too_large, "header_too_large", 431, not_run, never, refused},
    error_properties{body_too_large, "body_too_large", 413, not_run, never, refused},
    error_properties{no_route, "no_route", 404, not_run, never, refused},
    error_properties{no_upstream, "no_upstream", 503, not_run, after_delay, refused},
    error_properties{overloaded, "overloaded", 503, not_run, after_delay, refused},
    error_properties{draining, "draining", 503, not_run, after_delay, refused},
    error_properties{not_ready, "not_ready", 503, not_run, after_delay, refused},
    error_properties{deadline_exceeded, "deadline_exceeded", 503, not_run, after_delay, refused},
    error_properties{gate_unreachable, "gate_unreachable", 503, not_run, after_delay, refused},
    error_properties{upstream_failed, "upstream_failed", 502, may_have_run, query_outcome, exit_code::outcome_unknown},
    error_properties{outcome_unknown, "outcome_unknown", 504, may_have_run, query_outcome, exit_code::outcome_unknown},
    error_properties{duplicate_request, "duplicate_request", 409, may_have_run, query_outcome, exit_code::conflict},
    error_properties{platform_unavailable, "platform_unavailable", 503, not_run, after_delay, exit_code::unreachable},
    error_properties{busy, "busy", 503, not_run, after_delay, refused},
    error_properties{hash_mismatch, "hash_mismatch", 502, not_run, never, refused},
    error_properties{stale_revision, "stale_revision", 409, not_run, never, exit_code::conflict},
    error_properties{revision_gap, "revision_gap", 409, not_run, after_delay, exit_code::conflict},
    error_properties{unreachable, "unreachable", 503, not_run, after_delay, exit_code::unreachable},
    error_properties{settings_invalid, "settings_invalid", 500, not_run, never, exit_code::settings_invalid},
    error_properties{usage, "usage", 400, not_run, never, exit_code::usage},
    error_properties{internal, "internal", 500, may_have_run, query_outcome, exit_code::internal},
};
// clang-format on

constexpr bool in_enum_order()
{
    for (std::size_t index = 0; index < answers.size(); ++index)
    {
        if (static_cast<std::size_t>(answers[index].kind_) != index)
        {
            return false;
        }
    }
    return answers.size() == static_cast<std::size_t>(internal) + 1;
}

static_assert(in_enum_order(), "error_properties_of indexes the table by kind");

} // namespace

const error_properties& error_properties_of(error_kind kind)
{
    return answers.at(static_cast<std::size_t>(kind));
}

std::optional<error_kind> find_error_kind(std::string_view name)
{
    const auto found =
        std::ranges::find(answers, name, &error_properties::name_);
    if (found == answers.end())
    {
        return std::nullopt;
    }
    return found->kind_;
}

std::span<const error_properties> error_table()
{
    return answers;
}

} // namespace hemlockshelf
