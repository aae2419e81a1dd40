#include "hemlockshelf/quota/token_holder.hpp"

#include <set>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

constexpr boot_time start{1000s};

/// Gives a holder tokens in a round with one grantor.
void give(token_holder& holder, std::uint32_t count, boot_time now)
{
    holder.begin_round(1, now);
    holder.record_answer(token_grant{count, {}}, now);
    holder.end_round(now);
}

} // namespace

// Guards against tokens that are used long after they were granted, in a window
// that has its own tokens. This happens to a process that was paused.
Test(token_holder, tokens_expire)
{
    token_holder holder;
    give(holder, 2, start);
    cr_assert(holder.take(start + 499ms));
    cr_assert(!holder.take(start + 500ms));
}

// Guards against a question to a grantor for each request of an account with
// many of them.
Test(token_holder, requests_tokens_ahead_of_the_demand)
{
    token_holder holder;
    auto now = start;
    for (int request = 0; request < 1000; ++request)
    {
        holder.take(now);
        now += 5ms;
    }
    // 200 requests a second for a quarter of a second.
    const auto wanted = holder.wanted(1, now);
    cr_assert(wanted >= 45 && wanted <= 56, "%u", wanted);
    give(holder, wanted, now);
    cr_assert(holder.wanted(0, now) == 0);
}

// Guards against an idle account for which the node keeps asking.
Test(token_holder, requests_nothing_without_demand)
{
    token_holder holder;
    holder.take(start);
    cr_assert(holder.wanted(0, start + 10ms) == 0);
    cr_assert(holder.wanted(1, start + 10ms) == 1);
}

// Guards against a request that is refused although another failure domain has
// tokens left.
Test(token_holder, a_round_asks_the_other_failure_domains)
{
    token_holder holder;
    holder.begin_round(4, start);
    for (std::size_t position = 0; position < 4; ++position)
    {
        cr_assert(holder.next_grantor() == position);
        holder.record_answer(
            position < 3 ? token_grant{0, 30ms} : token_grant{1, {}}, start);
    }
    cr_assert(!holder.next_grantor());
    holder.end_round(start);
    cr_assert(!holder.exhausted_for(start));
    holder.begin_round(4, start);
    holder.record_answer(token_grant{0, 30ms}, start);
    cr_assert(holder.next_grantor() == std::size_t{3});
}

// Guards against failure domains that are never asked in a large deployment.
Test(token_holder, later_rounds_ask_further_failure_domains)
{
    constexpr std::size_t domains = 21;
    token_holder holder;
    std::set<std::size_t> asked;
    for (int round = 0; round < 10; ++round)
    {
        holder.begin_round(domains, start);
        while (const auto position = holder.next_grantor())
        {
            asked.insert(*position);
            holder.record_answer(token_grant{0, 30ms}, start);
        }
        holder.end_round(start);
    }
    cr_assert(asked.size() == domains, "%zu", asked.size());
}

// Guards against a question for each request of an account that has used up its
// quota, and against a refusal that lasts while others leave tokens unused.
Test(token_holder, knows_for_a_short_time_that_the_quota_is_used_up)
{
    token_holder holder;
    holder.begin_round(2, start);
    holder.record_answer(token_grant{0, 900ms}, start);
    holder.record_answer(token_grant{0, 700ms}, start);
    holder.end_round(start);
    cr_assert(holder.exhausted_for(start) == 700ms);
    cr_assert(!holder.exhausted_for(start + 200ms));
}

// Guards against a 429 from a node that could ask nobody.
Test(token_holder, unanswered_rounds_do_not_mean_that_the_quota_is_used_up)
{
    token_holder holder;
    holder.begin_round(2, start);
    holder.record_answer(std::nullopt, start);
    holder.record_answer(std::nullopt, start);
    holder.end_round(start);
    cr_assert(!holder.was_answered());
    cr_assert(!holder.exhausted_for(start));
}

// Guards against tokens that are used long after they were granted, because the
// process was paused between the question and the answer.
Test(token_holder, tokens_expire_by_the_time_of_the_question)
{
    token_holder holder;
    holder.begin_round(1, start);
    holder.record_answer(token_grant{2, {}}, start);
    holder.end_round(start + 3s);
    cr_assert(!holder.take(start + 3s));
}

// Guards against nodes that reach no grantor and together exceed the overage.
Test(quota_reserve, all_nodes_stay_within_half_of_the_overage)
{
    const quota_settings settings{
        .window_ = 5s, .overage_ = 0.1, .failure_domains_ = 4};
    constexpr std::size_t nodes = 60;
    constexpr double rate = 600;
    quota_reserve reserve;
    int admitted = 0;
    for (auto now = start; now < start + 50s; now += 10ms)
    {
        admitted += reserve.take(settings, {rate, rate}, nodes, now) ? 1 : 0;
    }
    // 0.05 x 600 / 60 a second.
    cr_assert(admitted <= 25, "%d", admitted);
    cr_assert(admitted >= 20, "%d", admitted);
    quota_reserve small;
    for (auto now = start; now < start + 50s; now += 10ms)
    {
        cr_assert(!small.take(settings, {10, 10}, nodes, now));
    }
}
