#include "adapters/cli/rows_file.hpp"

#include <charconv>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace hemlockshelf {

namespace {

/// Converts a plain scalar; quoted ones stay text.
nlohmann::json scalar_to_json(const YAML::Node& node)
{
    const auto& text = node.Scalar();
    const bool quoted = node.Tag() == "!";
    if (!quoted && (text == "true" || text == "false"))
    {
        return text == "true";
    }
    std::int64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool is_number =
        !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
    if (quoted || !is_number)
    {
        return text;
    }
    if (number >= 0)
    {
        return static_cast<std::uint64_t>(number);
    }
    return number;
}

nlohmann::json to_json(const YAML::Node& node)
{
    if (node.IsScalar())
    {
        return scalar_to_json(node);
    }
    if (node.IsSequence())
    {
        auto list = nlohmann::json::array();
        for (const auto& item : node)
        {
            list.push_back(to_json(item));
        }
        return list;
    }
    if (node.IsMap())
    {
        auto object = nlohmann::json::object();
        for (const auto& item : node)
        {
            object[item.first.as<std::string>()] = to_json(item.second);
        }
        return object;
    }
    return nullptr;
}

nlohmann::json
make_edit(const std::string& table, const std::string& key, nlohmann::json row)
{
    nlohmann::json edit{{"table", table}, {"key", key}};
    if (row.is_object() && row.contains("expected_version"))
    {
        edit["expected_version"] = row.at("expected_version");
        row.erase("expected_version");
    }
    // A row that holds nothing but the expected version is a deletion too.
    edit["row"] = row.is_object() && row.empty() ? nullptr : std::move(row);
    return edit;
}

nlohmann::json read_rows(const YAML::Node& root)
{
    if (!root.IsMap())
    {
        throw YAML::Exception(
            root.Mark(), "expected a mapping with \"pools\" and \"routes\"");
    }
    auto edits = nlohmann::json::array();
    for (const auto& table : root)
    {
        const auto name = table.first.as<std::string>();
        if (name != "pools" && name != "routes")
        {
            throw YAML::Exception(
                table.first.Mark(),
                fmt::format("expected pools or routes, given \"{}\"", name));
        }
        if (!table.second.IsMap())
        {
            throw YAML::Exception(
                table.second.Mark(),
                fmt::format("{}: expected a mapping of keys to rows", name));
        }
        for (const auto& row : table.second)
        {
            edits.push_back(make_edit(
                name, row.first.as<std::string>(), to_json(row.second)));
        }
    }
    return edits;
}

} // namespace

result<nlohmann::json>
parse_rows(const std::string& text, const std::string& name)
{
    try
    {
        return read_rows(YAML::Load(text));
    }
    catch (const YAML::Exception& failure)
    {
        return make_error(
            error_kind::usage,
            fmt::format("{}:{}: {}", name, failure.mark.line + 1, failure.msg));
    }
}

result<nlohmann::json> load_rows_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return make_error(
            error_kind::usage,
            fmt::format("rows file \"{}\": expected a readable file", path));
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return parse_rows(text, path);
}

} // namespace hemlockshelf
