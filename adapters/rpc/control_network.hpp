#ifndef HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_NETWORK_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_NETWORK_HPP

#include <chrono>
#include <functional>
#include <memory>

#include "adapters/rpc/control_handler.hpp"
#include "adapters/rpc/control_messages.hpp"
#include "adapters/rpc/rpc_settings.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/metric_sink.hpp"

namespace hemlockshelf {

/// Answers control messages and calls other nodes, on a loop in a thread of
/// its own. Unless noted, members may be called on the loop only, that is from
/// the handler and from callbacks. Every call ends by its deadline, with
/// `deadline_exceeded` or `unreachable` if there is no answer. Callbacks are
/// never called from within the call that takes them.
class control_network
{
public:
    template <class Value>
    using callback = std::function<void(result<Value>)>;

    /// Binds the listener. Throws `std::system_error` if the address can't be
    /// bound.
    control_network(
        rpc_settings settings, control_handler& handler, metric_sink& metrics);
    ~control_network();

    control_network(const control_network&) = delete;
    control_network& operator=(const control_network&) = delete;

    /// Starts the loop. From any thread, once.
    void start();

    /// Stops the loop; callbacks that are outstanding are dropped. From any
    /// thread but the loop's.
    void stop();

    /// Runs `task` on the loop. From any thread; does not block.
    void post(std::function<void()> task);

    /// Runs `task` after a delay.
    void after(std::chrono::milliseconds delay, std::function<void()> task);

    void heartbeat(
        const peer_address& peer,
        const heartbeat_message& message,
        std::chrono::milliseconds deadline,
        callback<heartbeat_message> done);

    void push(
        const peer_address& peer,
        const push_message& message,
        std::chrono::milliseconds deadline,
        callback<revision> done);

    void fetch_config(
        const peer_address& peer,
        const fetch_request& request,
        std::chrono::milliseconds deadline,
        callback<config_answer> done);

    void member_digest(
        const peer_address& peer,
        const digest_request& request,
        std::chrono::milliseconds deadline,
        callback<digest_answer> done);

    void probe(
        const peer_address& peer,
        const probe_request& request,
        std::chrono::milliseconds deadline,
        callback<bool> done);

    /// An answer has one grant for each demand, or none.
    void grant_tokens(
        const peer_address& peer,
        const grant_request& request,
        std::chrono::milliseconds deadline,
        callback<grant_answer> done);

    /// The answer tells whether the peer has lent its share of the quotas.
    void lend_share(
        const peer_address& peer,
        const message_sender& sender,
        std::chrono::milliseconds deadline,
        callback<bool> done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hemlockshelf

#endif
