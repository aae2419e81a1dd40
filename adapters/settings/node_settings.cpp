#include "adapters/settings/node_settings.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace hemlockshelf {

namespace {

std::string required_text(const YAML::Node& root, const char* key)
{
    if (!root[key] || !root[key].IsScalar())
    {
        throw YAML::Exception(
            root.Mark(), fmt::format("expected text in \"{}\"", key));
    }
    return root[key].as<std::string>();
}

endpoint to_endpoint(const YAML::Node& node)
{
    const auto parsed = parse_endpoint(node.as<std::string>());
    if (!parsed)
    {
        throw YAML::Exception(node.Mark(), parsed.error().message_);
    }
    return *parsed;
}

endpoint required_endpoint(const YAML::Node& root, const char* key)
{
    required_text(root, key);
    return to_endpoint(root[key]);
}

endpoint
optional_endpoint(const YAML::Node& root, const char* key, endpoint fallback)
{
    return root[key] ? to_endpoint(root[key]) : std::move(fallback);
}

node_settings read_settings(const YAML::Node& root)
{
    node_settings settings;
    settings.vm_ = vm_id{required_text(root, "vm")};
    settings.failure_domain_ =
        failure_domain_id{required_text(root, "failure_domain")};
    settings.region_ = region_id{required_text(root, "region")};
    settings.calls_ = required_endpoint(root, "calls");
    settings.gate_ = required_endpoint(root, "gate");
    settings.control_ = required_endpoint(root, "control");
    settings.admin_ = required_endpoint(root, "admin");
    settings.platform_ = required_endpoint(root, "platform");
    settings.advertised_gate_ =
        optional_endpoint(root, "advertised_gate", settings.gate_);
    settings.advertised_control_ =
        optional_endpoint(root, "advertised_control", settings.control_);
    settings.source_address_ = root["source_address"].as<std::string>("");
    for (const auto& peer : root["peers"])
    {
        settings.peers_.push_back(to_endpoint(peer));
    }
    for (const auto& token : root["token_sha256"])
    {
        settings.token_hashes_.emplace(
            token.first.as<std::string>(), token.second.as<std::string>());
    }
    return settings;
}

} // namespace

result<node_settings> load_node_settings(const std::string& path)
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
