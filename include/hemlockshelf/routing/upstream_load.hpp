#ifndef HEMLOCKSHELF_ROUTING_UPSTREAM_LOAD_HPP
#define HEMLOCKSHELF_ROUTING_UPSTREAM_LOAD_HPP

#include <cstdint>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/routing/routing_settings.hpp"

namespace hemlockshelf {

/// How a call to an upstream ended, as far as the upstream is to blame.
enum class call_outcome
{
    success,
    /// The gate refused the call for lack of slots. That is load, not failure.
    refused,
    /// The connection failed, timed out or broke, or the upstream answered
    /// with a server error.
    failed,
    /// The caller went away or its deadline was too short; says nothing.
    cancelled,
};

/// What the entry learns when a call ends.
struct call_report
{
    call_outcome outcome_ = call_outcome::success;
    /// `Hemlockshelf-Free-Slots` of the answer, if it had one.
    std::optional<std::uint32_t> free_slots_;
};

/// State of the passive failure detection for one upstream.
enum class ejection_state
{
    in_use,
    ejected,
    /// The ejection is over; one call at a time checks the upstream.
    probing,
};

/// What an entry knows about one upstream of one service.
struct upstream_load
{
    /// Calls from this entry that have not ended.
    std::uint32_t in_progress_ = 0;
    /// Free slots last seen, less the calls that this entry has started since.
    std::optional<double> free_slots_;
    steady_time free_slots_at_{};

    /// When the upstream appeared; nothing if it was there from the start.
    std::optional<steady_time> appeared_at_;
    /// Incarnation of the node to which all of this belongs.
    incarnation incarnation_;

    ejection_state ejection_ = ejection_state::in_use;
    std::uint32_t failures_in_row_ = 0;
    std::uint32_t recorded_calls_ = 0;
    double failure_share_ = 0;
    /// Ejections in recent time; each doubles the next one's time.
    std::uint32_t ejections_ = 0;
    steady_time ejected_until_{};
    std::uint32_t probes_passed_ = 0;
    steady_time last_failure_at_{};
};

/// Returns how much the free slots last seen still say: 1 for now, falling to 0
/// over their lifetime.
double freshness(
    const upstream_load& load,
    const routing_settings& settings,
    steady_time now);

/// Returns the slots that are probably free: those last seen, which give way
/// to `slots` less the entry's own calls as the sight ages.
double estimated_free_slots(
    const upstream_load& load,
    slot_count slots,
    const routing_settings& settings,
    steady_time now);

/// Returns the share (0 to 1) of a fully warm upstream's calls that this one
/// gets. `warming` says that the upstream itself reports a cold start.
double warm_up_share(
    const upstream_load& load,
    bool warming,
    const routing_settings& settings,
    steady_time now);

/// Counts a call as started.
void record_call_started(upstream_load& load);

/// Counts a call as ended and takes over the free slots of its answer. Does
/// not judge the outcome.
void record_call_ended(
    upstream_load& load, const call_report& report, steady_time now);

} // namespace hemlockshelf

#endif
