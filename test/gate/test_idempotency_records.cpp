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

using status = idempotency_status;

gate_settings small_settings()
{
    gate_settings settings;
    settings.idempotency_limit_ = 8;
    settings.idempotency_age_ = 60s;
    return settings;
}

} // namespace

// Guards, in any sequence of operations, against a key that runs twice within
// the maximum age of records and against more records than the limit.
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
                if (records.begin(account, id, now) == status::run)
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

// Guards against a refused request whose key stays reserved.
Test(idempotency_records, free_an_abandoned_key)
{
    idempotency_records records(small_settings());
    const client_account_id account{"a"};
    const auto id = make_idempotency_id(account, "key");
    const steady_time now{1000s};
    cr_assert(records.begin(account, id, now) == status::run);
    cr_assert(records.begin(account, id, now) == status::running);
    records.abandon(id);
    cr_assert(records.begin(account, id, now) == status::run);
    records.finish(id, now);
    records.abandon(id);
    cr_assert(records.begin(account, id, now) == status::finished);
}

// Guards against an account that uses up all records, and against a key of one
// account that blocks the same key of another.
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
    cr_assert(records.begin(other, id, now) == status::run);
}
