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

/// The authority on the slots and connections of the node's upstream: no call
/// reaches the upstream but through it. Thread-safe.
class upstream_gate final : public connection_owner
{
public:
    /// Gets nothing when the call has got a slot, or the reason of its
    /// refusal. Called from any thread, at most once.
    using decision_handler = std::function<void(std::optional<refusal_reason>)>;

    /// Right to a connection to the upstream, or when to ask again.
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

    /// Offers a call. `decided` is only kept, and called later, if the call is
    /// queued.
    admission_result offer(const gate_call& call, decision_handler decided);

    /// Notes that so many more bytes of the body of an admitted call have
    /// arrived.
    void receive_part(gate_call_id id, byte_count bytes);

    /// Notes that the body of an admitted call has arrived whole. Returns how
    /// many long bodies were arriving until then.
    std::uint32_t receive_body(gate_call_id id, byte_count bytes);

    /// Gives the slot of an admitted call back.
    void release_slot(gate_call_id id);

    /// Takes a queued call back, or gives its slot back if it has got one in
    /// the meantime.
    void withdraw(gate_call_id id);

    /// Hands out a connection to the upstream for a call to `service`, empty if
    /// the entry names none. `no_upstream` if there is no upstream of that
    /// service, `overloaded` if every connection is in use.
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

    /// Refuses every waiting and every later call as not run.
    void begin_shutdown();

    /// Takes over what the upstream announces, drops expired calls, takes the
    /// link back from overdue bodies and closes aged connections. Called at
    /// `next_refresh`.
    void refresh();

    /// Returns when `refresh` is to be called next: 5 to 200 ms from now.
    [[nodiscard]] steady_time next_refresh() const;

    void close_idle();

    [[nodiscard]] std::uint32_t free_slots() const;

    /// Name of the announced instance; empty if it has none.
    [[nodiscard]] std::string instance() const;

    /// Connections to the upstream, in use and idle.
    [[nodiscard]] std::uint32_t open_connections() const;

private:
    using decision = std::pair<decision_handler, std::optional<refusal_reason>>;
    using decision_list = std::vector<decision>;

    bool serves(const service_name& service) const;
    void follow_upstream(steady_time now, decision_list& decided);
    void apply(
        const upstream_announcement& announcement,
        steady_time now,
        decision_list& decided);
    void collect(const gate_events& events, decision_list& decided);
    void close_surplus();
    void drop_idle(std::size_t count);
    void report();
    static void call(decision_list& decided);

    const call_settings& settings_;
    const clock& time_;
    std::function<std::optional<upstream_announcement>()> upstream_;
    metric_sink& metrics_;
    token_rate pace_;
    /// Whether the link's capacity is known, so that bodies are granted.
    const bool link_known_;
    mutable std::mutex mutex_;
    gate_state state_;
    /// Value of the gauge of long bodies, which seldom changes.
    std::uint32_t reported_bodies_ = 0;
    idempotency_records records_;
    connection_counts ledger_;
    idle_connections idle_;
    std::optional<upstream_announcement> followed_;
    endpoint address_;
    /// Start of the upstream to which the idle connections belong.
    announcement_version start_;
    bool leaving_ = false;
    std::unordered_map<gate_call_id, decision_handler> waiting_;
};

/// Holds the slot of an admitted call.
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
