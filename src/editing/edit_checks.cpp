#include "hemlockshelf/editing/edit_checks.hpp"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace {

template <class Rows>
std::size_t count_rows_of(const Rows& rows, const client_account_id& account)
{
    std::size_t count = 0;
    for (auto row = rows.lower_bound(row_key{account.value() + "/"});
         row != rows.end() && account_of(row->first) == account; ++row)
    {
        ++count;
    }
    return count;
}

std::size_t count_rows_of_all_tables(
    const config_tables& tables, const client_account_id& account)
{
    return count_rows_of(tables.routes_, account) +
           count_rows_of(tables.pools_, account);
}

bool has_row(const config_tables& tables, const row_change& change)
{
    switch (change.table_)
    {
    case table_id::routes:
        return tables.routes_.contains(change.key_);
    case table_id::pools:
        return tables.pools_.contains(change.key_);
    case table_id::accounts:
        return tables.accounts_.contains(change.key_);
    }
    return false;
}

} // namespace

result<void> check_request(const edit_request& request)
{
    std::set<std::pair<table_id, row_key>> seen;
    for (const auto& edit : request.edits_)
    {
        const auto& key = edit.change_.key_;
        if (edit.change_.table_ == table_id::accounts)
        {
            return make_error(
                error_kind::forbidden,
                fmt::format(
                    "row \"{}\" of \"accounts\": not edited through nodes",
                    key.value()));
        }
        if (account_of(key) != request.account_)
        {
            return make_error(
                error_kind::forbidden,
                fmt::format(
                    "row \"{}\": the account \"{}\" may only edit its own rows",
                    key.value(), request.account_.value()));
        }
        if (!seen.emplace(edit.change_.table_, key).second)
        {
            return make_error(
                error_kind::bad_request,
                fmt::format(
                    "row \"{}\" of \"{}\": listed more than once in the edit",
                    key.value(), to_string(edit.change_.table_)));
        }
    }
    return {};
}

result<void>
check_deletions(const edit_request& request, const config_tables& before)
{
    for (const auto& edit : request.edits_)
    {
        const auto& change = edit.change_;
        if (std::holds_alternative<row_deletion>(change.row_) &&
            !has_row(before, change))
        {
            return make_error(
                error_kind::not_found,
                fmt::format(
                    "row \"{}\" of \"{}\": cannot delete, does not exist",
                    change.key_.value(), to_string(change.table_)));
        }
    }
    return {};
}

result<void> check_row_quota(
    const client_account_id& account,
    const config_tables& before,
    const config_tables& after,
    const edit_quotas& quotas)
{
    const auto rows = count_rows_of_all_tables(after, account);
    if (rows <= quotas.max_rows_ ||
        rows <= count_rows_of_all_tables(before, account))
    {
        return {};
    }
    return make_error(
        error_kind::quota_exceeded,
        fmt::format(
            "account \"{}\": expected at most {} rows, the edit results in {}",
            account.value(), quotas.max_rows_, rows));
}

result<void> check_accepted_quota(
    const client_account_id& account,
    const std::vector<recent_change>& recent,
    wall_time now,
    const edit_quotas& quotas)
{
    const auto counts = [&](const recent_change& change)
    {
        return change.account_ == account &&
               change.at_ > now - quotas.accepted_window_;
    };
    const auto accepted =
        static_cast<std::size_t>(std::ranges::count_if(recent, counts));
    if (accepted < quotas.max_accepted_)
    {
        return {};
    }
    return make_error(
        error_kind::quota_exceeded,
        fmt::format(
            "account \"{}\": expected at most {} accepted edits in {} ms, "
            "found {}",
            account.value(), quotas.max_accepted_,
            quotas.accepted_window_.count(), accepted));
}

} // namespace hemlockshelf
