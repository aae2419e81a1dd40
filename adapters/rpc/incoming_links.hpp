#ifndef HEMLOCKSHELF_ADAPTERS_RPC_INCOMING_LINKS_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_INCOMING_LINKS_HPP

#include <cstdint>
#include <map>
#include <memory>

#include <kj/async-io.h>

#include "adapters/rpc/control_connection.hpp"
#include "adapters/rpc/control_handler.hpp"
#include "adapters/rpc/rpc_settings.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/metric_sink.hpp"

namespace hemlockshelf {

/// The incoming connections of a node.
class incoming_links final : private kj::TaskSet::ErrorHandler
{
public:
    incoming_links(
        const rpc_settings& settings,
        control_handler& handler,
        metric_sink& metrics,
        frame_codec& codec,
        kj::Own<kj::ConnectionReceiver> listener);

    /// Closes connections that have been silent for long.
    void sweep();

private:
    struct incoming
    {
        std::shared_ptr<byte_meter> meter_;
        kj::Own<control_connection> connection_;
        std::uint64_t received_at_sweep_ = 0;
        steady_time last_heard_;
    };

    void taskFailed(kj::Exception&& exception) override;
    kj::Promise<void> accept_next();
    void add(kj::Own<kj::AsyncIoStream> socket);

    const rpc_settings& settings_;
    control_handler& handler_;
    metric_sink& metrics_;
    frame_codec& codec_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::uint64_t next_id_ = 0;
    std::map<std::uint64_t, incoming> connections_;
    kj::TaskSet tasks_;
};

} // namespace hemlockshelf

#endif
