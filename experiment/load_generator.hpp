#ifndef HEMLOCKSHELF_EXPERIMENT_LOAD_GENERATOR_HPP
#define HEMLOCKSHELF_EXPERIMENT_LOAD_GENERATOR_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "adapters/http/endpoint.hpp"
#include "adapters/http/http_message.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Options of a load generator.
struct load_options
{
    /// Calls per second.
    double rate_ = 50;
    /// Addresses that accept callers' requests.
    std::vector<endpoint> targets_;
    std::string account_;
    /// Values of the `Host` header, chosen at random.
    std::vector<std::string> hosts_;
    /// Share of requests that must run at most once.
    double non_idempotent_share_ = 0.3;
    /// Share of requests with a large body and a large answer.
    double large_share_ = 0.02;
    std::size_t large_bytes_ = 200'000;
    std::size_t small_bytes_ = 100;
    /// Processing time of a request in the upstream.
    std::chrono::milliseconds work_{2};
    std::chrono::milliseconds timeout_{3000};
    /// Prefix of each request id, so that ids of several generators in one run
    /// do not collide.
    std::string id_prefix_ = "r";
    /// Returns the path of the next request; if empty, the path contains the
    /// request's id. Called on the generator's thread.
    std::function<std::string()> next_path_ = {};
    std::uint64_t seed_ = 1;
};

/// Sends requests at a given rate, whether or not answers come in time (open
/// loop), and records each request. Runs on a thread of its own.
class load_generator
{
public:
    explicit load_generator(load_options options);
    ~load_generator();

    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    void start();

    /// Sends nothing more, waits for the answers and returns the records.
    std::vector<request_record> stop();

    void set_rate(double rate);

    /// Sends no further requests to a target.
    void exclude(std::size_t index);
    /// Sends requests to a target again.
    void include(std::size_t index);

private:
    using stream_ptr = std::unique_ptr<boost::beast::tcp_stream>;

    struct target
    {
        endpoint endpoint_;
        std::atomic<bool> excluded_ = false;
        std::vector<stream_ptr> idle_;
    };

    boost::asio::awaitable<void> issue_loop();
    boost::asio::awaitable<void>
    run_call(event_time scheduled_at, std::size_t index);
    boost::asio::awaitable<bool> exchange_once(
        target& destination, http_request request, request_record& record);
    boost::asio::awaitable<stream_ptr> connect(target& destination);
    http_request make_call(request_record& record);
    std::size_t choose_target();
    bool chance(double share);

    load_options options_;
    std::atomic<double> rate_;
    std::atomic<bool> stopping_ = false;
    std::vector<std::unique_ptr<target>> targets_;
    std::mt19937_64 random_;
    std::uint64_t last_number_ = 0;
    std::vector<request_record> records_;
    std::thread thread_;
    // Destroyed first, since its coroutines use the members above. `stop` has
    // closed the connections by then.
    boost::asio::io_context context_{1};
};

} // namespace hemlockshelf

#endif
