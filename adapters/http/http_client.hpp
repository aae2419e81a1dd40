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

/// Where a request goes and how long it may take.
struct http_target
{
    endpoint server_;
    /// Local address of the connection; empty lets the system choose.
    std::string source_address_;
    std::chrono::milliseconds timeout_{2000};
};

/// Sends a request on a new connection and reads the whole answer. The errors
/// are `unreachable` if the request was certainly not sent, and
/// `outcome_unknown` if the answer is missing.
boost::asio::awaitable<result<http_response>>
async_exchange(http_target target, http_request request);

/// Ends blocking exchanges from another thread. Thread-safe.
class exchange_canceller
{
public:
    /// Ends the exchanges in progress and every later one at its start.
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

/// Blocking form of `async_exchange`. An exchange that `canceller` (may be
/// null) ends has the error `outcome_unknown`.
result<http_response> blocking_exchange(
    const http_target& target,
    const http_request& request,
    exchange_canceller* canceller = nullptr);

/// Returns the wait of a whole or decimal number of seconds in `Retry-After`;
/// 0 if the answer names none, a date, or a wait of more than an hour.
std::chrono::milliseconds parse_retry_after(const http_response& answer);

/// Returns the error kind of a response that a platform gives instead of an
/// answer: `rate_limited`, `platform_unavailable` if the request certainly was
/// not executed, or `outcome_unknown`.
error_kind failed_status_kind(const http_response& response);

/// Returns the method and the target of a request and the status of its answer.
std::string describe(const http_request& request, const http_response& answer);

/// Makes a request with the headers that the project's servers expect.
http_request make_request(
    boost::beast::http::verb method,
    const std::string& path,
    const std::string& body = {});

} // namespace hemlockshelf

#endif
