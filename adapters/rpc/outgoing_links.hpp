#ifndef HEMLOCKSHELF_ADAPTERS_RPC_OUTGOING_LINKS_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_OUTGOING_LINKS_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include <kj/async-io.h>

#include "adapters/rpc/control.capnp.h"
#include "adapters/rpc/control_connection.hpp"
#include "adapters/rpc/rpc_settings.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/dissemination/peer_link.hpp"

namespace hemlockshelf {

/// One outgoing connection, from its first attempt until it is closed.
struct outgoing_session
{
    std::shared_ptr<byte_meter> meter_;
    kj::Maybe<kj::Own<control_connection>> connection_;
    wire::Control::Client client_ = nullptr;
};

/// The connection to one peer and its replacements.
struct outgoing_link
{
    peer_link link_;
    /// Null while the link is broken.
    std::shared_ptr<outgoing_session> session_;
    steady_time last_used_;
};

/// The outgoing connections of a node, made when first used.
class outgoing_links final : private kj::TaskSet::ErrorHandler
{
public:
    outgoing_links(
        const rpc_settings& settings,
        metric_sink& metrics,
        frame_codec& codec,
        kj::LowLevelAsyncIoProvider& provider);

    /// Returns the link to a peer with a session, or null while it is broken
    /// and its back-off lasts.
    std::shared_ptr<outgoing_link> find(const peer_address& peer);

    void note_answered(outgoing_link& link);
    void note_timed_out(
        outgoing_link& link,
        const std::shared_ptr<outgoing_session>& session,
        std::uint64_t received_before);
    void note_disconnected(
        outgoing_link& link, const std::shared_ptr<outgoing_session>& session);

    /// Closes links that have not been used for long.
    void sweep();

private:
    void taskFailed(kj::Exception&& exception) override;
    void connect(
        const std::shared_ptr<outgoing_link>& link, const peer_address& peer);
    void close_if_broken(outgoing_link& link);

    const rpc_settings& settings_;
    metric_sink& metrics_;
    frame_codec& codec_;
    kj::LowLevelAsyncIoProvider& provider_;
    std::mt19937_64 random_{std::random_device{}()};
    std::map<endpoint, std::shared_ptr<outgoing_link>> links_;
    kj::TaskSet tasks_;
};

} // namespace hemlockshelf

#endif
