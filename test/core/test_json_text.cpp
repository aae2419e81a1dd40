#include "hemlockshelf/core/json_text.hpp"

#include <cstddef>
#include <string>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

std::string nested(std::size_t depth, const std::string& inner)
{
    return std::string(depth, '[') + inner + std::string(depth, ']');
}

} // namespace

// Guards against a deeply nested text that overflows the stack when the parsed
// value is copied or quoted in an error.
Test(json_text, a_deeply_nested_text_is_refused)
{
    constexpr std::size_t far_too_deep = 1'000'000;
    for (const auto depth : {max_json_depth + 1, far_too_deep})
    {
        const auto parsed = parse_json(nested(depth, "1"));
        cr_assert_not(parsed.has_value());
        cr_assert(parsed.error().kind_ == error_kind::bad_request);
        cr_assert_not(parse_json(std::string(depth, '{')).has_value());
        cr_assert_not(parse_json(std::string(depth, '[')).has_value());
    }
    const auto allowed = parse_json(nested(max_json_depth, "1"));
    cr_assert(allowed.has_value());
    cr_assert(to_json_text(*allowed) == nested(max_json_depth, "1"));
}

// Guards against brackets in strings and keys that count as nesting.
Test(json_text, brackets_in_strings_do_not_count)
{
    const std::string brackets(4 * max_json_depth, '[');
    const auto text = R"({"a\"[\\":")" + brackets + R"(\\","b":"\""})";
    const auto parsed = parse_json(text);
    cr_assert(parsed.has_value());
    cr_assert(parsed->at("b") == "\"");
}

// Guards against a number that no type can hold and that ends the reader.
Test(json_text, numbers_out_of_range_are_refused_or_kept_apart)
{
    cr_assert_not(parse_json("[1e400]").has_value());
    const auto large = parse_json("18446744073709551616");
    cr_assert(large.has_value());
    cr_assert_not(large->is_number_integer());
}

// Guards against an exception for text of a peer that is not UTF-8.
Test(json_text, bytes_that_are_not_utf_8_are_replaced)
{
    const nlohmann::json value{{"message", "instance \"\xff\""}};
    const auto parsed = parse_json(to_json_text(value));
    cr_assert(parsed.has_value());
}

// Guards against a text that ends the process, whatever it holds: what is
// parsed can be written and read again.
Test(json_text, any_text_is_refused_or_parsed)
{
    rc::check(
        []
        {
            const auto letters = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string("[]{}\",:\\0e-n \xff")));
            if (const auto parsed = parse_json(letters))
            {
                RC_ASSERT(parse_json(to_json_text(*parsed)).has_value());
            }
        });
}
