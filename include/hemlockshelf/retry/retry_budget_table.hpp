#ifndef HEMLOCKSHELF_RETRY_RETRY_BUDGET_TABLE_HPP
#define HEMLOCKSHELF_RETRY_RETRY_BUDGET_TABLE_HPP

#include "hemlockshelf/core/sharded_map.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "hemlockshelf/retry/retry_budget.hpp"
#include "hemlockshelf/retry/retry_decision.hpp"

namespace hemlockshelf {

/// The retry budgets of an entry, one per service. Thread-safe. A budget
/// stays after its service has gone; services are few (2,500 at target size).
class retry_budget_table
{
public:
    explicit retry_budget_table(const retry_settings& settings);

    /// Counts the first attempt of a request.
    void earn(const service_key& service, steady_time now);

    /// Decides on a retry and takes it out of the service's budget.
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
