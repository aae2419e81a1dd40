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
    /// A call passed its deadline although other bytes arrived.
    suspect,
    /// Closed; a new connection replaces it after the back-off.
    broken,
};

std::string_view to_string(link_state state);

/// State of the outgoing connection to a peer and its back-off.
class peer_link
{
public:
    peer_link();
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// A call was answered.
    void on_answered();

    /// A call passed its deadline. `heard` tells whether any byte has arrived
    /// since the call was sent; a silent connection breaks at once, and
    /// another one is tried without delay.
    void on_timeout(bool heard, steady_time now, std::uint64_t random);

    /// The connection was refused or closed.
    void on_disconnected(steady_time now, std::uint64_t random);

    /// Begins a new connection.
    void reconnect();

    [[nodiscard]] link_state state() const;

    /// Tells whether a broken link may be replaced by now.
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
