#include "adapters/settings/section_readers.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace hemlockshelf {

namespace {

// Upper limit of counts that only have to be sane.
constexpr std::uint64_t any_count = 1'000'000;
constexpr double any_rate = 1'000'000;

template <class Integer>
void read_count(
    settings_section& section,
    const setting_key& key,
    Integer& value,
    std::uint64_t low = 1,
    std::uint64_t high = any_count)
{
    value = static_cast<Integer>(
        section.count(key, static_cast<std::uint64_t>(value), low, high));
}

void read_share(
    settings_section& section, const setting_key& key, double& value)
{
    value = section.number(key, value, 0, 1);
}

void read_rate(settings_section& section, const setting_key& key, double& value)
{
    value = section.number(key, value, 0, any_rate);
}

template <class Integer>
void read_size(
    settings_section& section, const setting_key& key, Integer& value)
{
    value = static_cast<Integer>(
        section.size(key, byte_count{static_cast<std::uint64_t>(value)})
            .value());
}

template <class Duration>
void read_duration(
    settings_section& section, const setting_key& key, Duration& value)
{
    value = section.duration(key, value);
}

void read_spill(settings_section& section, routing_settings& settings)
{
    read_share(
        section,
        {"spill_start",
         "Use of a tier at which calls start to spill to the next."},
        settings.spill_start_);
    read_share(
        section,
        {"spill_end",
         "Use of a tier at which the highest share of calls spills."},
        settings.spill_end_);
    read_share(
        section, {"spill_max", "Highest share of calls that spill."},
        settings.spill_max_);
    read_share(
        section,
        {"spill_spread", "Random offset of a node's spill thresholds."},
        settings.spill_spread_);
    read_duration(
        section, {"spill_smoothing", "Time constant of a tier's smoothed use."},
        settings.spill_smoothing_);
    read_duration(
        section,
        {"spill_interval",
         "Least interval between updates of the smoothed use."},
        settings.spill_interval_);
    if (settings.spill_start_ > settings.spill_end_)
    {
        section.report(
            {"spill_start", ""}, "expected a value not above spill_end");
    }
}

void read_ejection(settings_section& section, routing_settings& settings)
{
    read_count(
        section,
        {"failures_to_eject", "Failures in a row that eject an upstream."},
        settings.failures_to_eject_);
    read_share(
        section,
        {"failure_share_to_eject",
         "Share of failed calls that ejects an upstream."},
        settings.failure_share_to_eject_);
    read_count(
        section,
        {"calls_to_judge",
         "Calls that must be seen before the share of failed calls counts."},
        settings.calls_to_judge_);
    read_share(
        section,
        {"ejection_limit", "Largest part of a pool that is ejected at a time."},
        settings.ejection_limit_);
    read_duration(
        section,
        {"ejection_time",
         "Time of the first ejection; it doubles with each further one."},
        settings.ejection_time_);
    read_duration(
        section, {"ejection_time_max", "Longest ejection."},
        settings.ejection_time_max_);
    read_count(
        section,
        {"probes_to_recover", "Calls that must succeed before an ejected "
                              "upstream gets its whole share."},
        settings.probes_to_recover_);
    read_duration(
        section,
        {"ejection_memory",
         "Time without a failure after which past ejections are forgotten."},
        settings.ejection_memory_);
}

} // namespace

