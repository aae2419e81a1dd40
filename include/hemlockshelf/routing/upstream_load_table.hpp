#ifndef HEMLOCKSHELF_ROUTING_UPSTREAM_LOAD_TABLE_HPP
#define HEMLOCKSHELF_ROUTING_UPSTREAM_LOAD_TABLE_HPP

#include <mutex>
#include <vector>

#include "hemlockshelf/core/sharded_map.hpp"
#include "hemlockshelf/routing/upstream_choice.hpp"

namespace hemlockshelf {

/// The load of every upstream that an entry calls, in shards by service, each
/// under its own lock. Thread-safe.
class upstream_load_table
{
public:
    /// `random` gives the node its offset from the common spill thresholds.
    upstream_load_table(
        const routing_settings& settings,
        entry_location location,
        random_source& random);

    /// Chooses an upstream among `members` and counts the call as started. For
    /// each choice with a member, `finish` must be called exactly once.
    upstream_choice choose(
        const service_key& service,
        const member_list& members,
        const choice_request& request,
        steady_time now,
        random_source& random);

    /// Counts a call as ended.
    void finish(
        const service_key& service,
        const vm_id& vm,
        const call_report& report,
        steady_time now);

    /// Describes every member as a choice would see it now.
    [[nodiscard]] std::vector<candidate_description> describe(
        const service_key& service,
        const member_list& members,
        steady_time now) const;

private:
    routing_settings settings_;
    entry_location location_;
    double spill_offset_;
    sharded_map<service_key, pool_state> pools_;
    std::mutex region_budget_mutex_;
    token_bucket region_budget_;
};

} // namespace hemlockshelf

#endif
