#ifndef HEMLOCKSHELF_NODE_DATA_PLANE_HPP
#define HEMLOCKSHELF_NODE_DATA_PLANE_HPP

#include <functional>
#include <memory>
#include <string_view>

#include <nlohmann/json.hpp>

#include "adapters/http/request_quota.hpp"
#include "adapters/settings/node_settings.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "node/local_upstream.hpp"

namespace hemlockshelf {

/// The data plane of a node: the entry, which accepts calls from callers, and
/// the gate, which forwards calls to the local upstream. Runs on its own
/// threads between `start` and `stop`. Thread-safe.
class data_plane
{
public:
    /// Binds both listeners. `ready` is called for each call and returns
    /// whether the entry may route it; `accounts_confirmed` returns whether it
    /// may rely on the client accounts in force. Throws
    /// `boost::system::system_error` if an address cannot be bound.
    data_plane(
        const node_settings& settings,
        const clock& time,
        const snapshot_store& snapshots,
        const member_table& members,
        const local_upstream& upstream,
        metric_sink& metrics,
        std::function<bool()> ready,
        std::function<bool()> accounts_confirmed,
        request_quota& account_quota);
    ~data_plane();

    data_plane(const data_plane&) = delete;
    data_plane& operator=(const data_plane&) = delete;

    void start();

    /// Closes each caller's connection after its current response and waits
    /// until no call from a caller is in progress. The listeners stay open, and
    /// the entry and the gate keep serving. Returns false if `deadline` passes
    /// first.
    bool drain(steady_time deadline);

    /// Closes the listeners, refuses new calls at the gate as not run, closes
    /// idle connections and waits until the others have received their
    /// responses. From `refuse_at` on, requests that have not been forwarded
    /// are refused. Returns false if `deadline` passes first.
    bool finish(steady_time refuse_at, steady_time deadline);

    /// Closes the remaining connections and ends the threads.
    void stop();

    /// Describes how a call would be routed now: the route, the pool, the
    /// candidates and the chosen upstream with the reasons. Fails with the
    /// errors of a call.
    result<nlohmann::json> explain(
        const client_account_id& account,
        std::string_view host,
        std::string_view path,
        std::string_view method);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hemlockshelf

#endif
