#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CALL_THREADS_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CALL_THREADS_HPP

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace hemlockshelf {

/// Threads that serve calls, each with its own event loop. A connection in use
/// stays on one loop, which serves as its strand, so that a call whose
/// connections are on one loop needs no wakeup of another thread.
class call_threads
{
public:
    explicit call_threads(std::size_t count);
    ~call_threads();

    call_threads(const call_threads&) = delete;
    call_threads& operator=(const call_threads&) = delete;

    void start();

    /// Stops the loops and joins the threads.
    void stop();

    /// Returns the loop for listeners and periodic tasks.
    [[nodiscard]] boost::asio::io_context& first() noexcept
    {
        return *loops_.front();
    }

    /// Returns the loops in round-robin order.
    [[nodiscard]] boost::asio::io_context& next() noexcept
    {
        return *loops_[next_loop_++ % loops_.size()];
    }

private:
    using work_guard = boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> loops_;
    std::vector<work_guard> guards_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> next_loop_ = 0;
};

} // namespace hemlockshelf

#endif
