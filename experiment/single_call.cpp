#include "experiment/single_call.hpp"

#include <fmt/format.h>

#include "adapters/http/headers.hpp"
#include "adapters/http/http_client.hpp"
#include "experiment/call_answer.hpp"
#include "experiment/wait.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

request_record send_call(const single_call& call)
{
    request_record record;
    record.id_ = request_id{call.id_};
    auto request = make_request(
        boost::beast::http::verb::put, "/items/" + call.id_, call.id_ + " ");
    request.set(boost::beast::http::field::host, call.host_);
    request.set(headers::account, call.account_);
    request.set(headers::request_id, call.id_);
    record.sent_body_bytes_ = request.body().size();
    record.sent_at_ = event_now();
    const auto answer =
        blocking_exchange({call.entry_, {}, std::chrono::seconds{5}}, request);
    record.answered_at_ = event_now();
    if (answer)
    {
        read_call_answer(*answer, record);
    }
    else
    {
        record.error_ = error_properties_of(answer.error().kind_).name_;
    }
    return record;
}

bool call_until_served(
    const single_call& call,
    std::chrono::milliseconds timeout,
    std::vector<request_record>& records)
{
    auto next = call;
    int tries = 0;
    return wait_until(
        timeout,
        [&]
        {
            next.id_ =
                fmt::format("{}-{}-{}", call.id_, records.size(), ++tries);
            records.push_back(send_call(next));
            return records.back().result_ == request_result::served;
        });
}

} // namespace hemlockshelf
