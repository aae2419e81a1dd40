#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_ANNOUNCER_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_ANNOUNCER_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "standins/upstream/upstream_state.hpp"

namespace hemlockshelf {

/// Announces the stand-in to its node every second, and immediately when its
/// state changes.
class announcer
{
public:
    announcer(boost::asio::io_context& context, const upstream_state& state);

    /// Sends an announcement immediately instead of at the next interval.
    void announce_now();

private:
    boost::asio::awaitable<void> run();

    const upstream_state& state_;
    boost::asio::steady_timer timer_;
    bool announce_requested_ = false;
};

} // namespace hemlockshelf

#endif
