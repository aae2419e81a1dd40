#ifndef HEMLOCKSHELF_STANDINS_LINK_LINK_NETWORK_HPP
#define HEMLOCKSHELF_STANDINS_LINK_LINK_NETWORK_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "standins/link/link_faults.hpp"
#include "standins/link/link_settings.hpp"

namespace hemlockshelf {

/// Bytes and connections of one kind of traffic between two failure domains.
struct link_counter
{
    /// Forwarded bytes.
    std::uint64_t bytes_ = 0;
    /// Bytes dropped because the direction was silent.
    std::uint64_t dropped_bytes_ = 0;
    std::uint64_t connections_ = 0;
};

/// State of the links between failure domains. Not thread-safe.
class link_network
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    /// Kind of traffic, failure domain of the sender, failure domain of the
    /// receiver.
    using counter_key = std::tuple<std::string, std::string, std::string>;

    explicit link_network(link_settings settings);

    /// Returns the location of a source address.
    [[nodiscard]] link_location
    location_of_address(const std::string& address) const;

    /// Returns the location of a failure domain.
    [[nodiscard]] link_location location_of(const std::string& domain) const;

    [[nodiscard]] std::chrono::microseconds
    one_way_delay(const link_location& from, const link_location& to) const;

    /// Reserves capacity of the link for `bytes` bytes and returns the time at
    /// which they arrive.
    time_point schedule_transfer(
        const link_location& from,
        const link_location& to,
        std::size_t bytes,
        time_point now);

    [[nodiscard]] link_mode
    mode(const link_location& from, const link_location& to) const;

    /// Adds a rule; a rule of mode `ok` between all locations removes all
    /// rules.
    void add_rule(const link_rule& rule);

    link_counter& counter(
        const std::string& kind,
        const link_location& from,
        const link_location& to);

    [[nodiscard]] const std::map<counter_key, link_counter>& counters() const;

private:
    link_settings settings_;
    std::vector<link_rule> rules_;
    std::map<counter_key, link_counter> counters_;
    /// Time at which the link from one region to another becomes idle.
    std::map<std::pair<std::string, std::string>, time_point> free_at_;
};

} // namespace hemlockshelf

#endif
