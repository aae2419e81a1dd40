#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_NONBLOCKING_SINK_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_NONBLOCKING_SINK_HPP

#include <atomic>
#include <cstdint>
#include <mutex>

#include <spdlog/sinks/base_sink.h>

namespace hemlockshelf {

/// Writes lines to a descriptor and leaves out those that it would have to
/// wait for, so that a slow reader of the log never delays a request.
class nonblocking_sink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit nonblocking_sink(int descriptor) : descriptor_(descriptor) {}

    /// Returns the number of lines left out since the last call.
    std::uint64_t take_left_out()
    {
        return left_out_.exchange(0);
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

private:
    int descriptor_;
    std::atomic<std::uint64_t> left_out_ = 0;
};

} // namespace hemlockshelf

#endif
