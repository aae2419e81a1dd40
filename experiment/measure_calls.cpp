#include <map>
#include <thread>

#include <fmt/format.h>

#include "experiment/load_generator.hpp"
#include "experiment/measured_mesh.hpp"
#include "experiment/measurement.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::seconds window{8};

std::vector<double> served_latencies(const std::vector<request_record>& records)
{
    std::vector<double> latencies;
    for (const auto& record : records)
    {
        if (record.result_ == request_result::served)
        {
            const std::chrono::duration<double, std::milli> elapsed =
                record.answered_at_ - record.sent_at_;
            latencies.push_back(elapsed.count());
        }
    }
    return latencies;
}

/// Returns how many calls ended with each error, as text.
std::string errors_of(const std::vector<request_record>& records)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& record : records)
    {
        if (record.result_ != request_result::served)
        {
            ++counts[record.error_];
        }
    }
    std::string text;
    for (const auto& [kind, count] : counts)
    {
        text += fmt::format(", {} {}", count, kind);
    }
    return text;
}

load_options small_calls(const cluster& mesh, const std::string& service)
{
    const auto& account = mesh.options().deployment_.account_;
    load_options load;
    load.account_ = account;
    load.hosts_ = {service + "." + account};
    load.large_share_ = 0;
    load.work_ = std::chrono::milliseconds{0};
    return load;
}

measurement latencies_of(
    const std::string& name, const std::vector<request_record>& records)
{
    const auto latencies = served_latencies(records);
    return {
        name, "ms", summarize(latencies),
        fmt::format(
            "{} of {} calls served{}", latencies.size(), records.size(),
            errors_of(records))};
}

void measure_rate(const cluster& mesh, double rate, measurements& found)
{
    // The entry node differs from the gate node but is in the same failure
    // domain.
    constexpr std::size_t entry = 4;
    auto through = small_calls(mesh, mesh.place(0).service_);
    through.rate_ = rate;
    // Request ids are idempotency keys, so the rates must not share them.
    through.id_prefix_ = fmt::format("proxied-{}", rate);
    auto direct = through;
    direct.id_prefix_ = fmt::format("direct-{}", rate);
    through.targets_ = {mesh.place(entry).calls_};
    direct.targets_ = {mesh.place(0).upstream_};
    load_generator proxied(through);
    load_generator unproxied(direct);
    proxied.start();
    unproxied.start();
    std::this_thread::sleep_for(window);
    const auto proxied_calls = latencies_of(
        fmt::format("latency, {} calls/s, proxied", rate), proxied.stop());
    const auto direct_calls = latencies_of(
        fmt::format("latency, {} calls/s, direct", rate), unproxied.stop());
    found.push_back(proxied_calls);
    found.push_back(direct_calls);
    const auto& slow = proxied_calls.values_;
    const auto& fast = direct_calls.values_;
    found.push_back(
        {fmt::format("latency, {} calls/s, added", rate),
         "ms",
         {slow.count_, slow.minimum_ - fast.minimum_,
          slow.median_ - fast.median_, slow.p99_ - fast.p99_,
          slow.maximum_ - fast.maximum_},
         "difference of the quantiles"});
}

} // namespace

measurements measure_added_latency(const cluster_options& base)
{
    measurements found;
    auto options = base;
    options.nodes_ = 8;
    options.with_delays_ = false;
    cluster mesh(options);
    if (!start_with_tables(mesh, "latency", found))
    {
        return found;
    }
    for (const double rate : {50.0, 500.0, 2000.0})
    {
        measure_rate(mesh, rate, found);
    }
    return found;
}

measurements measure_goodput(const cluster_options& base)
{
    constexpr std::chrono::milliseconds work{100};
    measurements found;
    auto options = base;
    options.nodes_ = 16;
    cluster mesh(options);
    if (!start_with_tables(mesh, "goodput", found))
    {
        return found;
    }
    // A service has an upstream in each of the failure domains.
    const auto upstreams = mesh.options().deployment_.domains_.size();
    const double capacity =
        static_cast<double>(upstreams * mesh.options().deployment_.slots_) *
        1000.0 / static_cast<double>(work.count());
    auto load = small_calls(mesh, mesh.place(0).service_);
    load.work_ = work;
    load.rate_ = 2 * capacity;
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        load.targets_.push_back(mesh.place(index).calls_);
    }
    load_generator calls(load);
    calls.start();
    std::this_thread::sleep_for(window);
    const auto records = calls.stop();
    auto latency = latencies_of("goodput, latency of served calls", records);
    const auto served = static_cast<double>(latency.values_.count_);
    found.push_back(
        {"goodput at twice capacity", "calls/s",
         summarize({served / static_cast<double>(window.count())}),
         fmt::format("capacity {} calls/s, {}", capacity, latency.note_)});
    found.push_back(std::move(latency));
    return found;
}

} // namespace hemlockshelf
