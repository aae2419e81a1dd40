#include "adapters/http/call_threads.hpp"

#include <exception>

#include "adapters/telemetry/event_log.hpp"

namespace hemlockshelf {

namespace {

void run_loop(boost::asio::io_context& loop)
{
    while (!loop.stopped())
    {
        try
        {
            loop.run();
        }
        catch (const std::exception& failure)
        {
            // The failure of one connection must not end the others.
            log_event<log_event_id::call_thread_failed>(
                log_fields::detail(failure.what()));
        }
    }
}

} // namespace

call_threads::call_threads(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
    {
        loops_.push_back(std::make_unique<boost::asio::io_context>(1));
        guards_.emplace_back(loops_.back()->get_executor());
    }
}

call_threads::~call_threads()
{
    stop();
}

void call_threads::start()
{
    for (auto& loop : loops_)
    {
        threads_.emplace_back(
            [&loop = *loop]
            {
                run_loop(loop);
            });
    }
}

void call_threads::stop()
{
    for (auto& loop : loops_)
    {
        loop->stop();
    }
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
}

} // namespace hemlockshelf