void read_call_path(settings_section section, call_settings& settings)
{
    read_count(
        section, {"threads", "Threads that carry calls."}, settings.threads_, 1,
        64);
    read_count(
        section, {"max_header_bytes", "Longest header of a message, in bytes."},
        settings.max_header_bytes_);
    read_size(
        section, {"max_body", "Longest body of a message."},
        settings.max_body_bytes_);
    read_size(
        section, {"relay_buffer", "Buffer of one direction of one call."},
        settings.relay_buffer_bytes_);
    read_size(
        section,
        {"retry_body_limit",
         "Longest body of a request that can be sent again."},
        settings.retry_body_limit_);
    read_size(
        section,
        {"held_answer_limit",
         "Longest answer that is held until it is whole; longer ones are "
         "streamed."},
        settings.held_answer_limit_);
    read_count(
        section,
        {"max_client_connections",
         "Connections that a listener serves at once."},
        settings.max_client_connections_);
    read_duration(
        section,
        {"idle_timeout",
         "Time after which a client's connection without a request is closed."},
        settings.idle_timeout_);
    read_duration(
        section,
        {"refusal_timeout",
         "Limit for writing an answer that the node makes itself."},
        settings.refusal_timeout_);
    read_duration(
        section,
        {"answer_timeout",
         "Time after a call's deadline for which an answer that has come is "
         "still passed on to a slow client."},
        settings.answer_timeout_);
    read_duration(
        section, {"connect_timeout", "Limit for opening a connection."},
        settings.connect_timeout_);
    read_duration(
        section,
        {"handshake_timeout", "Limit for a gate's 100 Continue or refusal."},
        settings.handshake_timeout_);
    read_duration(
        section,
        {"progress_interval",
         "Interval at which a gate reports that a request is still in work."},
        settings.progress_interval_);
    read_duration(
        section,
        {"silence_timeout", "Time without an answer or report after which a "
                            "gate's connection counts as silent."},
        settings.silence_timeout_);
    read_duration(
        section,
        {"first_byte_timeout",
         "Limit for the first body byte after the gate's 100 Continue."},
        settings.first_byte_timeout_);
    read_count(
        section, {"pool_idle_limit", "Idle connections kept per peer."},
        settings.pool_idle_limit_);
    read_count(
        section, {"pool_open_limit", "Open connections per gate."},
        settings.pool_open_limit_);
    read_duration(
        section,
        {"pool_idle_age", "Age beyond which an idle connection is not reused."},
        settings.pool_idle_age_);
    read_duration(
        section,
        {"drain_notice",
         "Time for which a node that leaves still takes calls."},
        settings.drain_notice_);
    read_duration(
        section,
        {"gate_drain_notice",
         "Last part of drain_notice, in which the other nodes are to use other "
         "upstreams."},
        settings.gate_drain_notice_);
    read_duration(
        section,
        {"drain_limit",
         "Longest wait of a node that leaves for calls in progress."},
        settings.drain_limit_);
    read_duration(
        section,
        {"stop_grace",
         "Time from a SIGTERM until the platform kills the process. If given, "
         "a node that leaves waits for calls in progress for most of it "
         "instead of drain_limit."},
        settings.stop_grace_);
    if (settings.silence_timeout_ <= settings.progress_interval_)
    {
        section.report(
            {"silence_timeout", ""},
            "expected a duration above progress_interval");
    }
    section.reject_unknown_keys();
}

void read_editing(settings_section section, editing_settings& settings)
{
    auto& quotas = settings.quotas_;
    read_count(
        section, {"max_rows", "Rows of both tables that an account may hold."},
        quotas.max_rows_);
    read_count(
        section,
        {"max_accepted",
         "Edits of an account that the fleet accepts within accepted_window."},
        quotas.max_accepted_);
    read_duration(
        section, {"accepted_window", "Window of max_accepted."},
        quotas.accepted_window_);
    read_count(
        section,
        {"max_submitted_per_second",
         "Edits per second that one node takes from an account."},
        quotas.max_submitted_per_second_);
    read_count(
        section,
        {"max_concurrent",
         "Edits of an account that one node works on at once."},
        quotas.max_concurrent_, 1, 3);
    auto& retry = settings.retry_;
    read_count(
        section,
        {"max_attempts", "Commits that an edit tries while others win."},
        retry.max_attempts_);
    read_duration(
        section,
        {"first_delay", "Upper limit of the delay before the second attempt."},
        retry.first_delay_);
    read_duration(
        section, {"max_delay", "Upper limit of the delay before any attempt."},
        retry.max_delay_);
    read_count(
        section, {"max_read_backs", "Reads by change id after a lost answer."},
        retry.max_read_backs_);
    read_duration(
        section, {"read_back_interval", "Interval between these reads."},
        retry.read_back_interval_);
    read_duration(
        section,
        {"give_up_after", "Time after which no further attempt starts."},
        retry.give_up_after_);
    read_duration(
        section, {"platform_timeout", "Limit of each request to the platform."},
        settings.platform_timeout_);
    read_count(
        section, {"change_log_capacity", "Deltas that a node keeps for peers."},
        settings.change_log_capacity_);
    read_duration(
        section,
        {"change_retention",
         "Age at which change rows and change ids move to the archive."},
        settings.change_retention_);
    section.reject_unknown_keys();
}

