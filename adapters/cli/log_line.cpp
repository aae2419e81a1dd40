#include "adapters/cli/log_line.hpp"

#include <ctime>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/json_text.hpp"

namespace hemlockshelf {

namespace {

constexpr std::size_t date_size = 10;

/// Reads `2026-12-04T09:00:00.123...`.
std::optional<std::chrono::milliseconds> read_time(const std::string& text)
{
    std::tm parts{};
    const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr || *rest != '.')
    {
        return std::nullopt;
    }
    return std::chrono::seconds(::timegm(&parts)) +
           std::chrono::milliseconds(std::atoi(rest + 1));
}

std::string to_text(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::optional<log_line> parse_json_line(std::string_view text)
{
    const auto json = parse_json(text).value_or(nullptr);
    if (!json.is_object() || !json.contains("event") || !json.contains("time"))
    {
        return std::nullopt;
    }
    log_line line;
    const auto time = read_time(to_text(json.at("time")));
    if (!time)
    {
        return std::nullopt;
    }
    line.time_ = *time;
    for (const auto& item : json.items())
    {
        line.fields_[item.key()] = to_text(item.value());
    }
    line.vm_ = line.fields_["vm"];
    line.event_ = line.fields_["event"];
    line.text_ = json.dump();
    return line;
}

/// Takes `name="text"` or `name=value` from the front of `rest`.
std::optional<std::pair<std::string, std::string>>
take_field(std::string_view& rest)
{
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    std::string value;
    if (!rest.empty() && rest.front() == '"')
    {
        std::size_t end = 1;
        while (end < rest.size() && rest[end] != '"')
        {
            end += rest[end] == '\\' ? 2 : 1;
        }
        end = std::min(end, rest.size());
        value = rest.substr(1, end - 1);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    else
    {
        const auto end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
    }
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    return std::pair{std::move(name), std::move(value)};
}

/// Returns where the time of a text line starts.
std::size_t find_time(std::string_view text)
{
    for (std::size_t at = 0; at + date_size < text.size(); ++at)
    {
        if (text[at + 4] == '-' && text[at + 7] == '-' &&
            text[at + date_size] == 'T')
        {
            return at;
        }
    }
    return std::string_view::npos;
}

std::optional<log_line> parse_text_line(std::string_view text)
{
    const auto start = find_time(text);
    if (start == std::string_view::npos)
    {
        return std::nullopt;
    }
    text.remove_prefix(start);
    const auto time = read_time(std::string(text));
    const auto origin = text.find("vm=");
    if (!time || origin == std::string_view::npos)
    {
        return std::nullopt;
    }
    text.remove_prefix(origin);
    log_line line;
    line.time_ = *time;
    const auto vm = take_field(text);
    const auto domain = take_field(text);
    if (!vm || !domain || domain->first != "failure_domain")
    {
        return std::nullopt;
    }
    line.vm_ = vm->second;
    line.text_ = text;
    const auto end = std::min(text.find(' '), text.size());
    line.event_ = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (const auto field = take_field(text))
    {
        line.fields_.insert(*field);
    }
    return line;
}

} // namespace

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto brace = text.find('{');
    if (brace != std::string_view::npos && text.find("\"event\"") > brace)
    {
        if (auto line = parse_json_line(text.substr(brace)))
        {
            return line;
        }
    }
    return parse_text_line(text);
}

} // namespace hemlockshelf
