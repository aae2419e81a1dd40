#include "hemlockshelf/core/json_text.hpp"

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

/// Returns whether the brackets outside of strings are nested at most
/// `max_json_depth` deep. The text need not be JSON.
bool is_shallow(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        const char letter = text[index];
        if (in_string)
        {
            // The letter after a backslash does not end the string.
            index += letter == '\\' ? 1 : 0;
            in_string = letter != '"';
            continue;
        }
        switch (letter)
        {
        case '"':
            in_string = true;
            break;
        case '[':
        case '{':
            if (++depth > max_json_depth)
            {
                return false;
            }
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        default:
            break;
        }
    }
    return true;
}

} // namespace

result<nlohmann::json> parse_json(std::string_view text)
{
    if (!is_shallow(text))
    {
        return make_error(
            error_kind::bad_request,
            fmt::format(
                "body: expected JSON nested at most {} deep, given a deeper "
                "one",
                max_json_depth));
    }
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
    {
        return make_error(
            error_kind::bad_request, "body: expected JSON, given other text");
    }
    return json;
}

std::string to_json_text(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hemlockshelf
