#ifndef HEMLOCKSHELF_STANDINS_LINK_LINK_SETTINGS_HPP
#define HEMLOCKSHELF_STANDINS_LINK_LINK_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "adapters/http/endpoint.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// One relayed address.
struct link_listener
{
    /// Address that peers connect to.
    endpoint listen_;
    /// Address to which the relay connects.
    endpoint target_;
    /// Failure domain of the target.
    std::string domain_;
    /// Kind of traffic; each kind has its own counters.
    std::string kind_;
    /// Failure domain of every caller; if empty, it is derived from the
    /// caller's address.
    std::string source_domain_;
};

/// Settings of `link_standin`.
struct link_settings
{
    endpoint admin_;
    std::vector<link_listener> listeners_;
    /// Maps prefixes of source addresses to failure domains.
    std::map<std::string, std::string> sources_;
    /// Maps failure domains to regions.
    std::map<std::string, std::string> regions_;
    /// One-way delay between failure domains of the same region.
    std::chrono::microseconds domain_delay_{1000};
    /// One-way delay between regions.
    std::chrono::microseconds region_delay_{20'000};
    /// Capacity from one region to another, in bits per second.
    std::uint64_t region_bits_per_second_ = 30'000'000;
};

/// Reads a YAML or JSON file. The error is `settings_invalid`.
result<link_settings> load_link_settings(const std::string& path);

} // namespace hemlockshelf

#endif
