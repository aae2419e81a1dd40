#include "experiment/call_answer.hpp"

#include <nlohmann/json.hpp>

#include "adapters/http/headers.hpp"

namespace hemlockshelf {

namespace {

void read_served(const http_response& response, request_record& record)
{
    const auto json = nlohmann::json::parse(response.body(), nullptr, false);
    record.result_ = request_result::served;
    if (!json.is_object())
    {
        return;
    }
    record.answered_id_ = request_id{json.value("request_id", "")};
    // The upstream identifies the body it received by its first word.
    const request_id body_id{json.value("body_id", "")};
    if (body_id != record.id_)
    {
        record.answered_id_ = body_id;
    }
    record.answered_body_bytes_ = json.value("body_bytes", std::uint64_t{0}) +
                                  json.value("filling", "").size();
}

} // namespace

void read_call_answer(const http_response& response, request_record& record)
{
    const auto error = response[headers::error];
    record.error_ = std::string(error.data(), error.size());
    if (response.result() == boost::beast::http::status::ok)
    {
        read_served(response, record);
        return;
    }
    const bool not_run = response.count(headers::not_run) > 0;
    record.result_ =
        not_run ? request_result::not_run : request_result::unknown;
}

} // namespace hemlockshelf
