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
#include "node/control_plane.hpp"
#include "node/data_plane.hpp"
#include "node/local_upstream.hpp"

namespace hemlockshelf {

/// Components of the node that the admin interface uses.
struct admin_context
{
    const node_settings* settings_ = nullptr;
    const snapshot_store* snapshots_ = nullptr;
    table_service* tables_ = nullptr;
    object_store* objects_ = nullptr;
    editor* editor_ = nullptr;
    local_upstream* upstream_ = nullptr;
    data_plane* data_plane_ = nullptr;
    const prometheus_metrics* metrics_ = nullptr;
    const member_table* members_ = nullptr;
    control_plane* control_plane_ = nullptr;
};

/// Authenticates a request by its bearer token and returns the operator's
/// account. Fails with `unauthorized`.
result<client_account_id> authenticate_operator(
    const admin_context& context, const http_request& request);

/// Handles a request to the admin interface. `peer` is the address of the
/// client.
http_response handle_admin_request(
    const admin_context& context,
    const http_request& request,
    const std::string& peer);

} // namespace hemlockshelf

#endif
