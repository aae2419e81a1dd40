#include "adapters/rpc/message_codec.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include <kj/debug.h>

namespace hemlockshelf {

namespace {

// The longest name of a row, which a service and an instance may have.
constexpr std::size_t max_text = 1024;

std::string text_of(capnp::Text::Reader text)
{
    KJ_REQUIRE(text.size() <= max_text, "control message: text too long");
    return {text.cStr(), text.size()};
}

std::string required_text(capnp::Text::Reader text)
{
    KJ_REQUIRE(text.size() > 0, "control message: expected a name");
    return text_of(text);
}

capnp::Data::Reader to_data(const std::string& bytes)
{
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

/// Returns 0 for an unknown time, and at least 1 us for a known one.
std::uint32_t
to_wire(const std::optional<std::chrono::microseconds>& round_trip)
{
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    return round_trip ? static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                            round_trip->count(), 1, longest))
                      : 0;
}

/// Returns one more than the age, or 0 for an unknown one.
std::uint32_t to_wire_age(const std::optional<std::chrono::milliseconds>& age)
{
    constexpr std::int64_t longest =
        std::numeric_limits<std::uint32_t>::max() - 1;
    return age ? static_cast<std::uint32_t>(
                     std::clamp<std::int64_t>(age->count(), 0, longest) + 1)
               : 0;
}

void write(
    wire::AcknowledgedUpstream::Builder wire,
    const acknowledged_upstream& acknowledged)
{
    const auto& [instance, started, sequence] = acknowledged.order_;
    wire.setInstance(instance.c_str());
    wire.setStartedMs(started.value_or(0));
    wire.setHasStart(started.has_value());
    wire.setSequence(sequence.value_or(0));
    wire.setHasSequence(sequence.has_value());
    wire.setWithdrawnUntilMs(acknowledged.withdrawn_until_ms_.value_or(0));
    wire.setIsWithdrawn(acknowledged.withdrawn_until_ms_.has_value());
    wire.setDrained(acknowledged.drained_);
}

/// Reads a number and the field that says whether it is known. Nodes of earlier
/// versions leave that one out and send 0 for a number that is not.
std::optional<std::uint64_t> read_number(bool is_known, std::uint64_t number)
{
    return is_known || number != 0 ? std::optional(number) : std::nullopt;
}

acknowledged_upstream read(wire::AcknowledgedUpstream::Reader wire)
{
    return {
        {text_of(wire.getInstance()),
         read_number(wire.getHasStart(), wire.getStartedMs()),
         read_number(wire.getHasSequence(), wire.getSequence())},
        read_number(wire.getIsWithdrawn(), wire.getWithdrawnUntilMs()),
        wire.getDrained()};
}

std::string from_data(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

} // namespace

void write(wire::Sender::Builder wire, const message_sender& sender)
{
    wire.setVm(sender.vm_.value().c_str());
    wire.setFailureDomain(sender.failure_domain_.value().c_str());
    wire.setRegion(sender.region_.value().c_str());
}

message_sender read(wire::Sender::Reader wire)
{
    return {
        vm_id{required_text(wire.getVm())},
        failure_domain_id{required_text(wire.getFailureDomain())},
        region_id{required_text(wire.getRegion())}};
}

void write(wire::MemberRecord::Builder wire, const member_update& update)
{
    const auto& record = update.record_;
    wire.setVm(record.vm_.value().c_str());
    wire.setFailureDomain(record.failure_domain_.value().c_str());
    wire.setRegion(record.region_.value().c_str());
    wire.setGateAddress(record.gate_address_.c_str());
    wire.setControlAddress(record.control_address_.c_str());
    wire.setAdminAddress(record.admin_address_.c_str());
    wire.setIncarnation(record.incarnation_.value());
    wire.setSequence(record.sequence_.value());
    wire.setState(static_cast<std::uint8_t>(record.state_));
    wire.setDown(update.down_);
    wire.setAccount(record.account_.value().c_str());
    wire.setService(record.service_.value().c_str());
    wire.setSlots(record.slots_.value());
    wire.setConnections(record.connections_.value());
    wire.setLink(record.link_.value());
    wire.setPlatformLost(record.platform_lost_);
    wire.setPlatformRoundTripUs(to_wire(record.platform_round_trip_));
    if (record.acknowledged_)
    {
        write(wire.initAcknowledged(), *record.acknowledged_);
    }
}

member_update read(wire::MemberRecord::Reader wire)
{
    member_update update;
    auto& record = update.record_;
    record.vm_ = vm_id{required_text(wire.getVm())};
    record.failure_domain_ =
        failure_domain_id{required_text(wire.getFailureDomain())};
    record.region_ = region_id{required_text(wire.getRegion())};
    record.gate_address_ = text_of(wire.getGateAddress());
    record.control_address_ = text_of(wire.getControlAddress());
    record.admin_address_ = text_of(wire.getAdminAddress());
    record.incarnation_ = incarnation{wire.getIncarnation()};
    record.sequence_ = sequence{wire.getSequence()};
    KJ_REQUIRE(
        wire.getState() <= static_cast<std::uint8_t>(upstream_state::down),
        "member record: unknown state", wire.getState());
    record.state_ = static_cast<upstream_state>(wire.getState());
    record.account_ = client_account_id{text_of(wire.getAccount())};
    record.service_ = service_name{text_of(wire.getService())};
    record.slots_ = slot_count{wire.getSlots()};
    record.connections_ = connection_count{wire.getConnections()};
    record.link_ = bit_rate{wire.getLink()};
    record.platform_lost_ = wire.getPlatformLost();
    if (const auto microseconds = wire.getPlatformRoundTripUs())
    {
        record.platform_round_trip_ = std::chrono::microseconds{microseconds};
    }
    if (wire.hasAcknowledged())
    {
        record.acknowledged_ = read(wire.getAcknowledged());
    }
    update.down_ = wire.getDown();
    return update;
}

void write(
    capnp::List<wire::MemberRecord>::Builder wire,
    const std::vector<member_update>& updates)
{
    for (unsigned index = 0; index < updates.size(); ++index)
    {
        write(wire[index], updates[index]);
    }
}

std::vector<member_update> read(capnp::List<wire::MemberRecord>::Reader wire)
{
    std::vector<member_update> updates;
    updates.reserve(wire.size());
    for (const auto record : wire)
    {
        updates.push_back(read(record));
    }
    return updates;
}

void write(wire::Heartbeat::Builder wire, const heartbeat_message& message)
{
    write(wire.initSender(), message.sender_);
    wire.setIncarnation(message.incarnation_.value());
    wire.setRevision(message.revision_.value());
    wire.setHashHigh(message.hash_.high());
    wire.setHashLow(message.hash_.low());
    wire.setMembershipRoot(message.membership_root_);
    wire.setJoining(message.joining_);
    if (message.acknowledged_)
    {
        write(wire.initAcknowledged(), *message.acknowledged_);
    }
    wire.setConfirmationAgeMs(to_wire_age(message.confirmation_age_));
    wire.setPlatformEra(message.platform_era_.value());
}

heartbeat_message read(wire::Heartbeat::Reader wire)
{
    heartbeat_message message{
        read(wire.getSender()),
        incarnation{wire.getIncarnation()},
        revision{wire.getRevision()},
        content_hash{wire.getHashHigh(), wire.getHashLow()},
        wire.getMembershipRoot(),
        wire.getJoining()};
    if (wire.hasAcknowledged())
    {
        message.acknowledged_ = read(wire.getAcknowledged());
    }
    if (const auto age = wire.getConfirmationAgeMs())
    {
        message.confirmation_age_ = std::chrono::milliseconds{age - 1};
    }
    message.platform_era_ = platform_era{wire.getPlatformEra()};
    return message;
}

void write(wire::Push::Builder wire, const push_message& message)
{
    write(wire.initSender(), message.sender_);
    wire.setOrigin(message.origin_.value().c_str());
    wire.setScope(static_cast<wire::Scope>(message.duty_.scope_));
    wire.setSeed(message.duty_.seed_);
    wire.setFirstPosition(message.duty_.range_.first_);
    wire.setPositionCount(message.duty_.range_.size_);
    wire.setRevision(message.revision_.value());
    wire.setDeltas(to_data(message.deltas_));
    write(
        wire.initRecords(static_cast<unsigned>(message.records_.size())),
        message.records_);
}

push_message read(wire::Push::Reader wire)
{
    push_message message;
    message.sender_ = read(wire.getSender());
    message.origin_ = vm_id{required_text(wire.getOrigin())};
    KJ_REQUIRE(
        wire.getScope() <= wire::Scope::DOMAIN, "push: unknown scope",
        static_cast<unsigned>(wire.getScope()));
    message.duty_ = {
        static_cast<push_scope>(wire.getScope()),
        wire.getSeed(),
        {wire.getFirstPosition(), wire.getPositionCount()}};
    message.revision_ = revision{wire.getRevision()};
    message.deltas_ = from_data(wire.getDeltas());
    message.records_ = read(wire.getRecords());
    return message;
}

void write(wire::Config::Builder wire, const config_answer& answer)
{
    wire.setKind(static_cast<wire::Config::Kind>(answer.kind_));
    wire.setPayload(to_data(answer.payload_));
    wire.setRetryAfterMs(
        static_cast<std::uint32_t>(answer.retry_after_.count()));
}

config_answer read(wire::Config::Reader wire)
{
    KJ_REQUIRE(
        wire.getKind() <= wire::Config::Kind::BUSY, "config: unknown kind",
        static_cast<unsigned>(wire.getKind()));
    return {
        static_cast<config_answer_kind>(wire.getKind()),
        from_data(wire.getPayload()),
        std::chrono::milliseconds{wire.getRetryAfterMs()}};
}

void write(
    capnp::List<std::uint64_t>::Builder wire, const member_digest& digest)
{
    for (unsigned bucket = 0; bucket < digest.size(); ++bucket)
    {
        wire.set(bucket, digest.at(bucket));
    }
}

member_digest read(capnp::List<std::uint64_t>::Reader wire)
{
    member_digest digest{};
    KJ_REQUIRE(
        wire.size() == digest.size(), "digest: expected 64 buckets",
        wire.size());
    for (unsigned bucket = 0; bucket < digest.size(); ++bucket)
    {
        digest.at(bucket) = wire[bucket];
    }
    return digest;
}

void write(
    capnp::List<wire::TokenRequest>::Builder wire,
    const std::vector<token_demand>& demands)
{
    for (unsigned index = 0; index < demands.size(); ++index)
    {
        wire[index].setAccount(demands[index].account_.value().c_str());
        wire[index].setCount(demands[index].count_);
    }
}

std::vector<token_demand> read(capnp::List<wire::TokenRequest>::Reader wire)
{
    std::vector<token_demand> demands;
    demands.reserve(wire.size());
    for (const auto demand : wire)
    {
        demands.push_back(
            {client_account_id{required_text(demand.getAccount())},
             demand.getCount()});
    }
    return demands;
}

void write(
    capnp::List<wire::TokenGrant>::Builder wire,
    const std::vector<token_grant>& grants)
{
    for (unsigned index = 0; index < grants.size(); ++index)
    {
        wire[index].setGranted(grants[index].granted_);
        wire[index].setWaitMs(
            static_cast<std::uint32_t>(grants[index].wait_.count()));
        wire[index].setUnknownAccount(grants[index].unknown_account_);
    }
}

std::vector<token_grant> read(capnp::List<wire::TokenGrant>::Reader wire)
{
    std::vector<token_grant> grants;
    grants.reserve(wire.size());
    for (const auto grant : wire)
    {
        grants.push_back(
            {grant.getGranted(), std::chrono::milliseconds{grant.getWaitMs()},
             grant.getUnknownAccount()});
    }
    return grants;
}

} // namespace hemlockshelf
