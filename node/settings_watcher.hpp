#ifndef HEMLOCKSHELF_NODE_SETTINGS_WATCHER_HPP
#define HEMLOCKSHELF_NODE_SETTINGS_WATCHER_HPP

#include <filesystem>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/settings/node_settings.hpp"
#include "hemlockshelf/core/error.hpp"

namespace hemlockshelf {

/// Reloads the settings file on SIGHUP and after a change of the file. The log
/// level takes effect at once. Other settings take effect at the next start,
/// because replacing the process is faster than moving its listeners.
class settings_watcher
{
public:
    using reader = std::function<result<node_settings>()>;

    /// `path` is the file that `read` reads.
    settings_watcher(
        boost::asio::io_context& context, std::string path, reader read);

    settings_watcher(const settings_watcher&) = delete;
    settings_watcher& operator=(const settings_watcher&) = delete;

private:
    void await_signal();
    void await_change();
    void reload(std::string_view cause);

    std::string path_;
    reader read_;
    std::filesystem::file_time_type changed_at_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
};

} // namespace hemlockshelf

#endif
