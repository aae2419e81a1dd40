#ifndef HEMLOCKSHELF_CONFIG_ROUTE_ROW_HPP
#define HEMLOCKSHELF_CONFIG_ROUTE_ROW_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "hemlockshelf/config/traffic_class.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A pool of a split route and the pool's share of the requests.
struct pool_share
{
    row_key pool_;
    /// Weight relative to the sum of the weights of the route.
    std::uint32_t weight_ = 1;

    friend bool operator==(const pool_share&, const pool_share&) = default;
};

/// A row of the routes table, which maps requests of a caller to a pool.
struct route_row
{
    /// Value of the request's `Host` header, without port.
    std::string host_;
    /// Prefix of the request's path; the longest matching prefix wins.
    std::string path_prefix_ = "/";
    /// Pool that serves the requests.
    row_key pool_;
    traffic_class class_ = traffic_class::standard;
    /// Upper limit of the deadline of a request.
    std::chrono::milliseconds timeout_{2000};
    /// Whether POST and PATCH on this route are idempotent.
    bool idempotent_ = false;
    /// Whether `idempotent_` applies to every method. Otherwise GET, HEAD,
    /// OPTIONS, PUT and DELETE always count as idempotent.
    bool ignore_method_ = false;
    /// Latency up to which a response has its full value for the caller; 0 if
    /// the row sets none.
    std::chrono::milliseconds target_latency_{0};
    /// Priority among routes that share an upstream; 0 is the highest.
    std::uint32_t priority_ = default_priority;
    /// Maximum number of upstreams that one request is sent to; 0 uses the
    /// limit of the node's settings.
    std::uint32_t max_attempts_ = 0;
    /// Pools among which the requests are split by weight; the first one equals
    /// `pool_`. Empty if `pool_` receives all requests.
    std::vector<pool_share> split_;
    /// Whether callers need no API key, in a deployment with client accounts.
    bool public_ = false;

    /// Priority of a route whose row sets none.
    static constexpr std::uint32_t default_priority = 1;

    friend bool operator==(const route_row&, const route_row&) = default;
};

} // namespace hemlockshelf

#endif
