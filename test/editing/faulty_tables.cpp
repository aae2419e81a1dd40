#include "test/editing/faulty_tables.hpp"

#include <utility>

namespace hemlockshelf {

namespace {

tl::unexpected<error> rejection()
{
    return make_error(error_kind::platform_unavailable, "injected rejection");
}

tl::unexpected<error> lost_response()
{
    return make_error(error_kind::outcome_unknown, "injected lost response");
}

error rate_limit_error()
{
    return {error_kind::rate_limited, "injected rate limit"};
}

} // namespace

faulty_tables::faulty_tables(
    table_service& tables, fault_rates rates, unsigned seed)
    : tables_(tables), rates_(rates), random_(seed)
{}

result<std::optional<stored_row>>
faulty_tables::read(const std::string& table, const std::string& key)
{
    if (draw(rates_.refuse_))
    {
        return rejection();
    }
    if (auto limit = take_rate_limit(limited_reads_))
    {
        return tl::unexpected<error>(std::move(*limit));
    }
    return tables_.read(table, key);
}

result<std::vector<stored_row>> faulty_tables::scan(const scan_range& range)
{
    if (draw(rates_.refuse_))
    {
        return rejection();
    }
    if (auto limit = take_rate_limit(limited_reads_))
    {
        return tl::unexpected<error>(std::move(*limit));
    }
    return tables_.scan(range);
}

result<void> faulty_tables::commit(const transaction& writes)
{
    {
        const std::lock_guard lock(mutex_);
        ++commits_;
        limited_reads_.count_ += std::exchange(reads_to_limit_, 0);
    }
    if (draw(rates_.refuse_))
    {
        return rejection();
    }
    if (auto limit = take_rate_limit(limited_commits_))
    {
        return tl::unexpected<error>(std::move(*limit));
    }
    if (draw(rates_.lose_before_))
    {
        return lost_response();
    }
    if (draw(rates_.delay_))
    {
        const std::lock_guard lock(mutex_);
        delayed_.push_back(writes);
        return lost_response();
    }
    if (draw(0.5))
    {
        deliver_delayed();
    }
    auto committed = tables_.commit(writes);
    if (draw(rates_.lose_after_) || take_response_loss())
    {
        return lost_response();
    }
    return committed;
}

void faulty_tables::deliver_delayed()
{
    std::vector<transaction> delayed;
    {
        const std::lock_guard lock(mutex_);
        delayed = std::exchange(delayed_, {});
    }
    for (const auto& writes : delayed)
    {
        static_cast<void>(tables_.commit(writes));
    }
}

void faulty_tables::limit_reads(
    int count, std::chrono::milliseconds retry_after)
{
    const std::lock_guard lock(mutex_);
    limited_reads_ = {count, retry_after};
}

void faulty_tables::limit_commits(
    int count, std::chrono::milliseconds retry_after)
{
    const std::lock_guard lock(mutex_);
    limited_commits_ = {count, retry_after};
}

void faulty_tables::limit_reads_after_commit(int count)
{
    const std::lock_guard lock(mutex_);
    reads_to_limit_ = count;
}

void faulty_tables::lose_next_response()
{
    const std::lock_guard lock(mutex_);
    lose_next_response_ = true;
}

std::chrono::milliseconds faulty_tables::retry_after() const
{
    const std::lock_guard lock(mutex_);
    return named_wait_;
}

int faulty_tables::commits() const
{
    const std::lock_guard lock(mutex_);
    return commits_;
}

bool faulty_tables::take_response_loss()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(lose_next_response_, false);
}

std::optional<error> faulty_tables::take_rate_limit(pending_rejections& pending)
{
    if (draw(rates_.limit_))
    {
        return rate_limit_error();
    }
    const std::lock_guard lock(mutex_);
    if (pending.count_ == 0)
    {
        return std::nullopt;
    }
    --pending.count_;
    named_wait_ = pending.retry_after_;
    return rate_limit_error();
}

bool faulty_tables::draw(double probability)
{
    const std::lock_guard lock(mutex_);
    return std::bernoulli_distribution(probability)(random_);
}

} // namespace hemlockshelf
