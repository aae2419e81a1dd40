#include "hemlockshelf/config/account_index.hpp"

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace {

client_account_id name_of(const row_key& key)
{
    const auto& text = key.value();
    return client_account_id{text.substr(text.find('/') + 1)};
}

} // namespace

result<std::shared_ptr<const account_index>>
account_index::build(const config_tables& tables)
{
    auto index = std::make_shared<account_index>();
    for (const auto& [key, row] : tables.accounts_)
    {
        auto& keys = index->owners_[account_of(key)];
        const known_account account{name_of(key), key, row};
        for (const auto& hash : row->key_hashes_)
        {
            const auto [holder, added] = keys.emplace(hash, account);
            if (!added)
            {
                return make_error(
                    error_kind::invalid_row,
                    fmt::format(
                        "accounts \"{}\" and \"{}\" hold the same API key",
                        holder->second.name_.value(), account.name_.value()));
            }
        }
    }
    return index;
}

const known_account* account_index::find(
    const client_account_id& owner, std::string_view key_hash) const
{
    const auto accounts = owners_.find(owner);
    if (accounts == owners_.end())
    {
        return nullptr;
    }
    const auto found = accounts->second.find(key_hash);
    return found == accounts->second.end() ? nullptr : &found->second;
}

bool account_index::has_accounts(const client_account_id& owner) const
{
    return owners_.contains(owner);
}

} // namespace hemlockshelf