void read_routing(settings_section section, routing_settings& settings)
{
    read_duration(
        section,
        {"load_lifetime",
         "Age at which the free slots seen on an answer are dropped."},
        settings.load_lifetime_);
    read_spill(section, settings);
    read_ejection(section, settings);
    read_duration(
        section,
        {"warm_up",
         "Time in which a new upstream's share grows to its full size."},
        settings.warm_up_);
    read_share(
        section, {"warm_up_start", "Share with which a new upstream starts."},
        settings.warm_up_start_);
    read_rate(
        section,
        {"region_calls_per_second",
         "Calls per second that a node sends to other regions."},
        settings.region_calls_.per_second_);
    read_rate(
        section,
        {"region_calls_burst", "Calls to other regions that can be saved up."},
        settings.region_calls_.burst_);
    section.reject_unknown_keys();
}

void read_retry(settings_section section, retry_settings& settings)
{
    read_share(
        section,
        {"budget_ratio", "Retries that each request earns for its service."},
        settings.budget_ratio_);
    read_rate(
        section, {"budget_burst", "Most retries that requests can save up."},
        settings.budget_burst_);
    read_rate(
        section,
        {"floor_per_second",
         "Retries per second that a service gets at least."},
        settings.floor_per_second_);
    read_rate(
        section, {"floor_burst", "Most retries that the floor can save up."},
        settings.floor_burst_);
    read_count(
        section,
        {"max_attempts", "Attempts per request, the first one included."},
        settings.max_attempts_, 1, 10);
    read_count(
        section, {"max_gates", "Gates that are asked for one request."},
        settings.max_gates_, 1, 64);
    settings.retry_server_errors_ = section.flag(
        {"retry_server_errors", "Whether an idempotent request is sent again "
                                "after an upstream's server error."},
        settings.retry_server_errors_);
    read_duration(
        section,
        {"backoff_base", "Upper limit of the delay before the first retry."},
        settings.backoff_base_);
    read_duration(
        section, {"backoff_max", "Upper limit of the delay before any retry."},
        settings.backoff_max_);
    read_duration(
        section,
        {"min_time_left", "Least time left for which a retry is made."},
        settings.min_time_left_);
    read_share(
        section,
        {"deadline_share_kept",
         "Part of the time left that each hop keeps back."},
        settings.deadline_share_kept_);
    read_duration(
        section, {"deadline_kept", "Least time that each hop keeps back."},
        settings.deadline_kept_);
    section.reject_unknown_keys();
}

void read_accounts(settings_section section, account_settings& settings)
{
    read_duration(
        section,
        {"revocation_limit",
         "Time after which no node accepts a withdrawn API key, even one that "
         "is cut off; 0 sets no limit."},
        settings.revocation_limit_);
    section.reject_unknown_keys();
}

void read_quota(settings_section section, quota_settings& settings)
{
    read_duration(
        section,
        {"window", "Window in which the requests of a client account are "
                   "counted; 0 turns quotas off."},
        settings.window_);
    read_share(
        section,
        {"overage", "Part by which an account's requests in a window may "
                    "exceed its quota."},
        settings.overage_);
    const auto domains = section.text_pairs(
        {"failure_domains",
         "All failure domains of the deployment, each with its region."});
    settings.failure_domains_ = std::max<std::size_t>(domains.size(), 1);
    if (settings.window_.count() > 0 && domains.empty())
    {
        // Each of them would grant the whole quota.
        section.report(
            {"failure_domains", ""},
            "expected all failure domains of the deployment, given none");
    }
    section.reject_unknown_keys();
}

