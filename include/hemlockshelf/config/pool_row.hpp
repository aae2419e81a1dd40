#ifndef HEMLOCKSHELF_CONFIG_POOL_ROW_HPP
#define HEMLOCKSHELF_CONFIG_POOL_ROW_HPP

#include <cstdint>
#include <set>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A row of the pools table, which selects the upstreams of a service.
struct pool_row
{
    /// Service name that the upstreams of the pool announce, under the account
    /// that owns the pool.
    service_name service_;
    /// Other accounts whose routes may reference the pool.
    std::set<client_account_id> shared_with_;
    /// Whether a 503 response of an upstream guarantees that the request was
    /// not processed, so that it can be retried safely.
    bool shed_is_not_run_ = false;
    /// Maximum number of concurrent calls per entry node.
    std::uint32_t max_concurrent_calls_ = 200;

    friend bool operator==(const pool_row&, const pool_row&) = default;
};

} // namespace hemlockshelf

#endif
