#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

#include "hemlockshelf/routing/upstream_load_table.hpp"
#include "test/routing/members.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots_per_upstream = 20;
constexpr std::chrono::milliseconds service_time{50};
constexpr std::chrono::milliseconds window{500};

/// Entries and upstreams of two failure domains, driven by an event loop.
/// Upstreams refuse calls beyond their slots.
class spill_simulation
{
public:
    explicit spill_simulation(std::size_t entries_per_domain)
    {
        member_table::entry_list list;
        for (const auto* domain : {"a", "b"})
        {
            for (int number = 0; number < 4; ++number)
            {
                list.push_back(make_member(
                    domain + std::to_string(number), domain, "r",
                    slots_per_upstream));
            }
            for (std::size_t entry = 0; entry < entries_per_domain; ++entry)
            {
                tables_[*domain].push_back(
                    std::make_unique<upstream_load_table>(
                        routing_settings{},
                        entry_location{
                            failure_domain_id{domain}, region_id{"r"}},
                        random_));
            }
        }
        members_ = std::make_shared<member_table::entry_list>(std::move(list));
    }

    /// Returns, for each window, the share of domain a's calls that went to
    /// domain b. `rates` are calls per second of all entries of a domain.
    std::vector<double>
    run(std::chrono::seconds length, const std::map<char, double>& rates)
    {
        const auto end = now_ + length;
        for (const auto& [domain, rate] : rates)
        {
            plan_arrival(domain, rate, end);
        }
        std::vector<double> shares;
        for (auto next = now_ + window; next <= end; next += window)
        {
            calls_ = 0;
            spilled_ = 0;
            run_until(next);
            shares.push_back(double(spilled_) / double(calls_));
        }
        return shares;
    }

private:
    struct event
    {
        steady_time at_;
        std::function<void()> run_;

        bool operator<(const event& other) const
        {
            return at_ > other.at_;
        }
    };

    void run_until(steady_time end)
    {
        while (!events_.empty() && events_.top().at_ <= end)
        {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.run_();
        }
        now_ = end;
    }

    void plan_arrival(char domain, double rate, steady_time end)
    {
        const std::chrono::duration<double> gap{
            std::exponential_distribution<>(rate)(random_)};
        const auto at =
            now_ + std::chrono::duration_cast<steady_time::duration>(gap);
        if (at < end)
        {
            events_.push(
                {at, [=, this]
                 {
                     arrive(domain);
                     plan_arrival(domain, rate, end);
                 }});
        }
    }

    void arrive(char domain)
    {
        auto& tables = tables_[domain];
        auto& table = *tables[random_() % tables.size()];
        const auto choice = table.choose(service_, members_, {}, now_, random_);
        const auto vm = choice.member_->vm_;
        if (domain == 'a')
        {
            ++calls_;
            spilled_ += choice.tier_ == locality_tier::own_region ? 1 : 0;
        }
        auto& running = running_[vm];
        if (running >= slots_per_upstream)
        {
            table.finish(service_, vm, {call_outcome::refused, 0}, now_);
            return;
        }
        ++running;
        events_.push(
            {now_ + service_time, [this, &table, vm]
             {
                 const auto left = --running_[vm];
                 table.finish(
                     service_, vm,
                     {call_outcome::success, slots_per_upstream - left}, now_);
             }});
    }

    const service_key service_{client_account_id{"x"}, service_name{"s"}};
    random_source random_{20261204};
    steady_time now_{1000s};
    member_list members_;
    std::map<char, std::vector<std::unique_ptr<upstream_load_table>>> tables_;
    std::map<vm_id, std::uint32_t> running_;
    std::priority_queue<event> events_;
    std::size_t calls_ = 0;
    std::size_t spilled_ = 0;
};

double mean_of(const std::vector<double>& values, std::size_t from)
{
    const auto begin = values.begin() + static_cast<std::ptrdiff_t>(from);
    return std::accumulate(begin, values.end(), 0.0) /
           static_cast<double>(values.end() - begin);
}

double swing_of(const std::vector<double>& values, std::size_t from)
{
    const auto begin = values.begin() + static_cast<std::ptrdiff_t>(from);
    const auto [low, high] = std::minmax_element(begin, values.end());
    return *high - *low;
}

// Each domain can run 1600 calls per second. From the sixth second on, a
// quarter to two fifths of domain a's calls must go to domain b to fit, and
// the share must stay within 0.12, which sampling noise alone reaches a half
// of.
void check_load_step(std::size_t entries_per_domain)
{
    constexpr std::size_t settled = 12;
    spill_simulation simulation(entries_per_domain);
    const auto light = simulation.run(5s, {{'a', 800}, {'b', 400}});
    cr_assert_lt(mean_of(light, 0), 0.01, "calls spill at half load");
    const auto heavy = simulation.run(20s, {{'a', 2200}, {'b', 400}});
    cr_assert_gt(mean_of(heavy, settled), 0.25);
    cr_assert_lt(mean_of(heavy, settled), 0.40);
    cr_assert_lt(
        swing_of(heavy, settled), 0.12, "share swings by %f",
        swing_of(heavy, settled));
    const auto light_again = simulation.run(10s, {{'a', 800}, {'b', 400}});
    cr_assert_lt(mean_of(light_again, settled), 0.02, "calls stay spilled");
}

} // namespace

// Guards against nodes that all move to the next tier on one signal and back
// again on its answer.
Test(spill, few_busy_entries_settle_after_a_load_step)
{
    check_load_step(6);
}

// Guards against entries that see each upstream's load too seldom to judge it
// and then keep to the full tier or swing.
Test(spill, many_quiet_entries_settle_after_a_load_step)
{
    check_load_step(300);
}
