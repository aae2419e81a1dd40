#include "experiment/settings_files.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hemlockshelf/accounts/key_hash.hpp"

namespace hemlockshelf {

namespace {

/// Number of nodes of each failure domain that are configured as initial peers.
constexpr std::size_t initial_peers_per_domain = 2;

std::string
peer_lines(const std::vector<node_place>& places, std::size_t own_index)
{
    std::string lines;
    std::map<std::string, std::size_t> listed;
    for (std::size_t index = 0; index < places.size(); ++index)
    {
        if (listed[places[index].domain_]++ < initial_peers_per_domain &&
            index != own_index)
        {
            lines += fmt::format(
                "  - {}\n", to_string(places[index].advertised_control_));
        }
    }
    return lines.empty() ? "" : "peers:\n" + lines;
}

nlohmann::json listener(
    const endpoint& listen,
    const endpoint& target,
    const std::string& domain,
    const std::string& kind)
{
    return {
        {"listen", to_string(listen)},
        {"target", to_string(target)},
        {"domain", domain},
        {"kind", kind}};
}

nlohmann::json node_listeners(const std::vector<node_place>& places)
{
    auto listeners = nlohmann::json::array();
    for (const auto& place : places)
    {
        listeners.push_back(listener(
            place.advertised_gate_, place.gate_, place.domain_, "calls"));
        listeners.push_back(listener(
            place.advertised_control_, place.control_, place.domain_,
            "control"));
    }
    return listeners;
}

} // namespace

std::string node_settings_text(
    const cluster_options& options,
    const std::vector<node_place>& places,
    std::size_t index)
{
    const auto& place = places.at(index);
    auto text = fmt::format(
        "vm: {}\nfailure_domain: {}\nregion: {}\n"
        "calls: {}\ngate: {}\ncontrol: {}\nadmin: {}\nplatform: {}\n"
        "advertised_gate: {}\nadvertised_control: {}\nsource_address: {}\n"
        "token_sha256:\n  {}: {}\n",
        place.vm_, place.domain_, place.region_, to_string(place.calls_),
        to_string(place.gate_), to_string(place.control_),
        to_string(place.admin_), to_string(place.platform_),
        to_string(place.advertised_gate_), to_string(place.advertised_control_),
        place.source_address_, options.deployment_.account_,
        sha256_hex(options.deployment_.token_));
    text += peer_lines(places, index);
    return text + options.extra_settings_;
}

std::string link_settings_text(
    const cluster_options& options,
    const std::vector<node_place>& places,
    const address_block& block)
{
    const auto& mesh = options.deployment_;
    auto listeners = node_listeners(places);
    nlohmann::json sources;
    nlohmann::json regions{{platform_domain, mesh.platform_region_}};
    for (std::size_t index = 0; index < mesh.domains_.size(); ++index)
    {
        const auto& domain = mesh.domains_[index];
        auto to_platform = listener(
            platform_relay_endpoint(block, index), platform_endpoint(block),
            platform_domain, "platform");
        to_platform["source_domain"] = domain.name_;
        listeners.push_back(std::move(to_platform));
        regions[domain.name_] = domain.region_;
        // The last number is absent, so this is the prefix of the domain.
        const auto first = block.address(domain_number(index), 0);
        sources[first.substr(0, first.size() - 1)] = domain.name_;
    }
    nlohmann::json settings{
        {"admin", to_string(link_endpoint(block))},
        {"listeners", std::move(listeners)},
        {"sources", std::move(sources)},
        {"regions", std::move(regions)}};
    if (!options.with_delays_)
    {
        settings["domain_delay_us"] = 0;
        settings["region_delay_us"] = 0;
    }
    return settings.dump(1);
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    file << text;
    if (!file.flush())
    {
        throw std::runtime_error(path + ": cannot be written");
    }
}

std::string make_temporary_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "hemlockshelf-XXXXXX")
            .string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error(name + ": cannot be created");
    }
    return name;
}

} // namespace hemlockshelf
