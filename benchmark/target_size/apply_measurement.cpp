#include "benchmark/target_size/apply_measurement.hpp"

#include <atomic>
#include <chrono>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <fmt/format.h>

#include "benchmark/target_size/resource_usage.hpp"
#include "benchmark/target_size/sample_statistics.hpp"
#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/config_snapshot.hpp"

namespace hemlockshelf {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::microseconds lookup_interval{200};

double to_milliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

nlohmann::json load_tables(const fleet_size& size, snapshot_store& snapshots)
{
    const auto memory_before = resident_memory().value();
    const auto time_before = processor_time();
    const auto rows = make_rows(size);
    config_tables tables;
    for (const auto& row : rows)
    {
        apply_change(tables, row);
    }
    const auto hash = tables.hash_;
    tables = {};
    const auto snapshot = build_from_rows(revision{1}, rows, hash);
    if (!snapshot || !snapshots.advance(*snapshot))
    {
        throw std::runtime_error("the tables of the fleet are not accepted");
    }
    return {
        {"rows", rows.size()},
        {"processor_ms", to_milliseconds(processor_time() - time_before)},
        {"memory_bytes", resident_memory().value() - memory_before}};
}

/// Makes the delta in the form in which it arrives from a peer.
std::string encode_edit(
    const fleet_size& size, const config_snapshot& base, std::size_t number)
{
    auto tables = base.tables();
    const auto change = make_edit(size, number);
    apply_change(tables, change);
    const config_delta delta{
        revision{base.number().value() + 1}, {change}, tables.hash_};
    return to_json(delta).dump();
}

std::chrono::nanoseconds
apply_text(const std::string& text, snapshot_store& snapshots)
{
    const auto started = steady_clock::now();
    const auto delta = delta_from_json(nlohmann::json::parse(text));
    const auto next = delta ? apply_delta(*snapshots.current(), *delta)
                            : tl::unexpected<error>(delta.error());
    if (!next || !snapshots.advance(*next))
    {
        throw std::runtime_error("a delta was not accepted");
    }
    return steady_clock::now() - started;
}

/// Resolves routes at a steady rate until it is stopped.
class route_reader
{
public:
    route_reader(const fleet_size& size, const snapshot_store& snapshots)
        : size_(size), snapshots_(snapshots), thread_(
                                                  [this]
                                                  {
                                                      run();
                                                  })
    {}

    duration_samples stop()
    {
        stopping_ = true;
        thread_.join();
        return std::move(samples_);
    }

private:
    void run()
    {
        std::size_t number = 0;
        while (!stopping_)
        {
            const auto service = ++number * 7919 % size_.services_;
            const client_account_id account{
                fmt::format("account-{}", service % size_.accounts_)};
            const auto host = fmt::format("service-{}.example", service);
            const auto started = steady_clock::now();
            const auto snapshot = snapshots_.current();
            const auto* route =
                snapshot->find_route(account, host, "/part-1/x");
            samples_.push_back(steady_clock::now() - started);
            if (route == nullptr)
            {
                std::terminate();
            }
            std::this_thread::sleep_for(lookup_interval);
        }
    }

    const fleet_size& size_;
    const snapshot_store& snapshots_;
    std::atomic<bool> stopping_ = false;
    duration_samples samples_;
    std::thread thread_;
};

} // namespace

nlohmann::json measure_applies(
    const fleet_size& size, std::size_t edits, snapshot_store& snapshots)
{
    nlohmann::json report;
    report["load"] = load_tables(size, snapshots);

    route_reader idle_reader(size, snapshots);
    std::this_thread::sleep_for(std::chrono::seconds{1});
    report["lookup_idle"] = summarize(idle_reader.stop());

    duration_samples applies;
    std::size_t delta_bytes = 0;
    std::chrono::nanoseconds used{0};
    route_reader busy_reader(size, snapshots);
    for (std::size_t number = 0; number < edits; ++number)
    {
        const auto text = encode_edit(size, *snapshots.current(), number);
        delta_bytes += text.size();
        const auto time_before = processor_time();
        applies.push_back(apply_text(text, snapshots));
        used += processor_time() - time_before;
    }
    report["lookup_during_applies"] = summarize(busy_reader.stop());
    report["apply"] = summarize(applies);
    report["apply"]["processor_ms_each"] =
        to_milliseconds(used) / double(edits);
    report["delta_json_bytes"] = delta_bytes / edits;
    report["memory_bytes"] = resident_memory().value();
    return report;
}

} // namespace hemlockshelf
