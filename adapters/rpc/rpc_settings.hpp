#ifndef HEMLOCKSHELF_ADAPTERS_RPC_RPC_SETTINGS_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_RPC_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "adapters/http/endpoint.hpp"
#include "hemlockshelf/dissemination/push_plan.hpp"

namespace hemlockshelf {

/// Identity, addresses and limits of the control network of one node.
struct rpc_settings
{
    tree_member self_;
    endpoint listen_;
    /// Local address of outgoing connections; empty lets the system choose.
    std::string source_address_;
    /// Outgoing connections without calls for this long are closed.
    std::chrono::milliseconds idle_timeout_{60'000};
    /// Incoming connections without a byte for this long are closed. Longer
    /// than `idle_timeout_`, so that the caller's side closes first.
    std::chrono::milliseconds silence_timeout_{90'000};
    std::chrono::milliseconds sweep_interval_{5000};
    /// Further incoming connections are closed at once.
    std::size_t max_incoming_ = 1024;
};

/// A node to call.
struct peer_address
{
    endpoint endpoint_;
    /// Label of its bytes: `local`, `domain` or `region`; empty if it is not
    /// yet known.
    std::string_view scope_;
};

/// Returns the label under which bytes between two nodes are counted.
std::string_view
scope_between(const tree_member& self, const tree_member& peer);

} // namespace hemlockshelf

#endif
