#ifndef HEMLOCKSHELF_CONFIG_ROUTE_ROW_HPP
#define HEMLOCKSHELF_CONFIG_ROUTE_ROW_HPP

#include <chrono>
#include <string>

#include "hemlockshelf/config/traffic_class.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A row of the routes table: where a caller's requests go.
struct route_row
{
    /// Value of the request's `Host` header, without port.
    std::string host_;
    /// Prefix of the request's path; the longest matching prefix wins.
    std::string path_prefix_ = "/";
    /// Pool that serves the requests.
    row_key pool_;
    traffic_class class_ = traffic_class::standard;
    /// Upper limit of a request's deadline.
    std::chrono::milliseconds timeout_{2000};
    /// Whether POST and PATCH on this route are idempotent.
    bool idempotent_ = false;

    friend bool operator==(const route_row&, const route_row&) = default;
};

} // namespace hemlockshelf

#endif
