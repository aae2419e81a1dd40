#include "platform/wire_values.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

// Guards against confusing seconds and milliseconds.
Test(wire_values, reads_durations_with_both_units)
{
    cr_assert(read_duration("1500ms") == 1500ms);
    cr_assert(read_duration("2.5s") == 2500ms);
    cr_assert(read_duration("0ms") == 0ms);
    for (const auto* text : {"", "12", "ms", "-1ms", "1m", "1e30s", "1 ms"})
    {
        cr_assert(!read_duration(text), "%s", text);
    }
}

Test(wire_values, reads_revisions)
{
    cr_assert(read_revision("r12") == revision{12});
    for (const auto* text :
         {"", "r", "12", "r-1", "r1x", "r99999999999999999999"})
    {
        cr_assert(!read_revision(text), "%s", text);
    }
}

// Guards against values that change when they are stored and read back.
Test(wire_values, base64_returns_every_value)
{
    cr_assert(rc::check(
        [](const std::string& bytes)
        {
            RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes);
        }));
    for (const auto* text : {"a", "ab=", "====", "a=b=", "*mw="})
    {
        cr_assert(!decode_base64(text), "%s", text);
    }
}
