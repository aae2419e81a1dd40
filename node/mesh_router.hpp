#ifndef HEMLOCKSHELF_NODE_MESH_ROUTER_HPP
#define HEMLOCKSHELF_NODE_MESH_ROUTER_HPP

#include <nlohmann/json.hpp>

#include "adapters/http/call_router.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "hemlockshelf/retry/retry_budget_table.hpp"
#include "hemlockshelf/routing/upstream_load_table.hpp"

namespace hemlockshelf {

/// Decides from the table of members and the loads seen by this entry.
/// Thread-safe.
class mesh_router final : public call_router
{
public:
    mesh_router(
        const member_table& members,
        const routing_settings& routing,
        const retry_settings& retry,
        entry_location location,
        metric_sink& metrics);

    void call_started(const resolved_route& route, steady_time now) override;
    result<gate_choice> choose(
        const resolved_route& route,
        std::span<const vm_id> tried,
        steady_time now) override;
    void finish(
        const resolved_route& route,
        const vm_id& vm,
        const call_report& report,
        steady_time now) override;
    retry_decision decide_retry(
        const resolved_route& route,
        const failed_attempt& attempt,
        steady_time now) override;

    /// Describes the pool's upstreams and which of them a call would get now.
    [[nodiscard]] nlohmann::json
    describe(const resolved_route& route, steady_time now);

private:
    const member_table& members_;
    upstream_load_table loads_;
    retry_budget_table budgets_;
    metric_sink& metrics_;
};

} // namespace hemlockshelf

#endif
