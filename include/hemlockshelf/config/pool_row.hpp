#ifndef HEMLOCKSHELF_CONFIG_POOL_ROW_HPP
#define HEMLOCKSHELF_CONFIG_POOL_ROW_HPP

#include <cstdint>
#include <set>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// A row of the pools table: which upstreams serve a service.
struct pool_row
{
    /// Service that the pool's upstreams announce for the pool's account.
    service_name service_;
    /// Other accounts whose routes may use the pool.
    std::set<client_account_id> shared_with_;
    /// Whether a 503 of an upstream proves that the request was not run.
    bool shed_is_not_run_ = false;
    /// Limit of concurrent calls per entry node.
    std::uint32_t max_concurrent_calls_ = 200;

    friend bool operator==(const pool_row&, const pool_row&) = default;
};

} // namespace hemlockshelf

#endif
