#include "test/editing/faulty_tables.hpp"

#include <utility>

namespace hemlockshelf {

namespace {

tl::unexpected<error> refusal()
{
    return make_error(error_kind::platform_unavailable, "injected refusal");
}

tl::unexpected<error> lost_answer()
{
    return make_error(error_kind::outcome_unknown, "injected lost answer");
}

} // namespace

faulty_tables::faulty_tables(
    table_service& tables, fault_rates rates, unsigned seed)
    : tables_(tables), rates_(rates), random_(seed)
{}

result<std::optional<stored_row>>
faulty_tables::read(const std::string& table, const std::string& key)
{
    if (happens(rates_.refuse_))
    {
        return refusal();
    }
    return tables_.read(table, key);
}

result<std::vector<stored_row>> faulty_tables::scan(const scan_range& range)
{
    if (happens(rates_.refuse_))
    {
        return refusal();
    }
    return tables_.scan(range);
}

result<void> faulty_tables::commit(const transaction& writes)
{
    if (happens(rates_.refuse_))
    {
        return refusal();
    }
    if (happens(rates_.lose_before_))
    {
        return lost_answer();
    }
    if (happens(rates_.delay_))
    {
        const std::lock_guard lock(mutex_);
        delayed_.push_back(writes);
        return lost_answer();
    }
    if (happens(0.5))
    {
        deliver_delayed();
    }
    auto committed = tables_.commit(writes);
    if (happens(rates_.lose_after_))
    {
        return lost_answer();
    }
    return committed;
}

void faulty_tables::deliver_delayed()
{
    std::vector<transaction> arrived;
    {
        const std::lock_guard lock(mutex_);
        arrived = std::exchange(delayed_, {});
    }
    for (const auto& writes : arrived)
    {
        static_cast<void>(tables_.commit(writes));
    }
}

bool faulty_tables::happens(double probability)
{
    const std::lock_guard lock(mutex_);
    return std::bernoulli_distribution(probability)(random_);
}

} // namespace hemlockshelf
