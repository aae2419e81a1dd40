#ifndef HEMLOCKSHELF_NODE_NODE_HPP
#define HEMLOCKSHELF_NODE_NODE_HPP

#include <memory>

#include "adapters/settings/node_settings.hpp"
#include "node/platform_services.hpp"
#include "node/settings_watcher.hpp"

namespace hemlockshelf {

/// A node of the mesh: data plane, control plane and admin interface.
class node
{
public:
    /// Binds all listeners. `platform` creates the platform services that the
    /// node uses, and `reload` rereads the settings file. Throws
    /// `boost::system::system_error` if an address cannot be bound.
    node(
        node_settings settings,
        const platform_factory& platform,
        settings_watcher::reader reload);
    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Runs until SIGINT or SIGTERM. SIGHUP reloads the settings file.
    void run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hemlockshelf

#endif
