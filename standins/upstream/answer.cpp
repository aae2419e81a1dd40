#include "standins/upstream/answer.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "adapters/http/json_server.hpp"

namespace hemlockshelf {

namespace {

constexpr std::uint64_t max_number = 16ULL * 1024 * 1024;

std::uint64_t number_parameter(const http_request& request, const char* name)
{
    const auto text = query_parameter(request, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return std::min(number, max_number);
}

} // namespace

std::string request_id_of(const http_request& request)
{
    const auto path = path_of(request);
    return path.substr(path.rfind('/') + 1);
}

std::chrono::milliseconds work_of(const http_request& request)
{
    return std::chrono::milliseconds{number_parameter(request, "work_ms")};
}

nlohmann::json answer_fields(const http_request& request)
{
    const auto& body = request.body();
    nlohmann::json fields{
        {"request_id", request_id_of(request)},
        {"body_id", body.substr(0, body.find(' '))},
        {"body_bytes", body.size()}};
    const auto filling = number_parameter(request, "answer_bytes");
    if (filling > 0)
    {
        fields["filling"] = std::string(filling, 'x');
    }
    return fields;
}

} // namespace hemlockshelf
