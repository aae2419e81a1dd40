#include <chrono>
#include <map>
#include <string>

#include "adapters/http/http_client.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using std::chrono::milliseconds;

// Guards against a client that calls a limited server again at once because it
// reads decimal seconds as no wait, or waits for good on a bad value.
Test(http_client, retry_after_is_read_in_whole_and_decimal_seconds)
{
    const std::map<std::string, milliseconds> waits{
        {"2", milliseconds{2000}},  {"0.25", milliseconds{250}},
        {"1.5 s", milliseconds{0}}, {"nan", milliseconds{0}},
        {"-1", milliseconds{0}},    {"1e3", milliseconds{0}},
        {"3601", milliseconds{0}},  {"", milliseconds{0}}};
    for (const auto& [text, wait] : waits)
    {
        http_response answer;
        answer.set(boost::beast::http::field::retry_after, text);
        cr_expect(parse_retry_after(answer) == wait, "%s", text.c_str());
    }
}
