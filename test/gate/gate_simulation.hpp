#ifndef HEMLOCKSHELF_TEST_GATE_GATE_SIMULATION_HPP
#define HEMLOCKSHELF_TEST_GATE_GATE_SIMULATION_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "hemlockshelf/core/random_source.hpp"
#include "hemlockshelf/gate/admission.hpp"

namespace hemlockshelf {

/// A source of calls with exponential gaps.
struct call_source
{
    std::string account_;
    std::string entry_;
    traffic_class class_ = traffic_class::standard;
    double per_second_ = 0;
    std::chrono::milliseconds deadline_{200};
};

/// What became of the calls of one source.
struct source_result
{
    std::size_t offered_ = 0;
    std::size_t done_in_time_ = 0;
    std::size_t done_late_ = 0;
    std::size_t refused_ = 0;
    std::chrono::nanoseconds longest_start_{0};
};

/// Drives a gate and its upstream with an event loop.
class gate_simulation
{
public:
    gate_simulation(
        std::uint32_t slots, std::chrono::milliseconds mean_service_time);

    /// Runs the sources and returns a result for each.
    std::vector<source_result>
    run(const std::vector<call_source>& sources, std::chrono::seconds length);

private:
    struct event
    {
        steady_time at_;
        std::function<void()> run_;

        bool operator<(const event& other) const
        {
            return at_ > other.at_;
        }
    };

    struct pending_call
    {
        std::size_t source_ = 0;
        steady_time arrived_at_;
        steady_time deadline_;
    };

    void
    plan_arrival(std::size_t index, const call_source& source, steady_time end);
    void arrive(std::size_t index, const call_source& source);
    void begin(gate_call_id id);
    void end(gate_call_id id);
    void take(const gate_events& events);
    double exponential(double mean);

    gate_state gate_;
    std::chrono::milliseconds mean_service_time_;
    random_source random_{20261204};
    steady_time now_{std::chrono::seconds{1000}};
    std::priority_queue<event> events_;
    std::unordered_map<gate_call_id, pending_call> pending_;
    std::vector<source_result> results_;
};

} // namespace hemlockshelf

#endif
