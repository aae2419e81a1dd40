#ifndef HEMLOCKSHELF_NODE_CONTROL_CONTEXT_HPP
#define HEMLOCKSHELF_NODE_CONTROL_CONTEXT_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "adapters/rpc/control_network.hpp"
#include "adapters/settings/node_settings.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/dissemination/loop_delay.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "node/config_manager.hpp"

namespace hemlockshelf {

/// State that the components of the control plane share. It is used on the
/// control loop only, as are the components.
struct control_context
{
    const node_settings& settings_;
    const clock& time_;
    member_table& members_;
    config_manager& config_;
    metric_sink& metrics_;
    tree_member self_;
    control_network& network_;
    /// Control addresses for a first contact, from the settings and from the
    /// platform's directory.
    std::vector<endpoint> bootstrap_contacts_;
    std::mt19937_64 random_{std::random_device{}()};
    loop_delay loop_delay_{};
    /// Latest era of the platform's tables that this node has heard of.
    platform_era platform_era_{};
};

/// Returns whether a member may answer, that is, it is neither down nor has it
/// left.
bool may_answer(const member_entry& entry);

tree_member to_tree_member(const member_record& record);

/// Returns the control address of a member, or nothing if it is unknown.
std::optional<peer_address>
address_of(const control_context& context, const member_record& record);
std::optional<peer_address>
address_of(const control_context& context, const vm_id& vm);

/// Returns the other members of a failure domain that may answer.
std::vector<vm_id>
peers_in(const control_context& context, const failure_domain_id& domain);

/// Returns this node's index among the chosen nodes, if it is one of them.
std::optional<std::size_t>
rank_among(const control_context& context, const std::vector<vm_id>& chosen);

/// Returns this node's rank, from 0, in the rendezvous order of its failure
/// domain, or nothing if it is not among the first `count`.
std::optional<std::size_t>
rendezvous_rank(const control_context& context, std::size_t count);

/// Returns this node's rank among the platform readers of its failure domain,
/// or nothing if it is not among the first `count`.
std::optional<std::size_t>
reader_rank(const control_context& context, std::size_t count);

/// Returns the greatest delay of the control loop within the last seconds.
std::chrono::milliseconds recent_loop_delay(const control_context& context);

/// Records an era of the platform's tables. Earlier ones than the latest have
/// no effect, because answers and messages may be delayed.
void record_platform_era(control_context& context, platform_era era);

/// Returns a heartbeat with this node's incarnation, revision, configuration
/// hash and membership digest.
heartbeat_message own_heartbeat(const control_context& context);

} // namespace hemlockshelf

#endif
