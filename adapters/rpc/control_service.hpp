#ifndef HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_SERVICE_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_SERVICE_HPP

#include <memory>

#include "adapters/rpc/byte_meter.hpp"
#include "adapters/rpc/control.capnp.h"
#include "adapters/rpc/control_handler.hpp"

namespace hemlockshelf {

/// Serves the control messages of one incoming connection.
class control_service final : public wire::Control::Server
{
public:
    /// `meter` counts the connection's bytes. It may be gone by the time of a
    /// call that was queued when the connection closed, thus the pointer is
    /// shared.
    control_service(
        const tree_member& self,
        control_handler& handler,
        std::shared_ptr<byte_meter> meter);

protected:
    kj::Promise<void> heartbeat(HeartbeatContext context) override;
    kj::Promise<void> push(PushContext context) override;
    kj::Promise<void> fetchConfig(FetchConfigContext context) override;
    kj::Promise<void> memberDigest(MemberDigestContext context) override;
    kj::Promise<void> probe(ProbeContext context) override;
    kj::Promise<void> grantTokens(GrantTokensContext context) override;
    kj::Promise<void> lendShare(LendShareContext context) override;

private:
    void attribute(const message_sender& sender);

    const tree_member& self_;
    control_handler& handler_;
    std::shared_ptr<byte_meter> meter_;
};

} // namespace hemlockshelf

#endif
