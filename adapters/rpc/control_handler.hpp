#ifndef HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_HANDLER_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_CONTROL_HANDLER_HPP

#include <functional>

#include "adapters/rpc/control_messages.hpp"

namespace hemlockshelf {

/// Answers the control messages of other nodes. Called on the control loop
/// only; an exception becomes an error answer to the peer.
class control_handler
{
public:
    virtual ~control_handler() = default;

    virtual heartbeat_message
    on_heartbeat(const heartbeat_message& request) = 0;

    /// Returns the revision held after the push.
    virtual revision on_push(push_message request) = 0;

    virtual config_answer on_fetch(const fetch_request& request) = 0;

    /// Returns the records of the buckets that differ.
    virtual digest_answer on_digest(const digest_request& request) = 0;

    /// Calls `answer` later, with whether the target answered this node.
    virtual void on_probe(
        const probe_request& request, std::function<void(bool)> answer) = 0;

    /// Grants tokens of client accounts' quotas, if the node is a grantor.
    virtual grant_answer on_grant(const grant_request& /*request*/)
    {
        return {};
    }

    /// Returns whether the node lends its share of the quotas to the sender.
    virtual bool on_lend_share(const message_sender& /*sender*/)
    {
        return false;
    }

protected:
    control_handler() = default;
    control_handler(const control_handler&) = default;
    control_handler& operator=(const control_handler&) = default;
};

} // namespace hemlockshelf

#endif
