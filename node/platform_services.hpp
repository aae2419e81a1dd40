#ifndef HEMLOCKSHELF_NODE_PLATFORM_SERVICES_HPP
#define HEMLOCKSHELF_NODE_PLATFORM_SERVICES_HPP

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "hemlockshelf/config/configuration_source.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"
#include "node/local_upstream.hpp"

namespace hemlockshelf {

/// Resources that a node provides to the listeners of a platform adapter.
struct listener_environment
{
    boost::asio::io_context& context_;
    local_upstream& upstream_;
    const snapshot_store& snapshots_;
    /// Whether callers may send requests to the node.
    std::function<bool()> ready_;
    /// Makes other nodes hold what the node acknowledges to its upstream, and
    /// calls back, from any thread, once they do.
    std::function<void(std::function<void()>)> share_upstream_;
    /// Makes the platform hold what the node acknowledges to its upstream, and
    /// calls back, from any thread, once it does.
    std::function<void(std::function<void()>)> store_upstream_;
};

/// Listener of a platform adapter; closed on destruction.
class platform_listener
{
public:
    virtual ~platform_listener() = default;

protected:
    platform_listener() = default;
    platform_listener(const platform_listener&) = default;
    platform_listener& operator=(const platform_listener&) = default;
};

/// Services of the platform that a node runs on, provided by its adapter.
struct platform_services
{
    std::unique_ptr<table_service> tables_;
    std::unique_ptr<object_store> objects_;
    /// Null if operators edit the tables through the nodes.
    std::unique_ptr<configuration_source> configurations_;
    /// Opens the listeners that the platform requires of a node; may be empty.
    std::function<std::unique_ptr<platform_listener>(listener_environment)>
        open_listener_;
};

/// Creates the services of a platform. `metrics` must outlive them.
using platform_factory = std::function<platform_services(metric_sink& metrics)>;

} // namespace hemlockshelf

#endif
