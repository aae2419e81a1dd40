#ifndef HEMLOCKSHELF_ROUTING_UPSTREAM_LOAD_HPP
#define HEMLOCKSHELF_ROUTING_UPSTREAM_LOAD_HPP

#include <cstdint>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/routing/routing_settings.hpp"

namespace hemlockshelf {

/// How a call to an upstream ended, for the failure detection.
enum class call_outcome
{
    success,
    /// The gate refused the call for lack of slots, which is not a failure.
    refused,
    /// The connection failed, timed out or broke, or the upstream responded
    /// with a server error.
    failed,
    /// The caller disconnected or its deadline was too short; not recorded.
    cancelled,
};

/// Result of a call to an upstream, as observed by the entry.
struct call_report
{
    call_outcome outcome_ = call_outcome::success;
    /// `Hemlockshelf-Free-Slots` of the response, if present.
    std::optional<std::uint32_t> free_slots_;
};

/// State of the passive failure detection for one upstream.
enum class ejection_state
{
    in_use,
    ejected,
    /// The ejection is over; the upstream gets one probe call at a time.
    probing,
};

/// State that an entry keeps about one upstream of one service.
struct upstream_load
{
    /// Calls from this entry that have not ended.
    std::uint32_t in_progress_ = 0;
    /// Last reported free slots, minus the calls that this entry has started
    /// since.
    std::optional<double> free_slots_;
    steady_time free_slots_at_{};

    /// When the upstream appeared; nothing if it was in the first list.
    std::optional<steady_time> appeared_at_;
    /// Incarnation of the node that this state describes.
    incarnation incarnation_;

    ejection_state ejection_ = ejection_state::in_use;
    std::uint32_t failures_in_row_ = 0;
    std::uint32_t recorded_calls_ = 0;
    double failure_share_ = 0;
    /// Recent ejections; each doubles the duration of the next one.
    std::uint32_t ejections_ = 0;
    steady_time ejected_until_{};
    std::uint32_t probes_passed_ = 0;
    steady_time last_failure_at_{};
};

/// Returns the weight of the last reported free slots: 1 for a new report,
/// falling to 0 over `load_lifetime_`.
double freshness(
    const upstream_load& load,
    const routing_settings& settings,
    steady_time now);

/// Estimates the free slots. As the last report ages, the estimate moves from
/// the reported value to `slots` minus the entry's own calls.
double estimated_free_slots(
    const upstream_load& load,
    slot_count slots,
    const routing_settings& settings,
    steady_time now);

/// Returns the share (0 to 1) of a fully warm upstream's calls that this
/// upstream gets. `warming` means that the upstream itself reports a cold
/// start.
double warm_up_share(
    const upstream_load& load,
    bool warming,
    const routing_settings& settings,
    steady_time now);

/// Counts a call as started.
void record_call_started(upstream_load& load);

/// Counts a call as ended and stores the free slots of its response. Does not
/// record the outcome.
void record_call_ended(
    upstream_load& load, const call_report& report, steady_time now);

} // namespace hemlockshelf

#endif
