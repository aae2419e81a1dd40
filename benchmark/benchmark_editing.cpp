// Processor time of one accepted edit at 10,000 rows, and of its checks when
// every row or only the accounts that it touches are looked at.

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "benchmark/target_size/target_fleet.hpp"
#include "hemlockshelf/config/row_codec.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/manual_clock.hpp"
#include "hemlockshelf/editing/editor.hpp"
#include "standins/platform/memory_tables.hpp"

namespace {

using namespace hemlockshelf;

// 2,500 services with a pool and 3 routes each are 10,000 rows.
constexpr std::size_t routes_per_service = 3;

fleet_size make_size()
{
    fleet_size size;
    size.routes_per_service_ = routes_per_service;
    return size;
}

editing_settings unlimited()
{
    constexpr std::uint32_t plenty = 1'000'000'000;
    editing_settings settings;
    settings.quotas_.max_accepted_ = plenty;
    settings.quotas_.max_submitted_per_second_ = plenty;
    return settings;
}

/// An editor whose platform holds the rows of the fleet.
class filled_editor
{
public:
    filled_editor() : editor_(make_ports(), vm_id{"vm-1"}, unlimited())
    {
        std::map<client_account_id, std::vector<row_edit>> edits;
        for (const auto& row : make_rows(size_))
        {
            edits[account_of(row.key_)].push_back({row, std::nullopt});
        }
        for (auto& [account, rows] : edits)
        {
            submit(account, std::move(rows));
        }
    }

    /// Commits the edit `number` of a route.
    void submit_edit(std::size_t number)
    {
        const auto change = make_edit(size_, number);
        submit(account_of(change.key_), {{change, std::nullopt}});
    }

    [[nodiscard]] std::shared_ptr<const config_snapshot> current() const
    {
        return snapshots_.current();
    }

private:
    editor_ports make_ports()
    {
        editor_ports ports;
        ports.tables_ = &tables_;
        ports.time_ = &time_;
        ports.current_snapshot_ = [this]
        {
            return snapshots_.current();
        };
        ports.on_accepted_ = [this](const auto&, const auto& snapshot)
        {
            static_cast<void>(snapshots_.advance(snapshot));
        };
        return ports;
    }

    void submit(const client_account_id& account, std::vector<row_edit> edits)
    {
        const auto outcome = editor_.submit(
            {change_id{"c" + std::to_string(++submitted_)}, "operator", account,
             false, std::move(edits)});
        if (!outcome)
        {
            throw std::runtime_error(outcome.error().message_);
        }
    }

    fleet_size size_ = make_size();
    manual_clock time_;
    memory_tables tables_;
    snapshot_store snapshots_;
    std::size_t submitted_ = 0;
    editor editor_;
};

void submit_one_edit(benchmark::State& state)
{
    filled_editor under_test;
    std::size_t number = 0;
    for (auto _ : state)
    {
        under_test.submit_edit(number++);
    }
    const auto& tables = under_test.current()->tables();
    state.counters["rows"] =
        static_cast<double>(tables.routes_.size() + tables.pools_.size());
}
BENCHMARK(submit_one_edit)->Unit(benchmark::kMicrosecond);

// The plan checked every reference, and the accepted edit was built again from
// a copy of the tables.
void check_every_row(benchmark::State& state)
{
    const auto base = filled_editor().current();
    std::size_t number = 0;
    for (auto _ : state)
    {
        auto tables = base->tables();
        apply_change(tables, make_edit(make_size(), number++));
        benchmark::DoNotOptimize(check_references(tables));
        benchmark::DoNotOptimize(
            config_snapshot::build(revision{base->number()}, tables));
    }
}
BENCHMARK(check_every_row)->Unit(benchmark::kMicrosecond);

void check_touched_accounts(benchmark::State& state)
{
    const auto base = filled_editor().current();
    std::size_t number = 0;
    for (auto _ : state)
    {
        auto tables = base->tables();
        const auto change = make_edit(make_size(), number++);
        apply_change(tables, change);
        benchmark::DoNotOptimize(config_snapshot::build_next(
            *base, base->number(), std::move(tables), {change}));
    }
}
BENCHMARK(check_touched_accounts)->Unit(benchmark::kMicrosecond);

} // namespace