void read_gate_limits(settings_section section, gate_settings& settings)
{
    read_share(
        section,
        {"lookup_reserve", "Part of the capacity that is kept for lookups."},
        settings.lookup_reserve_);
    read_share(
        section,
        {"lookup_priority_share",
         "Part of the slots up to which waiting lookups go first."},
        settings.lookup_priority_share_);
    read_share(
        section,
        {"bulk_share", "Part of the slots that bulk calls may use together."},
        settings.bulk_share_);
    read_rate(
        section, {"queue_per_slot", "Waiting calls per slot."},
        settings.queue_per_slot_);
    read_count(
        section, {"queue_limit", "Most waiting calls."}, settings.queue_limit_);
    read_duration(
        section,
        {"max_wait", "Longest time that a call may be expected to wait."},
        settings.max_wait_);
    read_rate(
        section,
        {"service_margin",
         "Mean service times that must be left after the expected wait."},
        settings.service_margin_);
    read_share(
        section,
        {"link_body_share",
         "Part of the VM's link that bodies of requests may use."},
        settings.link_body_share_);
    read_duration(
        section,
        {"link_grant",
         "Time of the link that bodies on their way may take together."},
        settings.link_grant_);
    read_duration(
        section,
        {"assumed_service_time",
         "Service time until calls have been measured."},
        settings.assumed_service_time_);
    read_share(
        section,
        {"service_time_weight",
         "Weight of the newest call in the mean service time."},
        settings.service_time_weight_);
    read_duration(
        section,
        {"usage_half_life",
         "Time after which the use of an account or entry counts half."},
        settings.usage_half_life_);
    read_count(
        section,
        {"usage_limit", "Accounts or entries whose use is remembered."},
        settings.usage_limit_);
    read_rate(
        section,
        {"new_connections_per_second",
         "New connections to the upstream per second."},
        settings.new_connections_.per_second_);
    read_rate(
        section,
        {"new_connections_burst", "New connections that can be saved up."},
        settings.new_connections_.burst_);
    read_count(
        section, {"idempotency_limit", "Idempotency records that are held."},
        settings.idempotency_limit_);
    read_share(
        section,
        {"idempotency_account_share",
         "Part of the records that one account may hold."},
        settings.idempotency_account_share_);
    read_duration(
        section,
        {"idempotency_age",
         "Age at which the record of a finished request is dropped."},
        settings.idempotency_age_);
    section.reject_unknown_keys();
}

void read_membership(settings_section section, membership_settings& settings)
{
    read_duration(
        section,
        {"heartbeat_interval", "Interval of the heartbeats to neighbours."},
        settings.heartbeat_interval_);
    read_duration(
        section,
        {"heartbeat_deadline",
         "Time without an answer after which a heartbeat is missed."},
        settings.heartbeat_deadline_);
    read_count(
        section,
        {"missed_limit",
         "Heartbeats missed in a row before a neighbour is suspected."},
        settings.missed_limit_, 1, 100);
    read_count(
        section,
        {"neighbours", "Neighbours to which this node sends heartbeats."},
        settings.neighbours_, 1, 16);
    read_count(
        section,
        {"confirming_nodes", "Nodes that are asked to confirm a suspicion."},
        settings.confirming_nodes_, 1, 16);
    read_duration(
        section,
        {"probe_deadline", "Limit of a request to confirm a suspicion."},
        settings.probe_deadline_);
    read_duration(
        section,
        {"warm_up_time",
         "How long a new upstream is at least reported as warming; each node "
         "adds up to half of it."},
        settings.warm_up_time_);
    read_duration(
        section,
        {"announcement_lifetime",
         "Time without an announcement after which the upstream counts as "
         "down."},
        settings.announcement_lifetime_);
    read_duration(
        section,
        {"removal_delay", "Time after which members that left or are down are "
                          "no longer listed."},
        settings.removal_delay_);
    read_duration(
        section,
        {"removed_record_lifetime",
         "How long the version of a removed member is kept."},
        settings.removed_record_lifetime_);
    read_duration(
        section,
        {"pause_threshold",
         "Step of the clock between two ticks that counts as a pause."},
        settings.pause_threshold_);
    read_count(
        section,
        {"unreachable_after", "Failed contacts in a row after which a failure "
                              "domain is held to be unreachable."},
        settings.unreachable_after_, 1, 100);
    read_count(
        section,
        {"directory_rows",
         "Rows of one failure domain in the platform's directory."},
        settings.directory_rows_, 1, 64);
    read_duration(
        section,
        {"directory_interval",
         "Interval at which a node looks after its row in the directory."},
        settings.directory_interval_);
    read_count(
        section,
        {"join_peers", "Peers that a joining node asks for their revision."},
        settings.join_peers_, 1, 16);
    read_duration(
        section,
        {"join_timeout", "Longest wait of a joining node for peers once the "
                         "platform has answered."},
        settings.join_timeout_);
    section.reject_unknown_keys();
}

