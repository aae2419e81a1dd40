#include "hemlockshelf/config/row_limits.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

using namespace std::chrono_literals;

bool is_name_character(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') ||
                        (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' ||
           character == '.';
}

bool is_control_character(char character)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char deletion = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < first_printable || code == deletion;
}

bool can_be_header_value(std::string_view text)
{
    return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
           std::ranges::none_of(text, is_control_character);
}

result<void>
check_text(const char* field, std::string_view text, std::size_t limit)
{
    if (text.empty() || text.size() > limit)
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected 1 to {} characters, given {}", field,
                limit, text.size()));
    }
    return {};
}

struct number_range
{
    std::int64_t low_;
    std::int64_t high_;
};

result<void>
check_number(const char* field, std::int64_t value, number_range range)
{
    if (value < range.low_ || value > range.high_)
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"{}\": expected a whole number from {} to {}, given {}",
                field, range.low_, range.high_, value));
    }
    return {};
}

result<void> check_split(const route_row& row, const row_limits& limits)
{
    if (row.split_.empty())
    {
        return {};
    }
    bool has_weight = false;
    for (const auto& share : row.split_)
    {
        auto checked = check_key(share.pool_, limits);
        if (checked)
        {
            checked =
                check_number("weight", share.weight_, {0, limits.weight_});
        }
        if (!checked)
        {
            return checked;
        }
        has_weight = has_weight || share.weight_ > 0;
    }
    if (!has_weight)
    {
        return make_error(
            error_kind::invalid_row,
            "field \"split\": expected a list of pools with a weight above 0");
    }
    return {};
}

result<void> check_path_prefix(const route_row& row, const row_limits& limits)
{
    auto checked =
        check_text("path_prefix", row.path_prefix_, limits.text_length_);
    if (checked && row.path_prefix_.front() != '/')
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"path_prefix\": expected a path that starts with /, "
                "given \"{}\"",
                row.path_prefix_));
    }
    return checked;
}

bool is_key_hash(std::string_view text)
{
    constexpr std::size_t sha256_digits = 64;
    return text.size() == sha256_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

result<void> check_quantity(const char* field, double value, double limit)
{
    // Written so that NaN fails.
    if (value >= 0 && value <= limit)
    {
        return {};
    }
    return make_error(
        error_kind::invalid_row,
        fmt::format(
            "field \"{}\": expected a number from 0 to {}, given {}", field,
            limit, value));
}

std::string_view table_of(const row_change& change)
{
    switch (change.table_)
    {
    case table_id::routes:
        return "route";
    case table_id::pools:
        return "pool";
    case table_id::accounts:
        return "account";
    }
    return "";
}

} // namespace

row_limits held_row_limits()
{
    // A call carries its deadline and its priority to the gate in at most nine
    // digits, and the name of its service twice in a header of 16 KiB.
    return {
        .key_length_ = 1024,
        .text_length_ = std::size_t{16} << 10U,
        .timeout_ = 24h * 11,
        .priority_ = 1'000'000,
        .max_attempts_ = 1'000'000,
        .weight_ = 1'000'000,
        .max_concurrent_calls_ = 1'000'000,
        .api_keys_ = 10'000,
        .requests_per_second_ = 1e9,
        .plain_names_ = false};
}

row_limits edited_row_limits()
{
    return {
        .key_length_ = 128,
        .text_length_ = 512,
        .timeout_ = 10min,
        .priority_ = 100,
        .max_attempts_ = 10,
        .weight_ = 1'000'000,
        .max_concurrent_calls_ = 1'000'000,
        .api_keys_ = 10'000,
        .requests_per_second_ = 1e9,
        .plain_names_ = true};
}

bool is_account_name(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_name_character);
}

result<void> check_key(const row_key& key, const row_limits& limits)
{
    const std::string_view text = key.value();
    const auto slash = text.find('/');
    const auto is_allowed =
        limits.plain_names_ ? is_account_name : can_be_header_value;
    const bool well_formed = slash != std::string_view::npos &&
                             text.size() <= limits.key_length_ &&
                             is_account_name(text.substr(0, slash)) &&
                             is_allowed(text.substr(slash + 1));
    if (!well_formed)
    {
        constexpr std::size_t max_shown = 128;
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "key: expected <client_account>/<name> of at most {} "
                "characters, given \"{}\"",
                limits.key_length_, text.substr(0, max_shown)));
    }
    return {};
}

result<void> check_row(const route_row& row, const row_limits& limits)
{
    auto checked = check_text("host", row.host_, limits.text_length_);
    if (checked)
    {
        checked = check_path_prefix(row, limits);
    }
    if (checked)
    {
        checked = check_key(row.pool_, limits);
    }
    if (checked)
    {
        checked = check_number(
            "timeout_ms", row.timeout_.count(), {1, limits.timeout_.count()});
    }
    if (checked)
    {
        checked = check_number(
            "target_latency_ms", row.target_latency_.count(),
            {0, limits.timeout_.count()});
    }
    if (checked)
    {
        checked =
            check_number("priority", row.priority_, {0, limits.priority_});
    }
    if (checked)
    {
        checked = check_number(
            "max_attempts", row.max_attempts_, {0, limits.max_attempts_});
    }
    return checked ? check_split(row, limits) : checked;
}

result<void> check_row(const pool_row& row, const row_limits& limits)
{
    auto checked =
        check_text("service", row.service_.value(), limits.text_length_);
    if (checked && !can_be_header_value(row.service_.value()))
    {
        return make_error(
            error_kind::invalid_row,
            "field \"service\": expected no control character and no blank at "
            "an end");
    }
    if (checked)
    {
        checked = check_number(
            "max_concurrent_calls", row.max_concurrent_calls_,
            {1, limits.max_concurrent_calls_});
    }
    return checked;
}

result<void> check_row(const account_row& row, const row_limits& limits)
{
    if (row.key_hashes_.size() > limits.api_keys_ ||
        !std::ranges::all_of(row.key_hashes_, is_key_hash))
    {
        return make_error(
            error_kind::invalid_row,
            fmt::format(
                "field \"key_hashes\": expected at most {} values of 64 "
                "hexadecimal digits",
                limits.api_keys_));
    }
    auto checked = check_number(
        "priority", row.priority_.value_or(0), {0, limits.priority_});
    if (checked)
    {
        checked = check_quantity(
            "requests_per_second", row.requests_per_second_,
            limits.requests_per_second_);
    }
    if (checked)
    {
        checked =
            check_quantity("burst", row.burst_, limits.requests_per_second_);
    }
    return checked;
}

error in_row(const row_change& change, error failure)
{
    failure.message_ = fmt::format(
        "{} \"{}\": {}", table_of(change), change.key_.value(),
        failure.message_);
    return failure;
}

result<void> check_change(const row_change& change, const row_limits& limits)
{
    auto checked = check_key(change.key_, limits);
    if (!checked)
    {
        return checked;
    }
    if (const auto* route = std::get_if<route_row>(&change.row_))
    {
        checked = check_row(*route, limits);
    }
    else if (const auto* pool = std::get_if<pool_row>(&change.row_))
    {
        checked = check_row(*pool, limits);
    }
    else if (const auto* account = std::get_if<account_row>(&change.row_))
    {
        checked = check_row(*account, limits);
    }
    return checked.map_error(
        [&change](const error& failure)
        {
            return in_row(change, failure);
        });
}

} // namespace hemlockshelf
