#ifndef HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_CONNECTION_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_CONNECTION_HPP

#include <memory>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "adapters/rpc/byte_meter.hpp"
#include "adapters/rpc/compressed_stream.hpp"
#include "adapters/rpc/control.capnp.h"
#include "hemlockshelf/core/metric_sink.hpp"

namespace hemlockshelf {

/// One connection with its RPC session, on either side. The codec must outlive
/// it.
class control_connection
{
public:
    /// Makes the calling side.
    control_connection(
        kj::Own<kj::AsyncIoStream> socket,
        frame_codec& codec,
        std::shared_ptr<byte_meter> meter);

    /// Makes the answering side, which offers `service`.
    control_connection(
        kj::Own<kj::AsyncIoStream> socket,
        frame_codec& codec,
        std::shared_ptr<byte_meter> meter,
        wire::Control::Client service);

    /// Returns the other side's service.
    wire::Control::Client bootstrap();

    kj::Promise<void> when_closed();

private:
    std::shared_ptr<byte_meter> meter_;
    compressed_stream stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

} // namespace hemlockshelf

#endif
