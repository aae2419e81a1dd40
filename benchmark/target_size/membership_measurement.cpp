#include "benchmark/target_size/membership_measurement.hpp"

#include <chrono>
#include <cstdint>
#include <stdexcept>

#include "benchmark/target_size/resource_usage.hpp"
#include "benchmark/target_size/sample_statistics.hpp"

namespace hemlockshelf {

namespace {

// Members that fail, restart or are replaced on an ordinary day.
constexpr std::size_t departures_per_day = 2453;

using std::chrono::steady_clock;

double to_milliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Reads the list that routing would use, which builds it if it is stale.
void read_service(const member_table& members, const member_record& record)
{
    const auto list =
        members.members_of_service({record.account_, record.service_});
    if (list->empty())
    {
        throw std::runtime_error("a service has no members");
    }
}

/// Merges a change of a member and reads the list of its service.
void change_member(member_table& members, const member_record& record)
{
    if (!members.merge(record))
    {
        throw std::runtime_error("a newer record was not merged");
    }
    read_service(members, record);
}

nlohmann::json load_fleet(const fleet_size& size, member_table& members)
{
    const auto memory_before = resident_memory().value();
    const auto time_before = processor_time();
    for (std::size_t index = 0; index < size.members_; ++index)
    {
        members.merge(make_member(size, index));
    }
    for (std::size_t service = 0; service < size.services_; ++service)
    {
        read_service(members, make_member(size, service));
    }
    std::size_t known = 0;
    for (const auto& domain : members.domains())
    {
        known += members.members_in_domain(domain.first)->size();
    }
    return {
        {"members", known},
        {"processor_ms", to_milliseconds(processor_time() - time_before)},
        {"memory_bytes", resident_memory().value() - memory_before}};
}

nlohmann::json measure_departures(const fleet_size& size, member_table& members)
{
    duration_samples samples;
    const auto time_before = processor_time();
    for (std::size_t number = 0; number < departures_per_day; ++number)
    {
        const auto index = number * 9973 % size.members_;
        auto record = make_member(size, index);
        record.incarnation_ =
            incarnation{record.incarnation_.value() + 1'000'000'000};
        record.state_ = upstream_state::left;
        auto started = steady_clock::now();
        change_member(members, record);
        samples.push_back(steady_clock::now() - started);
        record.sequence_ = sequence{2};
        record.state_ = upstream_state::ready;
        started = steady_clock::now();
        change_member(members, record);
        samples.push_back(steady_clock::now() - started);
    }
    auto summary = summarize(samples);
    summary["processor_ms_per_day"] =
        to_milliseconds(processor_time() - time_before);
    return summary;
}

nlohmann::json
lose_failure_domain(const fleet_size& size, member_table& members)
{
    const auto time_before = processor_time();
    const auto memory_before = resident_memory().value();
    std::size_t changed = 0;
    for (const auto state : {upstream_state::left, upstream_state::ready})
    {
        for (std::size_t index = 0; index < size.members_;
             index += size.failure_domains_)
        {
            auto record = make_member(size, index);
            record.incarnation_ =
                incarnation{record.incarnation_.value() + 2'000'000'000};
            record.sequence_ =
                sequence{state == upstream_state::left ? 1U : 2U};
            record.state_ = state;
            change_member(members, record);
            ++changed;
        }
    }
    return {
        {"changes", changed},
        {"processor_ms", to_milliseconds(processor_time() - time_before)},
        {"memory_growth_bytes",
         static_cast<std::int64_t>(resident_memory().value()) -
             static_cast<std::int64_t>(memory_before)}};
}

nlohmann::json measure_digest(const member_table& members)
{
    duration_samples samples;
    for (int count = 0; count < 1000; ++count)
    {
        const auto started = steady_clock::now();
        const auto digest = members.digest();
        samples.push_back(steady_clock::now() - started);
        static_cast<void>(root_of(digest));
    }
    return summarize(samples);
}

} // namespace

nlohmann::json measure_membership(const fleet_size& size, member_table& members)
{
    nlohmann::json report;
    report["load"] = load_fleet(size, members);
    report["departure"] = measure_departures(size, members);
    report["failure_domain_lost_and_back"] = lose_failure_domain(size, members);
    report["digest"] = measure_digest(members);
    return report;
}

} // namespace hemlockshelf
