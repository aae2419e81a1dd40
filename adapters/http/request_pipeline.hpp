#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_REQUEST_PIPELINE_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_REQUEST_PIPELINE_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "adapters/http/call_settings.hpp"
#include "adapters/http/connection_lease.hpp"
#include "adapters/http/http_connection.hpp"
#include "adapters/http/message_head.hpp"
#include "adapters/http/message_reader.hpp"

namespace hemlockshelf {

/// Owner of the connections to the sessions of a pipeline; they carry one
/// request each and are not counted.
class uncounted_connections final : public connection_owner
{
public:
    void release(
        const endpoint&, std::unique_ptr<http_connection>, steady_time) override
    {}
};

/// A request that is served by a session of its own.
struct started_request
{
    /// Brings the answer.
    std::unique_ptr<http_connection> connection_;
    /// Whether the answer has no body, whatever its head says.
    bool to_head_request_ = false;
};

/// Requests that a caller sent before it had the answer to an earlier one. Each
/// is served at once by a session of its own over a pair of local sockets, so
/// that none waits for the work on those before it; the answers are passed on
/// in the order of the requests. Only requests without a body that may run more
/// than once are taken: the caller sends again what it has no answer to. A
/// request that ends the connection is not taken either, because the session
/// closes the connection after the answer to a request that it serves itself.
/// The session takes none while it streams an answer.
class request_pipeline
{
public:
    /// Tells whether a request may run more than once.
    using filter = std::function<bool(request_head&)>;
    /// Serves the requests that come from a socket. Returns false if it can't;
    /// the request then waits for its turn.
    using starter = std::function<bool(http_connection::socket_type)>;

    request_pipeline(
        http_connection& client,
        const call_settings& settings,
        filter may_repeat,
        starter start);

    /// Starts the requests that the client's buffer holds as a whole.
    void start_buffered();

    /// Requests that were started and whose answers have not been taken.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return started_.size();
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return started_.empty();
    }

    /// Returns the request whose answer is due next.
    started_request next();

private:
    bool take_one();
    bool start_one(std::size_t size, bool to_head_request);

    http_connection& client_;
    const call_settings& settings_;
    filter may_repeat_;
    starter start_;
    std::deque<started_request> started_;
};

} // namespace hemlockshelf

#endif
