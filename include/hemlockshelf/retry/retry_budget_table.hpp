#ifndef HEMLOCKSHELF_RETRY_RETRY_BUDGET_TABLE_HPP
#define HEMLOCKSHELF_RETRY_RETRY_BUDGET_TABLE_HPP

#include "hemlockshelf/core/sharded_map.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "hemlockshelf/retry/retry_budget.hpp"
#include "hemlockshelf/retry/retry_decision.hpp"

namespace hemlockshelf {

/// The retry budgets of an entry, one per service. Thread-safe. The budget of a
/// removed service is kept, since services are few (2,500 at target size).
class retry_budget_table
{
public:
    explicit retry_budget_table(const retry_settings& settings);

    /// Credits the first attempt of a request to the service's budget.
    void earn(const service_key& service, steady_time now);

    /// Decides on a retry and charges it to the service's budget.
    retry_decision decide(
        const service_key& service,
        const failed_attempt& attempt,
        steady_time now,
        random_source& random);

private:
    retry_settings settings_;
    sharded_map<service_key, retry_budget> budgets_;
};

} // namespace hemlockshelf

#endif
