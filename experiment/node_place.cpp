#include "experiment/node_place.hpp"

#include <fmt/format.h>

namespace hemlockshelf {

namespace {

constexpr std::uint16_t platform_port = 7000;
constexpr std::uint16_t calls_port = 7001;
constexpr std::uint16_t gate_port = 7002;
constexpr std::uint16_t control_port = 7003;
constexpr std::uint16_t admin_port = 7004;
constexpr std::uint16_t upstream_port = 7005;
constexpr std::uint16_t relayed_gate_port = 8002;
constexpr std::uint16_t relayed_control_port = 8003;
constexpr std::uint16_t link_port = 7100;
/// Octets that do not occur in the addresses of nodes.
constexpr std::size_t platform_octet = 250;
constexpr std::size_t link_octet = 251;

node_place make_place(
    const deployment& mesh, const address_block& block, std::size_t index)
{
    const auto domain = index % mesh.domains_.size();
    const auto row = index / mesh.domains_.size();
    const auto third_octet = domain_number(domain);
    const auto fourth_octet = row + 1;
    node_place place;
    place.domain_ = mesh.domains_[domain].name_;
    place.region_ = mesh.domains_[domain].region_;
    place.service_ = mesh.services_[row % mesh.services_.size()];
    place.vm_ =
        fmt::format("{}-{}-{}", place.service_, place.domain_, fourth_octet);
    place.source_address_ = block.address(third_octet, fourth_octet);
    place.calls_ = block.at(third_octet, fourth_octet, calls_port);
    place.gate_ = block.at(third_octet, fourth_octet, gate_port);
    place.control_ = block.at(third_octet, fourth_octet, control_port);
    place.admin_ = block.at(third_octet, fourth_octet, admin_port);
    place.upstream_ = block.at(third_octet, fourth_octet, upstream_port);
    place.advertised_gate_ =
        block.at(third_octet, fourth_octet, relayed_gate_port);
    place.advertised_control_ =
        block.at(third_octet, fourth_octet, relayed_control_port);
    place.platform_ = platform_relay_endpoint(block, domain);
    return place;
}

} // namespace

std::vector<node_place> make_places(
    const deployment& mesh, const address_block& block, std::size_t count)
{
    std::vector<node_place> places;
    for (std::size_t index = 0; index < count; ++index)
    {
        places.push_back(make_place(mesh, block, index));
    }
    return places;
}

endpoint platform_endpoint(const address_block& block)
{
    return block.at(platform_octet, 1, platform_port);
}

endpoint platform_relay_endpoint(const address_block& block, std::size_t domain)
{
    return block.at(domain_number(domain), platform_octet, platform_port);
}

endpoint link_endpoint(const address_block& block)
{
    return block.at(link_octet, 1, link_port);
}

std::size_t domain_number(std::size_t domain)
{
    return domain + 1;
}

} // namespace hemlockshelf
