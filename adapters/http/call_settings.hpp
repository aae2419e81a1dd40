#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CALL_SETTINGS_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CALL_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "adapters/http/caller_protocol.hpp"

namespace hemlockshelf {

/// Limits and intervals of the call path.
struct call_settings
{
    /// Threads that serve calls. Each connection belongs to one of them.
    std::size_t threads_ = 2;

    std::uint32_t max_header_bytes_ = 16U * 1024;
    std::uint64_t max_body_bytes_ = 64ULL * 1024 * 1024;
    /// Size of the buffer for one direction of a call.
    std::size_t relay_buffer_bytes_ = std::size_t{16} * 1024;
    /// Longest request body that is kept for a retry.
    std::size_t retry_body_limit_ = std::size_t{64} * 1024;
    /// Longest answer that is buffered until it is complete. If such an answer
    /// fails midway, the caller's connection stays usable and the request can
    /// be retried. Longer answers are streamed.
    std::size_t held_answer_limit_ = std::size_t{64} * 1024;
    /// Connections that a listener serves at once; further ones are closed.
    std::size_t max_client_connections_ = 4096;

    /// A client's connection without a request is closed after this time.
    std::chrono::milliseconds idle_timeout_{60'000};
    /// Time limit for writing an error answer of this node.
    std::chrono::milliseconds refusal_timeout_{5'000};
    /// How long after a call's deadline an answer that has arrived is still
    /// relayed to a client that reads slowly.
    std::chrono::milliseconds answer_timeout_{5'000};
    std::chrono::milliseconds connect_timeout_{250};
    /// Time limit for a gate's 100 or refusal. It exceeds the gate's longest
    /// queue time, so that only a lost or silent connection reaches it.
    std::chrono::milliseconds handshake_timeout_{750};
    /// Interval at which the gate reports to the entry that a long request is
    /// still in progress.
    std::chrono::milliseconds progress_interval_{250};
    /// A gate's connection that carries neither an answer nor a progress report
    /// for this time counts as silent.
    std::chrono::milliseconds silence_timeout_{1'000};
    /// Time limit for the first body byte after the gate's 100. The request
    /// occupies a slot meanwhile.
    std::chrono::milliseconds first_byte_timeout_{500};

    /// Idle connections kept per peer.
    std::size_t pool_idle_limit_ = 32;
    /// Open connections per gate.
    std::size_t pool_open_limit_ = 256;
    /// Longest idle time after which a connection is reused. It is well below
    /// `idle_timeout_`, so that the peer does not close the connection first.
    std::chrono::milliseconds pool_idle_age_{15'000};

    /// How long a leaving node still accepts calls, while callers and other
    /// nodes learn that it leaves.
    std::chrono::milliseconds drain_notice_{1'000};
    /// The last part of `drain_notice_`, in which the other nodes should use
    /// other upstreams. The notice reaches them within 300 ms
    /// (`tools/measure`).
    std::chrono::milliseconds gate_drain_notice_{1'000};
    /// Longest time for which a leaving node waits for calls in progress. No
    /// route's timeout should exceed it.
    std::chrono::milliseconds drain_limit_{30'000};
    /// Time from a SIGTERM until the platform kills the process; 0 if it is not
    /// known. If it is, it determines how long a leaving node waits for calls
    /// in progress, instead of `drain_limit_`.
    std::chrono::milliseconds stop_grace_{0};

    caller_protocol protocol_;
};

} // namespace hemlockshelf

#endif
