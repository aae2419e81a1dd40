#include "adapters/rpc/control_connection.hpp"

#include <utility>

#include <capnp/message.h>

namespace hemlockshelf {

control_connection::control_connection(
    kj::Own<kj::AsyncIoStream> socket,
    frame_codec& codec,
    std::shared_ptr<byte_meter> meter)
    : meter_(std::move(meter)), stream_(kj::mv(socket), codec, *meter_),
      network_(stream_, capnp::rpc::twoparty::Side::CLIENT),
      rpc_(capnp::makeRpcClient(network_))
{}

control_connection::control_connection(
    kj::Own<kj::AsyncIoStream> socket,
    frame_codec& codec,
    std::shared_ptr<byte_meter> meter,
    wire::Control::Client service)
    : meter_(std::move(meter)), stream_(kj::mv(socket), codec, *meter_),
      network_(stream_, capnp::rpc::twoparty::Side::SERVER),
      rpc_(capnp::makeRpcServer(network_, kj::mv(service)))
{}

wire::Control::Client control_connection::bootstrap()
{
    capnp::MallocMessageBuilder message(4);
    auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc_.bootstrap(vat).castAs<wire::Control>();
}

kj::Promise<void> control_connection::when_closed()
{
    return network_.onDisconnect();
}

} // namespace hemlockshelf
