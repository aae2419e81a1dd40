#include "adapters/telemetry/nonblocking_sink.hpp"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace hemlockshelf {

void nonblocking_sink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    // A pipe that is ready takes at least PIPE_BUF bytes at once. A longer
    // line is cut and ended.
    auto size = line.size();
    if (size > PIPE_BUF)
    {
        size = PIPE_BUF;
        line[size - 1] = '\n';
    }
    pollfd state{descriptor_, POLLOUT, 0};
    const bool ready =
        ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
    if (!ready ||
        ::write(descriptor_, line.data(), size) != static_cast<ssize_t>(size))
    {
        ++left_out_;
    }
}

} // namespace hemlockshelf
