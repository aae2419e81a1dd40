#include "standins/link/link_network.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

constexpr std::uint64_t bits_per_byte = 8;

} // namespace

link_network::link_network(link_settings settings)
    : settings_(std::move(settings))
{}

link_location
link_network::location_of_address(const std::string& address) const
{
    for (const auto& [prefix, domain] : settings_.sources_)
    {
        if (address.starts_with(prefix))
        {
            return location_of(domain);
        }
    }
    return {};
}

link_location link_network::location_of(const std::string& domain) const
{
    const auto region = settings_.regions_.find(domain);
    return {domain, region == settings_.regions_.end() ? "" : region->second};
}

std::chrono::microseconds link_network::one_way_delay(
    const link_location& from, const link_location& to) const
{
    if (from.domain_ == to.domain_)
    {
        return std::chrono::microseconds{0};
    }
    return from.region_ == to.region_ ? settings_.domain_delay_
                                      : settings_.region_delay_;
}

link_network::time_point link_network::schedule_transfer(
    const link_location& from,
    const link_location& to,
    std::size_t bytes,
    time_point now)
{
    const auto delay = one_way_delay(from, to);
    if (from.region_ == to.region_)
    {
        return now + delay;
    }
    const std::chrono::microseconds transmission{
        bytes * bits_per_byte * 1'000'000 / settings_.region_bits_per_second_};
    auto& free_at = free_at_[{from.region_, to.region_}];
    free_at = std::max(free_at, now) + transmission;
    return free_at + delay;
}

link_mode
link_network::mode(const link_location& from, const link_location& to) const
{
    return effective_mode(rules_, from, to);
}

void link_network::add_rule(const link_rule& rule)
{
    if (rule.mode_ == link_mode::ok && rule.from_ == "*" && rule.to_ == "*")
    {
        rules_.clear();
        return;
    }
    rules_.push_back(rule);
}

link_counter& link_network::counter(
    const std::string& kind, const link_location& from, const link_location& to)
{
    return counters_[{kind, from.domain_, to.domain_}];
}

const std::map<link_network::counter_key, link_counter>&
link_network::counters() const
{
    return counters_;
}

} // namespace hemlockshelf
