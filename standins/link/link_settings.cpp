#include "standins/link/link_settings.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace hemlockshelf {

namespace {

endpoint read_endpoint(const YAML::Node& node)
{
    const auto parsed = parse_endpoint(node.as<std::string>());
    if (!parsed)
    {
        throw YAML::Exception(node.Mark(), parsed.error().message_);
    }
    return *parsed;
}

link_listener read_listener(const YAML::Node& node)
{
    return {
        read_endpoint(node["listen"]), read_endpoint(node["target"]),
        node["domain"].as<std::string>(), node["kind"].as<std::string>("calls"),
        node["source_domain"].as<std::string>("")};
}

std::map<std::string, std::string> read_string_map(const YAML::Node& node)
{
    std::map<std::string, std::string> entries;
    for (const auto& item : node)
    {
        entries.emplace(
            item.first.as<std::string>(), item.second.as<std::string>());
    }
    return entries;
}

link_settings read_settings(const YAML::Node& root)
{
    link_settings settings;
    settings.admin_ = read_endpoint(root["admin"]);
    for (const auto& item : root["listeners"])
    {
        settings.listeners_.push_back(read_listener(item));
    }
    settings.sources_ = read_string_map(root["sources"]);
    settings.regions_ = read_string_map(root["regions"]);
    settings.domain_delay_ = std::chrono::microseconds{
        root["domain_delay_us"].as<std::int64_t>(1000)};
    settings.region_delay_ = std::chrono::microseconds{
        root["region_delay_us"].as<std::int64_t>(20'000)};
    settings.region_bits_per_second_ =
        root["region_bits_per_second"].as<std::uint64_t>(30'000'000);
    return settings;
}

} // namespace

result<link_settings> load_link_settings(const std::string& path)
{
    try
    {
        return read_settings(YAML::LoadFile(path));
    }
    catch (const YAML::Exception& failure)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format("{}:{}: {}", path, failure.mark.line + 1, failure.msg));
    }
}

} // namespace hemlockshelf
