#ifndef HEMLOCKSHELF_NODE_ADMIN_HANDLER_HPP
#define HEMLOCKSHELF_NODE_ADMIN_HANDLER_HPP

#include <string>

#include "adapters/http/http_message.hpp"
#include "adapters/settings/node_settings.hpp"
#include "adapters/telemetry/prometheus_metrics.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/editing/editor.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "node/call_plane.hpp"
#include "node/control_plane.hpp"
#include "node/local_upstream.hpp"

namespace hemlockshelf {

/// Parts of the node that the admin interface reaches.
struct admin_context
{
    const node_settings* settings_ = nullptr;
    const snapshot_store* snapshots_ = nullptr;
    table_service* tables_ = nullptr;
    object_store* objects_ = nullptr;
    editor* editor_ = nullptr;
    local_upstream* upstream_ = nullptr;
    call_plane* calls_ = nullptr;
    const prometheus_metrics* metrics_ = nullptr;
    const member_table* members_ = nullptr;
    const control_plane* control_ = nullptr;
};

/// Returns the account whose token a request carries. The error is
/// `unauthorized`.
result<client_account_id>
operator_account(const admin_context& context, const http_request& request);

/// Answers a request on the admin address. `peer` is the sender's address.
http_response handle_admin_request(
    const admin_context& context,
    const http_request& request,
    const std::string& peer);

} // namespace hemlockshelf

#endif
