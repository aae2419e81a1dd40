#include "node/mesh_router.hpp"

#include <random>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/config/row_codec.hpp"

namespace hemlockshelf {

namespace {

service_key service_of(const resolved_route& route)
{
    return {account_of(route.pool_key_), route.pool_->service_};
}

nlohmann::json to_json(const candidate_description& view)
{
    return {
        {"vm", view.vm_.value()},
        {"tier", to_string(view.tier_)},
        {"status", to_string(view.status_)},
        {"free_slots", view.free_slots_},
        {"calls_in_progress", view.in_progress_},
        {"warm_up_share", view.warm_up_share_},
        {"failure_share", view.failure_share_},
        {"tier_share", view.tier_share_}};
}

} // namespace

mesh_router::mesh_router(
    const member_table& members,
    const routing_settings& routing,
    const retry_settings& retry,
    entry_location location,
    metric_sink& metrics)
    : members_(members), loads_(routing, std::move(location), thread_random()),
      budgets_(retry), metrics_(metrics)
{}

void mesh_router::call_started(const resolved_route& route, steady_time now)
{
    budgets_.earn(service_of(route), now);
}

result<gate_choice> mesh_router::choose(
    const resolved_route& route, std::span<const vm_id> tried, steady_time now)
{
    const auto service = service_of(route);
    choice_request request;
    request.tried_ = tried;
    const auto choice = loads_.choose(
        service, members_.members_of_service(service), request, now,
        thread_random());
    if (!choice.member_)
    {
        return make_error(
            choice_error(choice.reason_),
            fmt::format(
                "pool \"{}\": {}", route.pool_key_.value(),
                to_string(choice.reason_)));
    }
    const auto& member = *choice.member_;
    const auto gate = parse_endpoint(member.gate_address_);
    if (!gate)
    {
        loads_.finish(
            service, member.vm_, {call_outcome::failed, std::nullopt}, now);
        return tl::unexpected<error>(gate.error());
    }
    if (choice.tier_ != locality_tier::own_failure_domain)
    {
        metrics_.add(
            metric_id::spilled_calls,
            choice.tier_ == locality_tier::own_region ? "domain" : "region");
    }
    return gate_choice{member.vm_, *gate};
}

void mesh_router::finish(
    const resolved_route& route,
    const vm_id& vm,
    const call_report& report,
    steady_time now)
{
    loads_.finish(service_of(route), vm, report, now);
}

retry_decision mesh_router::decide_retry(
    const resolved_route& route, const failed_attempt& attempt, steady_time now)
{
    return budgets_.decide(service_of(route), attempt, now, thread_random());
}

nlohmann::json
mesh_router::describe(const resolved_route& route, steady_time now)
{
    const auto service = service_of(route);
    const auto members = members_.members_of_service(service);
    auto candidates = nlohmann::json::array();
    for (const auto& view : loads_.describe(service, members, now))
    {
        candidates.push_back(to_json(view));
    }
    choice_request request;
    const auto choice =
        loads_.choose(service, members, request, now, thread_random());
    nlohmann::json chosen{
        {"vm", nullptr}, {"reason", to_string(choice.reason_)}};
    if (choice.member_)
    {
        loads_.finish(
            service, choice.member_->vm_,
            {call_outcome::cancelled, std::nullopt}, now);
        chosen["vm"] = choice.member_->vm_.value();
        chosen["gate"] = choice.member_->gate_address_;
        chosen["tier"] = to_string(choice.tier_);
    }
    return {
        {"candidates", std::move(candidates)}, {"choice", std::move(chosen)}};
}

} // namespace hemlockshelf
