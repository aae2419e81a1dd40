#ifndef HEMLOCKSHELF_CORE_ERROR_TABLE_HPP
#define HEMLOCKSHELF_CORE_ERROR_TABLE_HPP

#include <optional>
#include <span>
#include <string_view>

#include "hemlockshelf/core/error_kind.hpp"

namespace hemlockshelf {

/// Whether the request that met the error can have run.
enum class execution
{
    not_run,
    may_have_run,
};

/// What a caller should do after an error.
enum class retry_advice
{
    never,
    after_delay,
    query_outcome,
};

/// Exit codes of the command line.
enum class exit_code : int
{
    ok = 0,
    internal = 1,
    usage = 2,
    refused = 3,
    conflict = 4,
    outcome_unknown = 5,
    unreachable = 6,
    settings_invalid = 7,
};

/// The answer that belongs to an error kind.
struct error_properties
{
    error_kind kind_;
    std::string_view name_;
    int http_status_;
    execution execution_;
    retry_advice retry_;
    exit_code exit_code_;
};

/// Returns the answer for `kind`.
const error_properties& error_properties_of(error_kind kind);

/// Returns the kind called `name`, or nothing if there is none.
std::optional<error_kind> find_error_kind(std::string_view name);

/// Returns the whole table, in the order of `error_kind`.
std::span<const error_properties> error_table();

} // namespace hemlockshelf

#endif