void read_dissemination(
    settings_section section, dissemination_settings& settings)
{
    const auto profile = section.choice(
        {"profile", "What the defaults of this section favour: short "
                    "convergence time or few control bytes."},
        "convergence", {"convergence", "bytes"});
    settings = default_settings(
        profile == "bytes" ? dissemination_profile::bytes
                           : dissemination_profile::convergence);
    read_count(
        section,
        {"domain_fanout",
         "Children of a node in the tree within a failure domain."},
        settings.domain_fanout_, 1, 64);
    read_count(
        section,
        {"readers_per_domain",
         "Nodes of a failure domain that poll the platform."},
        settings.readers_per_domain_, 1, 1024);
    read_count(
        section,
        {"publication_readers", "Nodes of the whole deployment that wait for "
                                "published configurations."},
        settings.publication_readers_, 1, 64);
    read_duration(
        section,
        {"poll_interval",
         "Interval at which a reader polls the platform's head."},
        settings.poll_interval_);
    settings.offer_first_ = section.flag(
        {"offer_first", "Whether a revision is announced before it is sent to "
                        "another failure domain or region."},
        settings.offer_first_);
    read_duration(
        section,
        {"repair_interval", "Interval of the digest exchange with a peer of "
                            "the own failure domain."},
        settings.repair_interval_);
    read_duration(
        section,
        {"cross_domain_interval", "Interval of the digest exchange with a peer "
                                  "of another failure domain."},
        settings.cross_domain_interval_);
    read_duration(
        section,
        {"repair_grace",
         "Time that a push gets before a digest that differs starts a repair."},
        settings.repair_grace_);
    read_count(
        section,
        {"takeover_attempts",
         "Peers that a push takes over from nodes that do not answer."},
        settings.takeover_attempts_, 1, 1024);
    read_duration(
        section,
        {"record_batch_delay", "Time that member records wait for others, to "
                               "be sent in one message."},
        settings.record_batch_delay_);
    read_duration(
        section,
        {"domain_push_deadline", "Limit of a push within the failure domain."},
        settings.domain_push_deadline_);
    read_duration(
        section,
        {"cross_domain_push_deadline",
         "Limit of a push to another failure domain or region."},
        settings.cross_domain_push_deadline_);
    read_duration(
        section,
        {"push_hedge_delay",
         "Time after which deltas for another failure domain or region are "
         "offered to the next candidate as well."},
        settings.push_hedge_delay_);
    read_duration(
        section,
        {"reader_hedge_delay",
         "Time after which a node that compares its revision with a silent "
         "reader asks the next reader as well."},
        settings.reader_hedge_delay_);
    read_count(
        section,
        {"bridge_attempts",
         "Candidates that are tried for another failure domain or region."},
        settings.bridge_attempts_, 1, 64);
    read_duration(
        section,
        {"fetch_deadline", "Limit of a fetch of deltas or a snapshot."},
        settings.fetch_deadline_);
    read_count(
        section, {"kept_deltas", "Deltas that are kept for peers that fetch."},
        settings.kept_deltas_);
    read_count(
        section,
        {"snapshots_at_once",
         "Whole snapshots that are served in one snapshot_period."},
        settings.snapshots_at_once_, 1, 64);
    read_duration(
        section, {"snapshot_period", "Period of snapshots_at_once."},
        settings.snapshot_period_);
    read_duration(
        section,
        {"busy_retry_after",
         "Time after which a busy node asks to be asked again, before jitter."},
        settings.busy_retry_after_);
    section.reject_unknown_keys();
}

} // namespace hemlockshelf
