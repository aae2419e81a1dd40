#ifndef HEMLOCKSHELF_ROUTING_UPSTREAM_CHOICE_HPP
#define HEMLOCKSHELF_ROUTING_UPSTREAM_CHOICE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "hemlockshelf/core/error_kind.hpp"
#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/membership/member_table.hpp"
#include "hemlockshelf/routing/locality.hpp"
#include "hemlockshelf/routing/pool_state.hpp"
#include "hemlockshelf/routing/routing_settings.hpp"

namespace hemlockshelf {

/// What speaks for or against a member.
enum class candidate_status
{
    usable,
    /// Only chosen when nothing usable is left.
    suspect,
    ejected,
    /// Probing, with its one call in progress.
    probe_in_progress,
    /// Only chosen when nothing of the above is left.
    unreachable,
    /// Never chosen, like the ones below.
    already_tried,
    not_serving,
    draining,
    down,
};

/// Why the choice fell as it did.
enum class choice_reason
{
    /// From the nearest tier with usable upstreams.
    nearest_tier,
    /// The nearer tiers are in high use.
    spilled,
    /// Nothing usable was left.
    last_resort,
    /// No choice: no member may be chosen.
    no_candidate,
    /// No choice: only other regions are left and their budget is used up.
    region_budget_empty,
    /// No choice: the pool's `max_concurrent_calls` are in progress.
    pool_limit,
};

/// What is asked for one attempt of a request.
struct choice_request
{
    /// Upstreams that earlier attempts of the request have tried.
    std::span<const vm_id> tried_;
    /// `pool_row::max_concurrent_calls_`.
    std::uint32_t max_concurrent_calls_ = UINT32_MAX;
};

struct upstream_choice
{
    choice_reason reason_ = choice_reason::no_candidate;
    /// The chosen upstream's record, if there is a choice.
    std::optional<member_record> member_;
    locality_tier tier_ = locality_tier::own_failure_domain;
};

/// One member on the explain page.
struct candidate_description
{
    vm_id vm_;
    locality_tier tier_ = locality_tier::own_failure_domain;
    candidate_status status_ = candidate_status::usable;
    double free_slots_ = 0;
    std::uint32_t in_progress_ = 0;
    double warm_up_share_ = 1;
    double failure_share_ = 0;
    /// Share of the service's calls that the member's tier gets.
    double tier_share_ = 0;
};

std::string_view to_string(candidate_status value);
std::string_view to_string(choice_reason value);

/// Returns the error kind that answers a choice without a member.
error_kind choice_error(choice_reason value);

/// Chooses an upstream. Does not count the call: `note_call_started` does.
/// Takes from `region_budget` only when the choice is in another region.
/// `state` must hold the present members (`sync_members`).
upstream_choice choose_upstream(
    pool_state& state,
    const choice_request& request,
    const routing_settings& settings,
    token_bucket& region_budget,
    steady_time now,
    random_source& random);

/// Describes every member, in the order of the member list.
std::vector<candidate_description> describe_candidates(
    const pool_state& state,
    std::span<const vm_id> tried,
    const routing_settings& settings,
    steady_time now);

} // namespace hemlockshelf

#endif
