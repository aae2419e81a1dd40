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
constexpr auto ask_outcome = retry_advice::ask_outcome;
constexpr auto refused = exit_code::refused;

// clang-format off
constexpr std::array answers{
    error_answer{bad_request, "bad_request", 400, not_run, never, refused},
    error_answer{unauthorized, "unauthorized", 401, not_run, never, refused},
    error_answer{forbidden, "forbidden", 403, not_run, never, refused},
    error_answer{unknown_account, "unknown_account", 403, not_run, never, refused},
    error_answer{not_found, "not_found", 404, not_run, never, refused},
    error_answer{conflict, "conflict", 409, not_run, never, exit_code::conflict},
    error_answer{invalid_row, "invalid_row", 422, not_run, never, refused},
    error_answer{quota_exceeded, "quota_exceeded", 429, not_run, after_delay, refused},
    error_answer{rate_limited, "rate_limited", 429, not_run, after_delay, refused},
    error_answer{header_too_large, "header_too_large", 431, not_run, never, refused},
    error_answer{body_too_large, "body_too_large", 413, not_run, never, refused},
    error_answer{no_route, "no_route", 404, not_run, never, refused},
    error_answer{no_upstream, "no_upstream", 503, not_run, after_delay, refused},
    error_answer{overloaded, "overloaded", 503, not_run, after_delay, refused},
    error_answer{draining, "draining", 503, not_run, after_delay, refused},
    error_answer{not_ready, "not_ready", 503, not_run, after_delay, refused},
    error_answer{deadline_exceeded, "deadline_exceeded", 503, not_run, after_delay, refused},
    error_answer{gate_unreachable, "gate_unreachable", 503, not_run, after_delay, refused},
    error_answer{upstream_failed, "upstream_failed", 502, may_have_run, ask_outcome, exit_code::outcome_unknown},
    error_answer{outcome_unknown, "outcome_unknown", 504, may_have_run, ask_outcome, exit_code::outcome_unknown},
    error_answer{duplicate_request, "duplicate_request", 409, may_have_run, ask_outcome, exit_code::conflict},
    error_answer{platform_unavailable, "platform_unavailable", 503, not_run, after_delay, exit_code::unreachable},
    error_answer{busy, "busy", 503, not_run, after_delay, refused},
    error_answer{hash_mismatch, "hash_mismatch", 502, not_run, never, refused},
    error_answer{stale_revision, "stale_revision", 409, not_run, never, exit_code::conflict},
    error_answer{revision_gap, "revision_gap", 409, not_run, after_delay, exit_code::conflict},
    error_answer{unreachable, "unreachable", 503, not_run, after_delay, exit_code::unreachable},
    error_answer{settings_invalid, "settings_invalid", 500, not_run, never, exit_code::settings_invalid},
    error_answer{usage, "usage", 400, not_run, never, exit_code::usage},
    error_answer{internal, "internal", 500, may_have_run, ask_outcome, exit_code::internal},
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

static_assert(in_enum_order(), "answer_for indexes the table by kind");

} // namespace

const error_answer& answer_for(error_kind kind)
{
    return answers.at(static_cast<std::size_t>(kind));
}

std::optional<error_kind> find_error_kind(std::string_view name)
{
    const auto found = std::ranges::find(answers, name, &error_answer::name_);
    if (found == answers.end())
    {
        return std::nullopt;
    }
    return found->kind_;
}

std::span<const error_answer> error_table()
{
    return answers;
}

} // namespace hemlockshelf
