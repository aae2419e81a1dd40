#include "adapters/settings/node_settings.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <set>

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include "adapters/settings/section_readers.hpp"
#include "adapters/settings/settings_section.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t sha256_digits = 64;

bool is_sha256(const std::string& text)
{
    const auto is_digit = [](char character)
    {
        return (character >= '0' && character <= '9') ||
               (character >= 'a' && character <= 'f');
    };
    return text.size() == sha256_digits && std::ranges::all_of(text, is_digit);
}

void read_identity(settings_section& root, node_settings& settings)
{
    settings.vm_ = vm_id{
        root.required_text({"vm", "Name of this VM; unique in the fleet."})};
    settings.failure_domain_ = failure_domain_id{
        root.required_text({"failure_domain", "Failure domain of this VM."})};
    settings.region_ = region_id{
        root.required_text({"region", "Region of the failure domain."})};
}

void read_link(settings_section& root, node_settings& settings)
{
    constexpr double most_mbps = 1e6;
    constexpr double bits_per_megabit = 1e6;
    const auto mbps = root.number(
        {"link_mbps",
         "Capacity of the VM's link in Mbit/s, each way; 0 if it is not "
         "known."},
        0, 0, most_mbps);
    settings.link_ =
        bit_rate{static_cast<std::uint64_t>(mbps * bits_per_megabit)};
}

void read_addresses(settings_section& root, node_settings& settings)
{
    settings.calls_ =
        root.required_endpoint({"calls", "Listener for callers."});
    settings.gate_ = root.required_endpoint(
        {"gate", "Listener for other nodes' calls to this node's upstream."});
    settings.control_ = root.required_endpoint(
        {"control", "Listener for control messages of other nodes."});
    settings.admin_ = root.required_endpoint(
        {"admin", "Listener for operators, metrics and the own upstream."});
    settings.platform_ = root.required_endpoint(
        {"platform", "Address of the platform's service."});
    settings.advertised_gate_ = root.optional_endpoint(
        {"advertised_gate", "Address at which other nodes reach the gate."},
        settings.gate_);
    settings.advertised_control_ = root.optional_endpoint(
        {"advertised_control",
         "Address at which other nodes reach the control listener."},
        settings.control_);
    settings.advertised_admin_ = root.optional_endpoint(
        {"advertised_admin", "Address at which operators reach the node."},
        settings.admin_);
    settings.peers_ = root.endpoints(
        {"peers", "Control addresses of nodes for the first contact."});
    settings.source_address_ = root.text(
        {"source_address", "Local address of outgoing connections."}, "");
    boost::system::error_code invalid;
    boost::asio::ip::make_address_v4(settings.source_address_, invalid);
    if (!settings.source_address_.empty() && invalid)
    {
        root.report(
            {"source_address", ""},
            fmt::format(
                "expected an IPv4 address, given \"{}\"",
                settings.source_address_));
    }
}

void check_listeners(settings_section& root, const node_settings& settings)
{
    const std::array listeners{
        std::pair{"calls", settings.calls_}, std::pair{"gate", settings.gate_},
        std::pair{"control", settings.control_},
        std::pair{"admin", settings.admin_}};
    std::set<endpoint> used;
    for (const auto& [key, where] : listeners)
    {
        if (!used.insert(where).second)
        {
            root.report(
                {key, ""},
                fmt::format(
                    "expected an address of its own, given {}, which "
                    "another listener uses",
                    to_string(where)));
        }
    }
}

void read_tokens(settings_section& root, node_settings& settings)
{
    for (const auto& [account, hash] : root.text_pairs(
             {"token_sha256",
              "SHA-256 of each account's operator token, by account."}))
    {
        if (!is_sha256(hash))
        {
            root.report(
                {"token_sha256", ""},
                fmt::format(
                    "account \"{}\": expected {} lower-case hexadecimal "
                    "digits",
                    account, sha256_digits));
        }
        settings.token_hashes_.emplace(account, hash);
    }
}

void read_log(settings_section log, node_settings& settings)
{
    const auto format = log.choice(
        {"format", "Form of the log lines."}, "text", {"text", "json"});
    settings.log_format_ =
        format == "json" ? log_format::json : log_format::text;
    settings.log_level_ = log.choice(
        {"level", "Lowest level that is logged; can be changed at run time."},
        "info", {"trace", "debug", "info", "warning", "error", "off"});
    log.reject_unknown_keys();
}

node_settings read_settings(const YAML::Node& file, settings_errors& errors)
{
    settings_section root(file, "", errors);
    node_settings settings;
    read_identity(root, settings);
    read_addresses(root, settings);
    read_link(root, settings);
    check_listeners(root, settings);
    read_tokens(root, settings);
    read_log(root.section("log"), settings);
    read_call_path(root.section("call_path"), settings.call_path_);
    read_membership(root.section("membership"), settings.membership_);
    read_dissemination(root.section("dissemination"), settings.dissemination_);
    read_editing(root.section("editing"), settings.editing_);
    read_routing(root.section("routing"), settings.routing_);
    read_retry(root.section("retry"), settings.retry_);
    read_gate_limits(root.section("gate_limits"), settings.gate_limits_);
    read_accounts(root.section("accounts"), settings.accounts_);
    read_quota(root.section("quota"), settings.quota_);
    settings.gate_limits_.link_ = settings.link_;
    // The platform's adapter reads its section by itself.
    root.section("provider");
    root.reject_unknown_keys();
    return settings;
}

} // namespace

std::vector<setting_info> describe_node_settings()
{
    settings_errors errors("");
    read_settings(YAML::Node(YAML::NodeType::Map), errors);
    return errors.described();
}

result<node_settings> load_node_settings(const std::string& path)
{
    settings_errors errors(path);
    try
    {
        auto settings = read_settings(YAML::LoadFile(path), errors);
        if (errors.first())
        {
            return tl::unexpected<error>(*errors.first());
        }
        settings.file_ = path;
        return settings;
    }
    catch (const YAML::BadFile&)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format(
                "settings file \"{}\": expected a readable file", path));
    }
    catch (const YAML::Exception& failure)
    {
        errors.report(failure.mark, failure.msg);
        return tl::unexpected<error>(*errors.first());
    }
}

} // namespace hemlockshelf
