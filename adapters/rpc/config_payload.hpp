#ifndef HEMLOCKSHELF_ADAPTERS_RPC_CONFIG_PAYLOAD_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_CONFIG_PAYLOAD_HPP

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hemlockshelf/config/config_delta.hpp"
#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// A delta with the time at which its edit was accepted, for measuring the
/// convergence time.
struct accepted_delta
{
    config_delta delta_;
    wall_time accepted_at_;
};

/// Returns deltas as JSON, compressed unless it is short. The list must not be
/// empty.
std::string encode_deltas(const std::vector<accepted_delta>& deltas);

/// Reads what `encode_deltas` wrote. The error is `invalid_row`.
result<std::vector<accepted_delta>> decode_deltas(std::string_view payload);

/// Returns a whole snapshot as compressed JSON.
std::string encode_snapshot(const config_snapshot& snapshot);

/// Reads what `encode_snapshot` wrote. The errors are `invalid_row` and
/// `hash_mismatch`.
result<std::shared_ptr<const config_snapshot>>
decode_snapshot(std::string_view payload);

} // namespace hemlockshelf

#endif
