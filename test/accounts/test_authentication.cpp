#include "hemlockshelf/accounts/authentication.hpp"

#include <memory>
#include <string>

#include "hemlockshelf/accounts/key_hash.hpp"
#include "hemlockshelf/core/error_table.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const client_account_id owner{"mesh"};

std::shared_ptr<const account_index> index_of(const config_tables& tables)
{
    return *account_index::build(tables);
}

config_tables tables_with(const std::string& account, const std::string& key)
{
    account_row row;
    row.key_hashes_.insert(sha256_hex(key));
    config_tables tables;
    apply_change(tables, {table_id::accounts, row_key{"mesh/" + account}, row});
    return tables;
}

result<const known_account*> authenticate_with(
    const account_index& accounts,
    const std::string& authorization,
    bool route_is_public = false,
    bool confirmed = true)
{
    return authenticate_caller(
        {accounts, owner, confirmed},
        {authorization.empty() ? std::size_t{0} : std::size_t{1},
         authorization},
        route_is_public);
}

error_kind
kind_with(const account_index& accounts, const std::string& authorization)
{
    const auto account = authenticate_with(accounts, authorization);
    return account ? error_kind::internal : account.error().kind_;
}

} // namespace

// Guards against a change of the stored form of keys.
Test(authentication, hashes_with_sha256)
{
    cr_assert(
        sha256_hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against callers that are taken for another account or for none.
Test(authentication, finds_the_account_of_a_key)
{
    const auto accounts = index_of(tables_with("observatory", "key-1"));
    const auto account = authenticate_with(*accounts, "Bearer key-1");
    cr_assert(account && *account != nullptr);
    cr_assert((*account)->name_.value() == "observatory");
    cr_assert(authenticate_with(*accounts, "bearer   key-1").has_value());
}

// Guards against requests that run although their key is missing, unknown, of
// another scheme or malformed.
Test(authentication, refuses_what_names_no_account)
{
    const auto accounts = index_of(tables_with("observatory", "key-1"));
    const std::string long_key(max_api_key_bytes + 1, 'k');
    for (const auto& value :
         {std::string{}, std::string{"Bearer key-2"}, std::string{"Bearer"},
          std::string{"Bearer "}, std::string{"Basic key-1"},
          std::string{"key-1"}, "Bearer " + long_key,
          std::string{"Bearer key-1 "}})
    {
        cr_assert(
            kind_with(*accounts, value) == error_kind::unauthorized, "%s",
            value.c_str());
    }
    const auto several = authenticate_caller(
        {*accounts, owner, true}, {2, "Bearer key-1"}, false);
    cr_assert(several.error().kind_ == error_kind::bad_request);
}

// Guards against keys in logs: the message of the error is logged.
Test(authentication, errors_do_not_show_the_key)
{
    const auto accounts = index_of(tables_with("observatory", "key-1"));
    const auto account = authenticate_with(*accounts, "Bearer secret-key");
    cr_assert(account.error().message_.find("secret-key") == std::string::npos);
}

// Guards against a 401 for a key that may be valid, and against a withdrawn key
// that is still accepted, while the node cannot confirm its accounts.
Test(authentication, refuses_as_not_run_while_unconfirmed)
{
    const auto accounts = index_of(tables_with("observatory", "key-1"));
    for (const std::string value : {"Bearer key-1", "Bearer key-2", ""})
    {
        const auto account = authenticate_with(*accounts, value, false, false);
        cr_assert(account.error().kind_ == error_kind::credentials_unconfirmed);
        cr_assert(
            error_properties_of(account.error().kind_).http_status_ == 503);
    }
}

// Guards against public routes that depend on keys.
Test(authentication, public_routes_need_no_key)
{
    const auto accounts = index_of(tables_with("observatory", "key-1"));
    cr_assert(*authenticate_with(*accounts, "", true) == nullptr);
    cr_assert(*authenticate_with(*accounts, "Bearer key-2", true) == nullptr);
    cr_assert(*authenticate_with(*accounts, "Bearer key-1", true) != nullptr);
    cr_assert(
        *authenticate_with(*accounts, "Bearer key-1", true, false) == nullptr);
}

// Guards against a deployment without accounts that begins to refuse callers.
Test(authentication, is_off_without_accounts)
{
    const auto accounts = index_of({});
    cr_assert(*authenticate_with(*accounts, "Bearer key-1") == nullptr);
    cr_assert(*authenticate_with(*accounts, "") == nullptr);
}

// Guards against a key that identifies either of two accounts.
Test(authentication, refuses_a_key_of_two_accounts)
{
    auto tables = tables_with("observatory", "key-1");
    account_row other;
    other.key_hashes_.insert(sha256_hex("key-1"));
    apply_change(tables, {table_id::accounts, row_key{"mesh/insurer"}, other});
    const auto index = account_index::build(tables);
    cr_assert(!index);
    cr_assert(index.error().kind_ == error_kind::invalid_row);
}
