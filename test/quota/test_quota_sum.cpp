// The requests that a whole deployment admits, without a network: the answers
// of grantors arrive at once.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <random>
#include <vector>

#include "hemlockshelf/quota/token_grantor.hpp"
#include "hemlockshelf/quota/token_holder.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr boot_time start{1000s};
constexpr std::chrono::milliseconds step{2};
constexpr std::chrono::seconds surge_begins{10};
constexpr std::size_t domains = 4;
constexpr std::size_t nodes_per_domain = 15;
const client_account_id account{"mesh/observatory"};

quota_settings settings_of_four_domains()
{
    return {.window_ = 5s, .overage_ = 0.1, .failure_domains_ = domains};
}

/// Load of one account.
struct account_load
{
    account_quota quota_;
    /// Requests per second in each failure domain.
    std::vector<double> demand_;
    /// Factor of the demand from the tenth second on.
    double surge_ = 1;
    /// Interval at which the grantor of the first failure domain is replaced;
    /// 0 if never.
    std::chrono::milliseconds replace_grantor_{0};
};

struct admitted_requests
{
    std::size_t sent_ = 0;
    std::size_t sent_before_surge_ = 0;
    std::size_t admitted_ = 0;
    /// Largest number that was admitted in any 5 s.
    std::size_t in_window_ = 0;
};

class deployment
{
public:
    explicit deployment(account_load load)
        : load_(std::move(load)), holders_(domains * nodes_per_domain)
    {
        for (std::size_t domain = 0; domain < domains; ++domain)
        {
            grantors_.push_back(make_grantor(start));
        }
    }

    admitted_requests run(std::chrono::milliseconds length)
    {
        for (auto now = start; now < start + length; now += step)
        {
            replace_grantor_if_due(now);
            for (std::size_t domain = 0; domain < domains; ++domain)
            {
                send_requests(domain, now);
            }
        }
        return total_;
    }

private:
    /// Returns a grantor that has borrowed all shares of its failure domain.
    static token_grantor make_grantor(boot_time now)
    {
        const vm_id lender{"vm-1"};
        token_grantor grantor(settings_of_four_domains());
        grantor.set_members({lender}, now);
        grantor.record_loan(lender, now + 1h, now);
        return grantor;
    }

    void replace_grantor_if_due(boot_time now)
    {
        if (load_.replace_grantor_.count() > 0 &&
            (now - start) % load_.replace_grantor_ == 0ms)
        {
            grantors_.front() = make_grantor(now);
        }
    }

    void send_requests(std::size_t domain, boot_time now)
    {
        const double surge = now >= start + surge_begins ? load_.surge_ : 1;
        const double mean = surge * load_.demand_.at(domain) *
                            std::chrono::duration<double>(step).count();
        const int count = std::poisson_distribution<int>(mean)(random_);
        for (int request = 0; request < count; ++request)
        {
            ++total_.sent_;
            total_.sent_before_surge_ += now < start + surge_begins ? 1 : 0;
            const auto node =
                domain * nodes_per_domain + random_() % nodes_per_domain;
            if (admit(holders_.at(node), domain, now))
            {
                record_admitted(now);
            }
        }
    }

    bool admit(token_holder& holder, std::size_t domain, boot_time now)
    {
        if (holder.take(now))
        {
            return true;
        }
        return !holder.exhausted_for(now) && ask(holder, domain, now);
    }

    /// Asks the grantors in turn until one grants a token.
    bool ask(token_holder& holder, std::size_t domain, boot_time now)
    {
        holder.begin_round(domains, now);
        bool taken = false;
        while (const auto position = holder.next_grantor())
        {
            auto& grantor = grantors_.at((domain + *position) % domains);
            holder.record_answer(
                grantor.grant(
                    account, load_.quota_, holder.missing(1, now), now),
                now);
            taken = holder.take_for_waiting(now);
            if (taken)
            {
                break;
            }
        }
        holder.end_round(now);
        return taken;
    }

    void record_admitted(boot_time now)
    {
        ++total_.admitted_;
        recent_.push_back(now);
        while (recent_.front() <= now - 5s)
        {
            recent_.pop_front();
        }
        total_.in_window_ = std::max(total_.in_window_, recent_.size());
    }

    account_load load_;
    std::vector<token_holder> holders_;
    std::vector<token_grantor> grantors_;
    std::deque<boot_time> recent_;
    std::mt19937 random_{20261207};
    admitted_requests total_;
};

double limit_of(const account_quota& quota)
{
    return (quota.rate_ * 5 + quota.burst_) * 1.1 + 20;
}

} // namespace

// Load: one account begins to send nine times its usual requests from every
// node.
// Guards against a sum over all nodes that exceeds the quota.
Test(quota_sum, a_hot_account_stays_within_its_quota)
{
    for (const double rate : {5.0, 50.0, 570.0})
    {
        const account_quota quota{rate, rate};
        const double demand = rate / 1.6 / domains;
        const auto total =
            deployment({quota, std::vector<double>(domains, demand), 9})
                .run(20s);
        cr_assert(
            static_cast<double>(total.in_window_) <= limit_of(quota),
            "rate %f: %zu in a window", rate, total.in_window_);
        cr_assert(
            static_cast<double>(total.admitted_) >=
                (static_cast<double>(total.sent_before_surge_) + rate * 10) *
                    0.9,
            "rate %f: %zu admitted", rate, total.admitted_);
    }
}

// Load: an account within its quota whose callers are all in one failure
// domain. Guards against refusals for want of a part while the parts of other
// failure domains are unused.
Test(quota_sum, unused_parts_serve_other_failure_domains)
{
    for (const double rate : {20.0, 200.0})
    {
        const account_quota quota{rate, rate};
        const auto total = deployment({quota, {rate * 0.8, 0, 0, 0}}).run(20s);
        cr_assert(
            static_cast<double>(total.admitted_) >=
                static_cast<double>(total.sent_) * 0.97,
            "rate %f: %zu of %zu", rate, total.admitted_, total.sent_);
    }
}

// Load: accounts at their usual rate on all nodes, 1 / 1.6 of the quota.
// Guards against refusals of callers within their quota.
Test(quota_sum, usual_demand_is_not_refused)
{
    for (const double rate : {8.0, 80.0, 570.0})
    {
        const account_quota quota{rate, rate};
        const double demand = rate / 1.6 / domains;
        const auto total =
            deployment({quota, std::vector<double>(domains, demand)}).run(20s);
        cr_assert(
            static_cast<double>(total.admitted_) >=
                static_cast<double>(total.sent_) * 0.97,
            "rate %f: %zu of %zu", rate, total.admitted_, total.sent_);
    }
}

// Failure: the grantor of a failure domain is replaced every second, while an
// account is hot. Guards against a grantor that repeats what its predecessor
// has granted.
Test(quota_sum, replaced_grantors_do_not_exceed_the_quota)
{
    const account_quota quota{200, 200};
    const auto total =
        deployment({quota, std::vector<double>(domains, 300), 1, 1000ms})
            .run(20s);
    cr_assert(
        static_cast<double>(total.in_window_) <= limit_of(quota), "%zu",
        total.in_window_);
}
