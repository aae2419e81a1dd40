#include "adapters/settings/settings_section.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "adapters/settings/units.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::hours longest_duration{24};

template <class Number>
std::optional<Number> parse_number(const std::string& text)
{
    Number value{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

std::string duration_text(std::chrono::microseconds value)
{
    const auto count = value.count();
    if (count % 1'000'000 == 0)
    {
        return fmt::format("{}s", count / 1'000'000);
    }
    if (count % 1000 == 0)
    {
        return fmt::format("{}ms", count / 1000);
    }
    return fmt::format("{}us", count);
}

} // namespace

settings_errors::settings_errors(std::string file) : file_(std::move(file)) {}

void settings_errors::describe(setting_info info)
{
    described_.push_back(std::move(info));
}

void settings_errors::report(const YAML::Mark& mark, const std::string& message)
{
    if (first_)
    {
        return;
    }
    first_ = error{
        error_kind::settings_invalid,
        fmt::format("{}:{}: {}", file_, mark.line + 1, message)};
}

settings_section::settings_section(
    const YAML::Node& node, std::string path, settings_errors& errors)
    : node_(node), path_(std::move(path)), errors_(errors)
{
    if (node_.IsDefined() && !node_.IsMap())
    {
        errors_.report(
            node_.Mark(), fmt::format(
                              "{}: expected a mapping of keys to values",
                              path_.empty() ? "file" : path_));
    }
}

settings_section settings_section::section(const std::string& name)
{
    return {take(name), path_ + name + ".", errors_};
}

std::string settings_section::required_text(const setting_key& key)
{
    describe(key, "text", "");
    auto value = scalar(key);
    if (!value || value->empty())
    {
        report(key, "expected text, given nothing");
        return {};
    }
    return std::move(*value);
}

std::string settings_section::text(const setting_key& key, std::string fallback)
{
    describe(key, "text", fallback.empty() ? "none" : fallback);
    return scalar(key).value_or(std::move(fallback));
}

endpoint settings_section::required_endpoint(const setting_key& key)
{
    describe(key, "<IPv4 address>:<port>", "");
    const auto value = scalar(key).value_or("");
    const auto parsed = parse_endpoint(value);
    if (!parsed)
    {
        report(key, parsed.error().message_);
        return {};
    }
    return *parsed;
}

endpoint
settings_section::optional_endpoint(const setting_key& key, endpoint fallback)
{
    if (!take(key.name_).IsDefined())
    {
        describe(key, "<IPv4 address>:<port>", "the bound address");
        return fallback;
    }
    return required_endpoint(key);
}

std::optional<endpoint>
settings_section::optional_endpoint(const setting_key& key)
{
    if (!take(key.name_).IsDefined())
    {
        describe(key, "<IPv4 address>:<port>", "none");
        return std::nullopt;
    }
    return required_endpoint(key);
}

std::vector<endpoint> settings_section::endpoints(const setting_key& key)
{
    describe(key, "list of <IPv4 address>:<port>", "empty");
    std::vector<endpoint> found;
    const auto list = take(key.name_);
    if (!list.IsDefined())
    {
        return found;
    }
    if (!list.IsSequence())
    {
        report(key, "expected a list of <IPv4 address>:<port>");
        return found;
    }
    for (const auto& item : list)
    {
        const auto parsed =
            parse_endpoint(item.IsScalar() ? item.Scalar() : std::string{});
        if (!parsed)
        {
            report(key, parsed.error().message_);
            return found;
        }
        found.push_back(*parsed);
    }
    return found;
}

bool settings_section::flag(const setting_key& key, bool fallback)
{
    describe(key, "true or false", fallback ? "true" : "false");
    const auto value = scalar(key);
    if (!value)
    {
        return fallback;
    }
    if (*value != "true" && *value != "false")
    {
        report(
            key, fmt::format("expected true or false, given \"{}\"", *value));
        return fallback;
    }
    return *value == "true";
}

std::uint64_t settings_section::count(
    const setting_key& key,
    std::uint64_t fallback,
    std::uint64_t low,
    std::uint64_t high)
{
    describe(
        key, fmt::format("whole number from {} to {}", low, high),
        fmt::to_string(fallback));
    const auto value = scalar(key);
    if (!value)
    {
        return fallback;
    }
    const auto parsed = parse_number<std::uint64_t>(*value);
    if (!parsed || *parsed < low || *parsed > high)
    {
        report(
            key, fmt::format(
                     "expected a whole number from {} to {}, given \"{}\"", low,
                     high, *value));
        return fallback;
    }
    return *parsed;
}

double settings_section::number(
    const setting_key& key, double fallback, double low, double high)
{
    describe(
        key, fmt::format("number from {} to {}", low, high),
        fmt::to_string(fallback));
    const auto value = scalar(key);
    if (!value)
    {
        return fallback;
    }
    const auto parsed = parse_number<double>(*value);
    if (!parsed || !(*parsed >= low && *parsed <= high))
    {
        report(
            key, fmt::format(
                     "expected a number from {} to {}, given \"{}\"", low, high,
                     *value));
        return fallback;
    }
    return *parsed;
}

std::chrono::microseconds settings_section::duration_value(
    const setting_key& key, std::chrono::microseconds fallback)
{
    describe(key, "duration from 1us to 24h", duration_text(fallback));
    const auto value = scalar(key);
    if (!value)
    {
        return fallback;
    }
    const auto parsed = parse_duration(*value);
    if (!parsed)
    {
        report(key, parsed.error().message_);
        return fallback;
    }
    if (parsed->count() == 0 || *parsed > longest_duration)
    {
        report(
            key,
            fmt::format(
                "expected a duration from 1us to 24h, given \"{}\"", *value));
        return fallback;
    }
    return *parsed;
}

byte_count settings_section::size(const setting_key& key, byte_count fallback)
{
    describe(key, "size", fmt::format("{}B", fallback.value()));
    const auto value = scalar(key);
    if (!value)
    {
        return fallback;
    }
    const auto parsed = parse_size(*value);
    if (!parsed)
    {
        report(key, parsed.error().message_);
        return fallback;
    }
    return *parsed;
}

std::string settings_section::choice(
    const setting_key& key,
    std::string fallback,
    const std::vector<std::string>& words)
{
    describe(key, fmt::format("one of {}", fmt::join(words, ", ")), fallback);
    auto value = scalar(key);
    if (!value)
    {
        return fallback;
    }
    if (std::ranges::find(words, *value) == words.end())
    {
        report(
            key, fmt::format(
                     "expected one of {}, given \"{}\"", fmt::join(words, ", "),
                     *value));
        return fallback;
    }
    return std::move(*value);
}

std::vector<std::pair<std::string, std::string>>
settings_section::text_pairs(const setting_key& key)
{
    describe(key, "mapping of text to text", "empty");
    std::vector<std::pair<std::string, std::string>> pairs;
    const auto mapping = take(key.name_);
    if (!mapping.IsDefined())
    {
        return pairs;
    }
    if (!mapping.IsMap())
    {
        report(key, "expected a mapping of text to text");
        return pairs;
    }
    for (const auto& item : mapping)
    {
        if (!item.first.IsScalar() || !item.second.IsScalar())
        {
            report(key, "expected a mapping of text to text");
            return pairs;
        }
        pairs.emplace_back(item.first.Scalar(), item.second.Scalar());
    }
    return pairs;
}

void settings_section::describe(
    const setting_key& key, std::string type, std::string fallback)
{
    errors_.describe(
        {path_ + key.name_, std::move(type), std::move(fallback), key.help_});
}

void settings_section::report(
    const setting_key& key, const std::string& message)
{
    const auto node = take(key.name_);
    auto mark = YAML::Mark::null_mark();
    if (node.IsDefined())
    {
        mark = node.Mark();
    }
    else if (node_.IsDefined())
    {
        mark = node_.Mark();
    }
    errors_.report(mark, fmt::format("{}{}: {}", path_, key.name_, message));
}

void settings_section::reject_unknown_keys()
{
    if (!node_.IsMap())
    {
        return;
    }
    for (const auto& item : node_)
    {
        const auto key = item.first.as<std::string>("");
        if (!known_.contains(key))
        {
            errors_.report(
                item.first.Mark(), fmt::format(
                                       "{}{}: unknown key; expected one of {}",
                                       path_, key, fmt::join(known_, ", ")));
        }
    }
}

YAML::Node settings_section::take(const std::string& name)
{
    known_.insert(name);
    // The node that yaml-cpp returns for an absent key throws when asked for
    // its type, unlike an undefined one.
    const YAML::Node undefined(YAML::NodeType::Undefined);
    if (!node_.IsMap())
    {
        return undefined;
    }
    const auto found = std::as_const(node_)[name];
    return found.IsDefined() ? found : undefined;
}

std::optional<std::string> settings_section::scalar(const setting_key& key)
{
    const auto node = take(key.name_);
    if (!node.IsDefined())
    {
        return std::nullopt;
    }
    if (!node.IsScalar())
    {
        report(key, "expected a single value");
        return std::nullopt;
    }
    return node.Scalar();
}

} // namespace hemlockshelf
