#include "hemlockshelf/gate/idempotency_records.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

using verdict = idempotency_status;

gate_settings small_settings()
{
    gate_settings settings;
    settings.idempotency_limit_ = 8;
    settings.idempotency_age_ = 60s;
    return settings;
}

} // namespace

// Guards against a key that runs twice within the records' age and against
// records beyond their bound, in any sequence of operations.
Test(idempotency_records, run_each_key_once)
{
    cr_assert(rc::check(
        []
        {
            const auto settings = small_settings();
            idempotency_records records(settings);
            steady_time now{1000s};
            std::map<idempotency_id, steady_time> run_until;
            const int steps = *rc::gen::inRange(0, 200);
            for (int step = 0; step < steps; ++step)
            {
                now += *rc::gen::inRange(0, 10) * 1s;
                const client_account_id account{
                    *rc::gen::element<std::string>("a", "b")};
                const auto id = make_idempotency_id(
                    account, std::to_string(*rc::gen::inRange(0, 12)));
                if (records.begin(account, id, now) == verdict::run)
                {
                    RC_ASSERT(run_until[id] <= now);
                    if (*rc::gen::inRange(0, 4) == 0)
                    {
                        records.abandon(id);
                        continue;
                    }
                    records.finish(id, now);
                    run_until[id] = now + settings.idempotency_age_;
                }
                RC_ASSERT(records.size() <= settings.idempotency_limit_);
            }
        }));
}

// Guards against a refused request whose key can never be used again.
Test(idempotency_records, free_an_abandoned_key)
{
    idempotency_records records(small_settings());
    const client_account_id account{"a"};
    const auto id = make_idempotency_id(account, "key");
    const steady_time now{1000s};
    cr_assert(records.begin(account, id, now) == verdict::run);
    cr_assert(records.begin(account, id, now) == verdict::running);
    records.abandon(id);
    cr_assert(records.begin(account, id, now) == verdict::run);
    records.finish(id, now);
    records.abandon(id);
    cr_assert(records.begin(account, id, now) == verdict::finished);
}

// Guards against an account whose keys leave no room for another's, and
// against one account's key that blocks another's.
Test(idempotency_records, keep_accounts_apart)
{
    idempotency_records records(small_settings());
    const client_account_id one{"a"};
    const client_account_id other{"b"};
    const steady_time now{1000s};
    for (int key = 0; key < 20; ++key)
    {
        records.begin(one, make_idempotency_id(one, std::to_string(key)), now);
    }
    cr_assert_eq(records.size(), 4);
    const auto id = make_idempotency_id(other, "0");
    cr_assert(records.begin(other, id, now) == verdict::run);
}
