#ifndef HEMLOCKSHELF_ADAPTERS_RPC_MESSAGE_CODEC_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_MESSAGE_CODEC_HPP

#include <vector>

#include "adapters/rpc/control.capnp.h"
#include "adapters/rpc/control_messages.hpp"

namespace hemlockshelf {

// Reading throws `kj::Exception` if a field is out of its range, which the RPC
// library turns into an error answer.

void write(wire::Sender::Builder wire, const message_sender& sender);
message_sender read(wire::Sender::Reader wire);

void write(wire::MemberRecord::Builder wire, const member_update& update);
member_update read(wire::MemberRecord::Reader wire);

void write(
    capnp::List<wire::MemberRecord>::Builder wire,
    const std::vector<member_update>& updates);
std::vector<member_update> read(capnp::List<wire::MemberRecord>::Reader wire);

void write(wire::Heartbeat::Builder wire, const heartbeat_message& message);
heartbeat_message read(wire::Heartbeat::Reader wire);

void write(wire::Push::Builder wire, const push_message& message);
push_message read(wire::Push::Reader wire);

void write(wire::Config::Builder wire, const config_answer& answer);
config_answer read(wire::Config::Reader wire);

void write(
    capnp::List<std::uint64_t>::Builder wire, const member_digest& digest);
member_digest read(capnp::List<std::uint64_t>::Reader wire);

void write(
    capnp::List<wire::TokenRequest>::Builder wire,
    const std::vector<token_demand>& demands);
std::vector<token_demand> read(capnp::List<wire::TokenRequest>::Reader wire);

void write(
    capnp::List<wire::TokenGrant>::Builder wire,
    const std::vector<token_grant>& grants);
std::vector<token_grant> read(capnp::List<wire::TokenGrant>::Reader wire);

} // namespace hemlockshelf

#endif
