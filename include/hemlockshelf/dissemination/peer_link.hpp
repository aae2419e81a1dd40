#ifndef HEMLOCKSHELF_DISSEMINATION_PEER_LINK_HPP
#define HEMLOCKSHELF_DISSEMINATION_PEER_LINK_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

#include "hemlockshelf/core/clock.hpp"

namespace hemlockshelf {

enum class link_state
{
    connecting,
    live,
    /// A call timed out although other bytes were received.
    suspect,
    /// Closed. A new connection may be opened after the back-off.
    broken,
};

std::string_view to_string(link_state state);

/// State machine of the outgoing connection to a peer, with its back-off.
class peer_link
{
public:
    peer_link();
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// A call was answered.
    void on_answered();

    /// A call timed out. `bytes_received` is whether any byte has arrived since
    /// the call was sent. If none has, the link is broken at once, and a live
    /// link may be replaced without back-off.
    void on_timeout(bool bytes_received, steady_time now, std::uint64_t random);

    /// The connection was refused or closed.
    void on_disconnected(steady_time now, std::uint64_t random);

    /// Starts a new connection.
    void reconnect();

    [[nodiscard]] link_state state() const;

    /// Returns whether the back-off of a broken link has expired.
    [[nodiscard]] bool may_connect(steady_time now) const;

private:
    void back_off(steady_time now, std::uint64_t random);

    class machine;
    std::unique_ptr<machine> machine_;
    std::uint32_t failures_ = 0;
    steady_time next_attempt_;
};

} // namespace hemlockshelf

#endif
