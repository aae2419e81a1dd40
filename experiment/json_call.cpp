#include "experiment/json_call.hpp"

#include "adapters/http/headers.hpp"
#include "adapters/http/http_client.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

json_answer send(const json_call& call)
{
    auto request = make_request(
        call.method_, call.path_,
        call.body_.is_null() ? std::string() : call.body_.dump());
    if (!call.token_.empty())
    {
        request.set(
            boost::beast::http::field::authorization, "Bearer " + call.token_);
    }
    const auto answer =
        blocking_exchange({call.server_, {}, call.timeout_}, request);
    if (!answer)
    {
        return {
            0,
            {},
            std::string(error_properties_of(answer.error().kind_).name_),
            {}};
    }
    const auto kind = (*answer)[headers::error];
    return {
        answer->result_int(),
        nlohmann::json::parse(answer->body(), nullptr, false),
        std::string(kind.data(), kind.size()), answer->body()};
}

} // namespace hemlockshelf
