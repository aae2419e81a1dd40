#include "adapters/settings/units.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against a unit that is read as another one.
Test(units, durations_carry_their_unit)
{
    cr_assert(*parse_duration("250us") == std::chrono::microseconds{250});
    cr_assert(*parse_duration("500ms") == std::chrono::milliseconds{500});
    cr_assert(*parse_duration("3s") == std::chrono::seconds{3});
    cr_assert(*parse_duration("2m") == std::chrono::minutes{2});
    cr_assert(*parse_duration("1h") == std::chrono::hours{1});
}

// Guards against a bare number whose unit would have to be guessed.
Test(units, a_duration_without_a_known_unit_is_refused)
{
    for (const auto* text :
         {"", "5", "s", "5 s", "5sec", "-1s", "1.5s", "99999999999999999999s"})
    {
        cr_assert_not(parse_duration(text).has_value(), "%s", text);
    }
}

// Guards against sizes that mix decimal and binary units.
Test(units, sizes_carry_their_unit)
{
    cr_assert(*parse_size("64KiB") == byte_count{65536});
    cr_assert(*parse_size("2MiB") == byte_count{2097152});
    cr_assert(*parse_size("7B") == byte_count{7});
    cr_assert_not(parse_size("64KB").has_value());
    cr_assert_not(parse_size("64").has_value());
}
