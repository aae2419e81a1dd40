#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CALL_ROUTER_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CALL_ROUTER_HPP

#include <span>

#include "adapters/http/endpoint.hpp"
#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/retry/retry_decision.hpp"
#include "hemlockshelf/routing/upstream_load.hpp"

namespace hemlockshelf {

/// The gate chosen for one attempt of a call.
struct gate_choice
{
    vm_id vm_;
    endpoint gate_;
};

/// Chooses gates and decides about retries for the entry. Thread-safe.
class call_router
{
public:
    virtual ~call_router() = default;

    /// Counts the first attempt of a call.
    virtual void call_started(const resolved_route& route, steady_time now) = 0;

    /// Chooses a gate that is not in `tried`, if possible. For each choice,
    /// `finish` must be called exactly once. Every error is of a kind that says
    /// that the request was not run.
    virtual result<gate_choice> choose(
        const resolved_route& route,
        std::span<const vm_id> tried,
        steady_time now) = 0;

    /// Records what an attempt has shown about its upstream.
    virtual void finish(
        const resolved_route& route,
        const vm_id& vm,
        const call_report& report,
        steady_time now) = 0;

    /// Decides whether a failed attempt is followed by another one.
    virtual retry_decision decide_retry(
        const resolved_route& route,
        const failed_attempt& attempt,
        steady_time now) = 0;

protected:
    call_router() = default;
    call_router(const call_router&) = default;
    call_router& operator=(const call_router&) = default;
};

} // namespace hemlockshelf

#endif
