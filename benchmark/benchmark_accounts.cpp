// Micro-benchmark of the authentication of a request.

#include <cstddef>
#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "hemlockshelf/accounts/authentication.hpp"
#include "hemlockshelf/accounts/key_hash.hpp"

using namespace hemlockshelf;

namespace {

std::string api_key(std::size_t account)
{
    return "key-of-account-" + std::to_string(account);
}

std::shared_ptr<const account_index> make_index(std::size_t count)
{
    config_tables tables;
    for (std::size_t account = 0; account < count; ++account)
    {
        account_row row;
        row.key_hashes_.insert(sha256_hex(api_key(account)));
        const row_key key{"mesh/account-" + std::to_string(account)};
        apply_change(tables, {table_id::accounts, key, row});
    }
    return *account_index::build(tables);
}

void authenticate(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto index = make_index(count);
    const client_account_id owner{"mesh"};
    const auto authorization = "Bearer " + api_key(count / 2);
    for (auto step : state)
    {
        benchmark::DoNotOptimize(authenticate_caller(
            {*index, owner, true}, {1, authorization}, false));
    }
}
BENCHMARK(authenticate)->Arg(72)->Arg(10'000);

} // namespace
