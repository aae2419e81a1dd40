#ifndef HEMLOCKSHELF_EXPERIMENT_NODE_PLACE_HPP
#define HEMLOCKSHELF_EXPERIMENT_NODE_PLACE_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "adapters/http/endpoint.hpp"
#include "experiment/address_block.hpp"
#include "experiment/deployment.hpp"

namespace hemlockshelf {

/// Names and addresses of one node and its upstream.
struct node_place
{
    std::string vm_;
    std::string domain_;
    std::string region_;
    std::string service_;
    std::string source_address_;
    endpoint calls_;
    endpoint gate_;
    endpoint control_;
    endpoint admin_;
    endpoint upstream_;
    /// Relayed addresses, which peers use.
    endpoint advertised_gate_;
    endpoint advertised_control_;
    /// Address under which the node reaches the platform.
    endpoint platform_;
};

/// Spreads `count` nodes over the failure domains and services.
std::vector<node_place> make_places(
    const deployment& mesh, const address_block& block, std::size_t count);

/// Address of the platform itself.
endpoint platform_endpoint(const address_block& block);

/// Address of the relay to the platform in the failure domain with the given
/// index.
endpoint
platform_relay_endpoint(const address_block& block, std::size_t domain);

/// Address of the link stand-in's own interface.
endpoint link_endpoint(const address_block& block);

/// Returns the third octet of the addresses of a failure domain.
std::size_t domain_number(std::size_t domain);

} // namespace hemlockshelf

#endif
