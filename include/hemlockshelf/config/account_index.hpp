#ifndef HEMLOCKSHELF_CONFIG_ACCOUNT_INDEX_HPP
#define HEMLOCKSHELF_CONFIG_ACCOUNT_INDEX_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hemlockshelf/config/config_tables.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A client account of the accounts table.
struct known_account
{
    /// Name of the account, without the owner.
    client_account_id name_;
    /// Key of its row, which is unique over all owners.
    row_key key_;
    std::shared_ptr<const account_row> row_;
};

/// Looks up the client account that holds an API key. Immutable.
class account_index
{
public:
    /// The error is `invalid_row` if two accounts of one owner hold the same
    /// key; its message names both accounts.
    static result<std::shared_ptr<const account_index>>
    build(const config_tables& tables);

    /// Returns the account of `owner` that holds the key with this SHA-256, or
    /// null.
    [[nodiscard]] const known_account*
    find(const client_account_id& owner, std::string_view key_hash) const;

    /// Returns whether the owner has any accounts, so that its callers have to
    /// authenticate.
    [[nodiscard]] bool has_accounts(const client_account_id& owner) const;

    /// Returns whether there are no accounts at all.
    [[nodiscard]] bool empty() const noexcept
    {
        return owners_.empty();
    }

private:
    struct text_hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    using holders = std::
        unordered_map<std::string, known_account, text_hash, std::equal_to<>>;

    std::map<client_account_id, holders> owners_;
};

} // namespace hemlockshelf

#endif
