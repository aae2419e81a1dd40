#ifndef HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_MESSAGES_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_MESSAGES_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hemlockshelf/core/content_hash.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/dissemination/push_plan.hpp"
#include "hemlockshelf/membership/member_digest.hpp"
#include "hemlockshelf/membership/member_record.hpp"
#include "hemlockshelf/quota/token_grantor.hpp"

namespace hemlockshelf {

/// The node that sent a message.
using message_sender = tree_member;

/// What a node holds; sent and answered.
struct heartbeat_message
{
    message_sender sender_;
    incarnation incarnation_;
    revision revision_;
    content_hash hash_;
    std::uint64_t membership_root_ = 0;
    /// Whether the sender asks what it acknowledged to its upstream before it
    /// started.
    bool joining_ = false;
    /// Answers that question, if the receiver knows.
    std::optional<acknowledged_upstream> acknowledged_{};
    /// Age of the sender's confirmation that its accounts are current, in an
    /// answer; nothing if it has none.
    std::optional<std::chrono::milliseconds> confirmation_age_{};
    /// Latest era of the platform's tables that the sender has heard of.
    platform_era platform_era_{};
};

/// Changes that the receiver takes and passes on.
struct push_message
{
    message_sender sender_;
    vm_id origin_;
    push_assignment duty_;
    /// Highest revision in `deltas_`; without deltas, a revision on offer; 0
    /// if the push carries member records only.
    revision revision_;
    /// Encoded deltas (`config_payload.hpp`).
    std::string deltas_;
    std::vector<member_update> records_;
};

struct fetch_request
{
    message_sender sender_;
    revision from_;
    /// Asks for a snapshot, after deltas that could not be applied.
    bool whole_ = false;
};

enum class config_answer_kind
{
    /// The receiver holds nothing newer.
    current,
    deltas,
    snapshot,
    /// Too many snapshots at the moment; ask again after `retry_after_`.
    busy,
};

struct config_answer
{
    config_answer_kind kind_ = config_answer_kind::current;
    std::string payload_;
    std::chrono::milliseconds retry_after_{0};
};

struct digest_request
{
    message_sender sender_;
    member_digest digest_{};
};

struct digest_answer
{
    /// Bit n tells that bucket n differs.
    std::uint64_t differing_ = 0;
    /// What the receiver holds in these buckets.
    std::vector<member_update> records_;
};

struct probe_request
{
    message_sender sender_;
    vm_id target_;
};

/// Tokens of one account that a node requests from a grantor.
struct token_demand
{
    client_account_id account_;
    std::uint32_t count_ = 0;
};

struct grant_request
{
    message_sender sender_;
    std::vector<token_demand> demands_;
};

struct grant_answer
{
    /// Whether the receiver grants tokens; otherwise there are no grants.
    bool is_grantor_ = false;
    /// One for each demand, in the same order.
    std::vector<token_grant> grants_;
};

} // namespace hemlockshelf

#endif
