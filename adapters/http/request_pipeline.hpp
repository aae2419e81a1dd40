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

/// Owner of the local connections to the sessions of a pipeline. They carry one
/// request each and are neither counted nor reused.
class uncounted_connections final : public connection_owner
{
public:
    void release(
        const endpoint&, std::unique_ptr<http_connection>, steady_time) override
    {}
};

/// A pipelined request that a session of its own serves.
struct started_request
{
    /// Connection on which the answer arrives.
    std::unique_ptr<http_connection> connection_;
    /// Whether the answer has no body, even if its head has a length.
    bool to_head_request_ = false;
};

/// Pipelined requests of a caller: those that it sent before the answer to an
/// earlier request. Each is served at once by a session of its own over a pair
/// of local sockets, so that it doesn't wait for earlier requests; the answers
/// are forwarded in the order of the requests. Accepts only requests without a
/// body that may run more than once, because the caller resends a request that
/// got no answer. Doesn't accept a request that ends the connection, because
/// the session closes the connection only after a request that it serves
/// itself. While the session streams an answer, it starts no pipelined
/// requests.
class request_pipeline
{
public:
    /// Returns whether a request may run more than once.
    using filter = std::function<bool(request_head&)>;
    /// Starts a session that serves the requests on a socket. Returns false if
    /// it can't; the request is then served after the earlier ones.
    using starter = std::function<bool(http_connection::socket_type)>;

    request_pipeline(
        http_connection& client,
        const call_settings& settings,
        filter may_repeat,
        starter start);

    /// Starts the complete requests at the start of the client's buffer.
    void start_buffered();

    /// Number of started requests that `next` has not returned.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return started_.size();
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return started_.empty();
    }

    /// Removes and returns the oldest started request, whose answer is due
    /// next.
    started_request next();

private:
    bool start_next();
    bool start_request(std::size_t size, bool to_head_request);

    http_connection& client_;
    const call_settings& settings_;
    filter may_repeat_;
    starter start_;
    std::deque<started_request> started_;
};

} // namespace hemlockshelf

#endif
