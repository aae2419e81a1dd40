#include "hemlockshelf/retry/retry_budget_table.hpp"

namespace hemlockshelf {

retry_budget_table::retry_budget_table(const retry_settings& settings)
    : settings_(settings)
{}

void retry_budget_table::earn(const service_key& service, steady_time now)
{
    budgets_.with_shard(
        service,
        [&](auto& budgets)
        {
            earn_retry(budgets[service], settings_, now);
        });
}

retry_decision retry_budget_table::decide(
    const service_key& service,
    const failed_attempt& attempt,
    steady_time now,
    random_source& random)
{
    return budgets_.with_shard(
        service,
        [&](auto& budgets)
        {
            return decide_retry(
                attempt, budgets[service], settings_, now, random);
        });
}

} // namespace hemlockshelf
