#include "adapters/http/refusal.hpp"

#include <chrono>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "adapters/http/headers.hpp"
#include "adapters/http/message_head.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "hemlockshelf/core/json_text.hpp"

namespace hemlockshelf {

namespace http = boost::beast::http;

std::string refusal_text(
    const error& failure,
    bool may_claim_not_run,
    bool keep_connection,
    std::string_view extra_fields)
{
    const auto& answer = error_properties_of(failure.kind_);
    const auto body =
        to_json_text({{"error", answer.name_}, {"message", failure.message_}}) +
        "\n";
    http::response_header<> head;
    head.result(static_cast<unsigned>(answer.http_status_));
    std::string text;
    append_head(text, head);
    append_field(text, "Content-Type", "application/json");
    append_field(text, "Content-Length", body.size());
    append_field(text, headers::error, answer.name_);
    if (may_claim_not_run && answer.execution_ == execution::not_run)
    {
        append_field(text, headers::not_run, "true");
    }
    if (failure.retry_after_.count() > 0 &&
        answer.retry_ == retry_advice::after_delay)
    {
        append_field(
            text, "Retry-After",
            fmt::format(
                "{:.3f}",
                std::chrono::duration<double>(failure.retry_after_).count()));
    }
    if (!keep_connection)
    {
        append_field(text, "Connection", "close");
    }
    text.append(extra_fields).append("\r\n").append(body);
    return text;
}

} // namespace hemlockshelf
