#ifndef HEMLOCKSHELF_NODE_NODE_HPP
#define HEMLOCKSHELF_NODE_NODE_HPP

#include <memory>

#include "adapters/settings/node_settings.hpp"
#include "node/platform_services.hpp"
#include "node/settings_watcher.hpp"

namespace hemlockshelf {

/// One node of the mesh: entry, gate, control and admin interface.
class node
{
public:
    /// Binds every listener. `platform` makes the services on which the node
    /// relies, `reload` reads the settings file again. Throws
    /// `boost::system::system_error` if an address can't be bound.
    node(
        node_settings settings,
        const platform_factory& platform,
        settings_watcher::reader reload);
    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Runs until SIGINT or SIGTERM. SIGHUP makes it read the settings file
    /// again.
    void run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hemlockshelf

#endif
