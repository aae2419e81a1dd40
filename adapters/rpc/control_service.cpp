#include "adapters/rpc/control_service.hpp"

#include <utility>

#include <kj/debug.h>

#include "adapters/rpc/message_codec.hpp"
#include "adapters/rpc/rpc_settings.hpp"

namespace hemlockshelf {

control_service::control_service(
    const tree_member& self,
    control_handler& handler,
    std::shared_ptr<byte_meter> meter)
    : self_(self), handler_(handler), meter_(std::move(meter))
{}

void control_service::attribute(const message_sender& sender)
{
    meter_->set_scope(scope_between(self_, sender));
}

kj::Promise<void> control_service::heartbeat(HeartbeatContext context)
{
    const auto request = read(context.getParams().getRequest());
    attribute(request.sender_);
    const auto answer = handler_.on_heartbeat(request);
    write(context.getResults().initAnswer(), answer);
    return kj::READY_NOW;
}

kj::Promise<void> control_service::push(PushContext context)
{
    auto request = read(context.getParams().getRequest());
    attribute(request.sender_);
    const auto held = handler_.on_push(std::move(request));
    context.getResults().setRevision(held.value());
    return kj::READY_NOW;
}

kj::Promise<void> control_service::fetchConfig(FetchConfigContext context)
{
    const auto params = context.getParams();
    const fetch_request request{
        read(params.getSender()), revision{params.getFromRevision()},
        params.getWhole()};
    attribute(request.sender_);
    write(context.getResults().initConfig(), handler_.on_fetch(request));
    return kj::READY_NOW;
}

kj::Promise<void> control_service::memberDigest(MemberDigestContext context)
{
    const auto params = context.getParams();
    const digest_request request{
        read(params.getSender()), read(params.getBuckets())};
    attribute(request.sender_);
    const auto answer = handler_.on_digest(request);
    auto results = context.getResults();
    results.setDiffering(answer.differing_);
    write(
        results.initRecords(static_cast<unsigned>(answer.records_.size())),
        answer.records_);
    return kj::READY_NOW;
}

kj::Promise<void> control_service::probe(ProbeContext context)
{
    const auto params = context.getParams();
    KJ_REQUIRE(params.getTarget().size() > 0, "probe: expected a target");
    const probe_request request{
        read(params.getSender()), vm_id{params.getTarget().cStr()}};
    attribute(request.sender_);
    auto pair = kj::newPromiseAndFulfiller<bool>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<bool>>>(
        kj::mv(pair.fulfiller));
    handler_.on_probe(
        request,
        [fulfiller](bool reachable)
        {
            (*fulfiller)->fulfill(kj::cp(reachable));
        });
    return pair.promise.then(
        [context](bool reachable) mutable
        {
            context.getResults().setReachable(reachable);
        });
}

kj::Promise<void> control_service::grantTokens(GrantTokensContext context)
{
    const auto params = context.getParams();
    const grant_request request{
        read(params.getSender()), read(params.getRequests())};
    attribute(request.sender_);
    const auto answer = handler_.on_grant(request);
    auto results = context.getResults();
    results.setIsGrantor(answer.is_grantor_);
    write(
        results.initGrants(static_cast<unsigned>(answer.grants_.size())),
        answer.grants_);
    return kj::READY_NOW;
}

kj::Promise<void> control_service::lendShare(LendShareContext context)
{
    const auto sender = read(context.getParams().getSender());
    attribute(sender);
    context.getResults().setLent(handler_.on_lend_share(sender));
    return kj::READY_NOW;
}

} // namespace hemlockshelf
