#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CALLER_PROTOCOL_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CALLER_PROTOCOL_HPP

#include <optional>
#include <string>

#include "adapters/http/headers.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Names of the header fields that callers and upstreams exchange with a node.
/// A deployment may replace the defaults. Nodes always use the default names
/// among themselves.
struct caller_protocol
{
    std::string request_id_ = headers::request_id;
    std::string deadline_ms_ = headers::deadline_ms;
    /// Account of every call; if empty, each call names its account.
    std::optional<client_account_id> account_;
    /// Header by which an upstream says that it did not run the request;
    /// empty if only the pool's row says so.
    std::string not_run_;
    /// Header that names the upstream instance for which a request is meant;
    /// empty if upstreams do not use one.
    std::string target_instance_;
    /// Header that names the service on the VM where the request began, and its
    /// value; not sent if the name is empty.
    std::string caller_service_;
    std::string caller_service_value_;
    /// Header that names the client account of the caller's API key to the
    /// upstream; empty if callers do not authenticate with API keys.
    std::string account_header_;
    /// Header that every successful answer of an upstream carries; an answer
    /// without it came from something else. Empty if upstreams do not use one.
    std::string signature_;
};

} // namespace hemlockshelf

#endif
