#ifndef HEMLOCKSHELF_TEST_HTTP_CALL_FIXTURE_HPP
#define HEMLOCKSHELF_TEST_HTTP_CALL_FIXTURE_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "adapters/http/call_quota.hpp"
#include "adapters/http/call_threads.hpp"
#include "adapters/http/connection_pool.hpp"
#include "adapters/http/entry_session.hpp"
#include "adapters/http/gate_session.hpp"
#include "adapters/http/relay_listener.hpp"
#include "adapters/http/upstream_gate.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "hemlockshelf/retry/retry_budget_table.hpp"
#include "scripted_server.hpp"

namespace hemlockshelf::test {

/// Discards everything.
class null_metrics final : public metric_sink
{
public:
    void add(metric_id, std::string_view, double) override {}
    void set(metric_id, std::string_view, double) override {}
    void observe(metric_id, std::string_view, double) override {}
};

/// Records the last value of each gauge and how often a gauge was set.
class recorded_gauges final : public metric_sink
{
public:
    void add(metric_id, std::string_view, double) override {}
    void set(metric_id metric, std::string_view label, double value) override;
    void observe(metric_id, std::string_view, double) override {}

    [[nodiscard]] double value(metric_id metric) const;
    [[nodiscard]] std::size_t writes() const;

private:
    mutable std::mutex mutex_;
    std::map<metric_id, double> values_;
    std::size_t writes_ = 0;
};

/// A clock whose readings take a configurable time, which makes the code that
/// reads it slower than its peers.
class delayed_clock final : public clock
{
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;

    void set_delay(std::chrono::microseconds delay)
    {
        delay_ = delay;
    }

private:
    real_clock time_;
    std::atomic<std::chrono::microseconds> delay_{};
};

/// Offers gates in a fixed order.
class fixed_router final : public call_router
{
public:
    explicit fixed_router(std::vector<endpoint> gates);

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

private:
    std::vector<endpoint> gates_;
    retry_budget_table budgets_{retry_settings{}};
    std::mutex mutex_;
    random_source random_{1};
};

/// Short time limits, for tests that wait until a limit expires. A peer that is
/// short of processor time can exceed them: on a busy machine, ready threads
/// have waited for more than 600 ms.
call_settings test_settings();

/// Long time limits, for tests whose peers answer: a peer counts as silent only
/// after the reads of the test have timed out.
call_settings long_timeout_settings();

/// An entry that forwards to the given gates. The account `regie` has a route
/// for host `catalogue.regie`.
class entry_under_test
{
public:
    explicit entry_under_test(
        std::vector<endpoint> gates,
        std::chrono::milliseconds timeout = std::chrono::seconds{20},
        std::uint32_t max_concurrent_calls = 200,
        const call_settings& settings = long_timeout_settings(),
        std::chrono::milliseconds target_latency = {});
    ~entry_under_test();

    entry_under_test(const entry_under_test&) = delete;
    entry_under_test& operator=(const entry_under_test&) = delete;

    [[nodiscard]] endpoint where() const;

    /// Sends one request on a new connection and reads the answer.
    [[nodiscard]] std::string call(const std::string& request) const;

    [[nodiscard]] session_group& group()
    {
        return group_;
    }

    [[nodiscard]] delayed_clock& time()
    {
        return time_;
    }

    /// Sets whether the node has joined the cluster.
    void set_ready(bool ready)
    {
        ready_ = ready;
    }

    /// Sets a function that the entry's event loop runs when it begins to serve
    /// a request, so that a test can block the loop. Set it before the first
    /// call.
    void on_call(std::function<void()> action)
    {
        on_call_ = std::move(action);
    }

    /// Blocks the entry when it begins to serve a request, or lets it continue.
    void set_paused(bool paused)
    {
        paused_ = paused;
    }

private:
    std::atomic<bool> ready_ = true;
    std::atomic<bool> paused_ = false;
    std::function<void()> on_call_;
    call_settings settings_;
    retry_settings retry_;
    delayed_clock time_;
    null_metrics metrics_;
    snapshot_store snapshots_;
    session_group group_;
    fixed_router router_;
    call_quota quota_;
    connection_pool gates_;
    entry_environment environment_;
    call_threads threads_;
    relay_listener listener_;
};

/// A gate in front of a given upstream.
class gate_under_test
{
public:
    gate_under_test(
        const endpoint& upstream,
        std::uint32_t slots = 4,
        std::uint32_t connections = 8,
        const call_settings& settings = test_settings(),
        const gate_settings& limits = {});
    ~gate_under_test();

    gate_under_test(const gate_under_test&) = delete;
    gate_under_test& operator=(const gate_under_test&) = delete;

    [[nodiscard]] endpoint where() const;

    [[nodiscard]] upstream_gate& gate()
    {
        return gate_;
    }

    [[nodiscard]] const recorded_gauges& gauges() const
    {
        return metrics_;
    }

    [[nodiscard]] session_group& group()
    {
        return group_;
    }

    [[nodiscard]] delayed_clock& time()
    {
        return time_;
    }

    /// Makes the upstream announce that it drains, or that it serves again.
    void announce_draining(bool draining);

    std::atomic<bool> shed_is_not_run_ = false;

private:
    upstream_announcement announced() const;

    call_settings settings_;
    delayed_clock time_;
    recorded_gauges metrics_;
    const upstream_announcement announced_;
    std::atomic<bool> draining_ = false;
    session_group group_;
    upstream_gate gate_;
    gate_environment environment_;
    call_threads threads_;
    relay_listener listener_;
};

/// Returns a caller's request.
std::string caller_request(
    const std::string& method,
    const std::string& body = {},
    const std::string& fields = {});

/// Returns an entry's request to a gate, without a handshake.
std::string gate_request_text(
    const std::string& method,
    const std::string& fields = {},
    unsigned deadline_ms = 20'000);

/// Returns the value of a header field, or an empty string.
std::string header_of(const std::string& message, const std::string& name);

/// Returns the head of a successful answer to a request, with further header
/// fields, each of which ends with a line break.
std::string head_to(const std::string& request, const std::string& fields);

/// Returns a successful answer to a request.
std::string answer_to(const std::string& request, const std::string& body);

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace hemlockshelf::test

#endif
