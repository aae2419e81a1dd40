#ifndef HEMLOCKSHELF_ADAPTERS_NODE_CALL_PLANE_HPP
#define HEMLOCKSHELF_ADAPTERS_NODE_CALL_PLANE_HPP

#include <memory>

#include "adapters/node/own_upstream.hpp"
#include "adapters/settings/node_settings.hpp"
#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/membership/member_table.hpp"

namespace hemlockshelf {

/// Carries calls: the entry for callers and the gate before the own upstream.
/// Runs on threads of its own between `start` and `stop`.
class call_plane
{
public:
    /// Binds both listeners. Throws `boost::system::system_error` if an
    /// address can't be bound.
    call_plane(
        const node_settings& settings,
        const clock& time,
        const snapshot_store& snapshots,
        const member_table& members,
        const own_upstream& upstream);
    ~call_plane();

    call_plane(const call_plane&) = delete;
    call_plane& operator=(const call_plane&) = delete;

    void start();
    void stop();

private:
    class parts;
    std::unique_ptr<parts> parts_;
};

} // namespace hemlockshelf

#endif
