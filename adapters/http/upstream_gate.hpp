#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_UPSTREAM_GATE_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_UPSTREAM_GATE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "adapters/http/call_settings.hpp"
#include "adapters/http/connection_lease.hpp"
#include "adapters/http/endpoint.hpp"
#include "adapters/http/idle_connections.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/gate/admission.hpp"
#include "hemlockshelf/gate/connection_counts.hpp"
#include "hemlockshelf/gate/idempotency_records.hpp"
#include "hemlockshelf/membership/upstream_announcement.hpp"

namespace hemlockshelf {

/// Controls the slots and connections of the node's upstream. Every call to the
/// upstream passes through it. Thread-safe.
class upstream_gate final : public connection_owner
{
public:
    /// Called without a value if a queued call was admitted, or with the reason
    /// of its refusal; on any thread, at most once.
    using decision_handler = std::function<void(std::optional<refusal_reason>)>;

    /// A connection to the upstream, or the time at which to ask again.
    struct connection_offer
    {
        std::optional<connection_lease> lease_;
        steady_time retry_at_;
    };

    upstream_gate(
        const call_settings& settings,
        const gate_settings& limits,
        const clock& time,
        std::function<std::optional<upstream_announcement>()> upstream,
        metric_sink& metrics);

    /// Admits, queues or refuses a call. `decided` is kept and called later
    /// only if the call is queued.
    admission_result offer(const gate_call& call, decision_handler decided);

    /// Records that another `bytes` bytes of the body of an admitted call have
    /// arrived.
    void receive_part(gate_call_id id, byte_count bytes);

    /// Records that the whole body of an admitted call has arrived. Returns the
    /// number of long bodies that were arriving until then, including this one
    /// if it is long.
    std::uint32_t receive_body(gate_call_id id, byte_count bytes);

    /// Frees the slot of an admitted call.
    void release_slot(gate_call_id id);

    /// Removes a queued call from the queue, or frees its slot if it has been
    /// admitted in the meantime.
    void withdraw(gate_call_id id);

    /// Takes a connection to the upstream for a call to `service`, which is
    /// empty if the entry names none. The error is `no_upstream` if there is no
    /// upstream of that service, `overloaded` if every connection is in use.
    result<connection_offer> take_connection(
        const service_name& service,
        const boost::asio::any_io_executor& executor);

    void release(
        const endpoint& peer,
        std::unique_ptr<http_connection> connection,
        steady_time now) override;

    idempotency_status
    begin_request(const client_account_id& account, const idempotency_id& id);
    void abandon_request(const idempotency_id& id);
    void finish_request(const idempotency_id& id);

    /// Refuses all queued and all later calls as not run.
    void begin_shutdown();

    /// Applies the current announcement of the upstream, refuses expired calls,
    /// reclaims the link capacity of overdue bodies and closes idle connections
    /// that are too old. Called at `next_refresh`.
    void refresh();

    /// Returns when `refresh` is to be called next: 5 to 200 ms from now.
    [[nodiscard]] steady_time next_refresh() const;

    void close_idle();

    [[nodiscard]] std::uint32_t free_slots() const;

    /// Name of the announced instance; empty if there is none.
    [[nodiscard]] std::string instance() const;

    /// Number of connections to the upstream, in use and idle.
    [[nodiscard]] std::uint32_t open_connections() const;

private:
    using decision = std::pair<decision_handler, std::optional<refusal_reason>>;
    using decision_list = std::vector<decision>;

    bool serves(const service_name& service) const;
    void update_upstream(steady_time now, decision_list& decided);
    void apply_announcement(
        const upstream_announcement& announcement,
        steady_time now,
        decision_list& decided);
    void collect_decisions(const gate_events& events, decision_list& decided);
    void close_surplus_connections();
    void count_closed_idle(std::size_t count);
    void report_gauges();
    static void notify(decision_list& decided);

    const call_settings& settings_;
    const clock& time_;
    std::function<std::optional<upstream_announcement>()> upstream_;
    metric_sink& metrics_;
    token_rate new_connection_rate_;
    /// Whether the link's capacity is known. Only then do bodies wait for a
    /// share of it.
    const bool link_rate_known_;
    mutable std::mutex mutex_;
    gate_state state_;
    /// Last value of the gauge of long bodies, which is set only on a change.
    std::uint32_t reported_long_bodies_ = 0;
    idempotency_records idempotency_records_;
    connection_counts ledger_;
    idle_connections idle_;
    std::optional<upstream_announcement> applied_;
    endpoint address_;
    /// Start of the upstream process to which the idle connections lead.
    announcement_version upstream_start_;
    bool shutting_down_ = false;
    std::unordered_map<gate_call_id, decision_handler> queued_handlers_;
};

/// Frees the slot of an admitted call when it is destroyed.
class slot_lease
{
public:
    slot_lease(upstream_gate& gate, gate_call_id id) : gate_(gate), id_(id) {}

    ~slot_lease()
    {
        gate_.release_slot(id_);
    }

    slot_lease(const slot_lease&) = delete;
    slot_lease& operator=(const slot_lease&) = delete;

private:
    upstream_gate& gate_;
    gate_call_id id_;
};

} // namespace hemlockshelf

#endif
