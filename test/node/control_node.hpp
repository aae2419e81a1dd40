#ifndef HEMLOCKSHELF_TEST_NODE_CONTROL_NODE_HPP
#define HEMLOCKSHELF_TEST_NODE_CONTROL_NODE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "node/control_plane.hpp"
#include "standins/platform/memory_tables.hpp"

namespace hemlockshelf {

/// Returns an address that is unique to this test, because tests run in
/// parallel in separate processes.
inline endpoint unique_address(int host)
{
    const auto process = static_cast<int>(::getpid());
    return {
        fmt::format(
            "127.62.{}.{}", 100 + process / 120 % 100,
            2 * (process % 120) + host),
        17003};
}

inline node_settings settings_at(
    const endpoint& control, const std::string& vm, const std::string& domain)
{
    node_settings settings;
    settings.vm_ = vm_id{vm};
    settings.failure_domain_ = failure_domain_id{domain};
    settings.region_ = region_id{"quebec-centre"};
    settings.control_ = control;
    settings.advertised_control_ = settings.control_;
    settings.source_address_ = settings.control_.address_;
    return settings;
}

inline node_settings settings_of(int host, const std::string& domain)
{
    return settings_at(
        unique_address(host), fmt::format("vm-{}", host), domain);
}

/// Returns the settings of a node with its own port.
inline node_settings settings_of_one(
    std::uint16_t number, const std::string& vm, const std::string& domain)
{
    auto control = unique_address(1);
    control.port_ = static_cast<std::uint16_t>(control.port_ + number);
    return settings_at(control, vm, domain);
}

/// Returns the settings of one of `count` nodes that have different ports and
/// are split between two failure domains.
inline node_settings settings_of_many(std::size_t number, std::size_t count)
{
    auto control = unique_address(1);
    control.port_ = static_cast<std::uint16_t>(control.port_ + number);
    return settings_at(
        control, fmt::format("vm-{}", number),
        number <= count / 2 ? "salle-belair" : "salle-bourg");
}

/// The control plane of one node, with tables that several nodes may share.
struct control_node
{
    control_node(node_settings settings, memory_tables& tables)
        : control_node(std::move(settings), polled_services{tables, tables})
    {}

    control_node(node_settings settings, polled_services services)
        : settings_(std::move(settings)), plane_(
                                              settings_,
                                              time_,
                                              services,
                                              snapshots_,
                                              members_,
                                              upstream_,
                                              metrics_)
    {
        plane_.start();
    }

    ~control_node()
    {
        plane_.stop();
    }

    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    real_clock time_;
    node_settings settings_;
    prometheus_metrics metrics_;
    snapshot_store snapshots_;
    member_table members_;
    local_upstream upstream_{time_, std::chrono::milliseconds{3000}};
    control_plane plane_;
};

/// Accepts connections and never answers.
struct silent_server
{
    explicit silent_server(endpoint address)
        : endpoint_(std::move(address)),
          acceptor_(
              context_,
              {boost::asio::ip::make_address(endpoint_.address_),
               endpoint_.port_})
    {}

    endpoint endpoint_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

template <class Condition>
bool becomes_true_within(std::chrono::milliseconds time, Condition&& condition)
{
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return condition();
}

inline bool is_serving(const control_node& node)
{
    return node.plane_.state() == node_state::serving;
}

inline bool
is_serving_within(std::chrono::milliseconds time, const control_node& node)
{
    return becomes_true_within(
        time,
        [&node]
        {
            return is_serving(node);
        });
}

} // namespace hemlockshelf

#endif
