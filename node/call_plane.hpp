#ifndef HEMLOCKSHELF_NODE_CALL_PLANE_HPP
#define HEMLOCKSHELF_NODE_CALL_PLANE_HPP

#include <functional>
#include <memory>
#include <string_view>

#include <nlohmann/json.hpp>

#include "adapters/settings/node_settings.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "node/local_upstream.hpp"

namespace hemlockshelf {

/// Carries calls: the entry for callers and the gate before the own upstream.
/// Runs on threads of its own between `start` and `stop`. Thread-safe.
class call_plane
{
public:
    /// Binds both listeners. `ready` tells whether the entry may route calls;
    /// it is called for each call. Throws `boost::system::system_error` if an
    /// address can't be bound.
    call_plane(
        const node_settings& settings,
        const clock& time,
        const snapshot_store& snapshots,
        const member_table& members,
        const local_upstream& upstream,
        metric_sink& metrics,
        std::function<bool()> ready);
    ~call_plane();

    call_plane(const call_plane&) = delete;
    call_plane& operator=(const call_plane&) = delete;

    void start();

    /// Closes each caller's connection after its current answer and waits until
    /// no caller's call is in progress. The listeners stay open, entry and gate
    /// go on serving. False if `deadline` came first.
    bool drain(steady_time deadline);

    /// Refuses new work at the gate as not run, accepts no further connections,
    /// ends those that carry no request and waits until the others have had
    /// their answers. From `refuse_at` on it refuses requests that have not
    /// been passed on. False if `deadline` came first.
    bool finish(steady_time refuse_at, steady_time deadline);

    /// Cuts what is left and ends the threads.
    void stop();

    /// Tells how a call would be routed now: route, pool, candidates and the
    /// choice with reasons. The errors are those of a call.
    result<nlohmann::json> explain(
        const client_account_id& account,
        std::string_view host,
        std::string_view path,
        std::string_view method);

private:
    class parts;
    std::unique_ptr<parts> parts_;
};

} // namespace hemlockshelf

#endif
