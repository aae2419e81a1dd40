#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_CLIENT_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_CLIENT_HPP

#include <chrono>
#include <mutex>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_message.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Server, source address and timeout of a request.
struct http_target
{
    endpoint server_;
    /// Local address of the connection; empty lets the system choose.
    std::string source_address_;
    std::chrono::milliseconds timeout_{2000};
};

/// Sends a request on a new connection and reads the whole answer. The errors
/// are `unreachable` if the request was certainly not sent, and
/// `outcome_unknown` if the answer is missing or invalid.
boost::asio::awaitable<result<http_response>>
async_exchange(http_target target, http_request request);

/// Cancels blocking exchanges from another thread. Thread-safe.
class exchange_canceller
{
public:
    /// Cancels the exchanges in progress; later ones fail at once.
    void cancel();

private:
    friend result<http_response> blocking_exchange(
        const http_target&, const http_request&, exchange_canceller*);

    bool add(boost::asio::io_context& context);
    void remove(boost::asio::io_context& context);

    std::mutex mutex_;
    std::set<boost::asio::io_context*> running_;
    bool cancelled_ = false;
};

/// Blocking form of `async_exchange`. `canceller` may be null; an exchange that
/// it cancels while in progress fails with `outcome_unknown`, one that starts
/// later with `unreachable`.
result<http_response> blocking_exchange(
    const http_target& target,
    const http_request& request,
    exchange_canceller* canceller = nullptr);

/// Returns the wait from `Retry-After`, a whole or decimal number of seconds; 0
/// if the header is absent, is a date or exceeds an hour.
std::chrono::milliseconds parse_retry_after(const http_response& answer);

/// Returns the error kind of a failed response of a platform: `rate_limited`,
/// `platform_unavailable` if the request was certainly not executed, or
/// `outcome_unknown`.
error_kind failed_status_kind(const http_response& response);

/// Returns the method and target of a request and the status of its answer, for
/// messages.
std::string describe(const http_request& request, const http_response& answer);

/// Creates a request with the headers that the project's servers expect.
http_request make_request(
    boost::beast::http::verb method,
    const std::string& path,
    const std::string& body = {});

} // namespace hemlockshelf

#endif
