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
    /// Threads of the call plane. Each connection belongs to one of them.
    std::size_t threads_ = 2;

    std::uint32_t max_header_bytes_ = 16U * 1024;
    std::uint64_t max_body_bytes_ = 64ULL * 1024 * 1024;
    /// Buffer of one direction of one call.
    std::size_t relay_buffer_bytes_ = std::size_t{16} * 1024;
    /// A request can be sent again while its body is no longer than this.
    std::size_t retry_body_limit_ = std::size_t{64} * 1024;
    /// An answer that is no longer than this is held until it is whole, so that
    /// a break in its middle leaves the caller's connection usable and lets the
    /// request be sent again. Longer ones are streamed.
    std::size_t held_answer_limit_ = std::size_t{64} * 1024;
    /// Connections that a listener serves at once; more are closed.
    std::size_t max_client_connections_ = 4096;

    /// A client's connection without a request is closed after this time.
    std::chrono::milliseconds idle_timeout_{60'000};
    /// Limit for writing an answer that the node makes itself.
    std::chrono::milliseconds refusal_timeout_{5'000};
    /// How long after a call's deadline an answer that has come is still passed
    /// on to a client that is slow to take it.
    std::chrono::milliseconds answer_timeout_{5'000};
    std::chrono::milliseconds connect_timeout_{250};
    /// Limit for a gate's 100 or refusal. It exceeds the gate's longest queue
    /// time, so that only a lost or silent connection meets it.
    std::chrono::milliseconds handshake_timeout_{750};
    /// The gate reports to the entry at this interval that a request which
    /// takes long is still in work.
    std::chrono::milliseconds progress_interval_{250};
    /// A gate's connection without an answer or a report for this time counts
    /// as silent.
    std::chrono::milliseconds silence_timeout_{1'000};
    /// Limit for the first body byte after the gate's 100; the slot is held
    /// meanwhile.
    std::chrono::milliseconds first_byte_timeout_{500};

    /// Idle connections kept per peer.
    std::size_t pool_idle_limit_ = 32;
    /// Open connections per gate.
    std::size_t pool_open_limit_ = 256;
    /// An idle connection is not reused beyond this age. It is well below
    /// `idle_timeout_`, so that the peer does not close it first.
    std::chrono::milliseconds pool_idle_age_{15'000};

    /// How long a node that leaves still takes calls, while callers and other
    /// nodes learn that it does.
    std::chrono::milliseconds drain_notice_{1'000};
    /// The last part of it, in which the other nodes are to use other
    /// upstreams. A notice reaches them within 300 ms (`tools/measure`).
    std::chrono::milliseconds gate_drain_notice_{1'000};
    /// Longest wait of a node that leaves for calls in progress. No route's
    /// timeout should exceed it.
    std::chrono::milliseconds drain_limit_{30'000};

    caller_protocol protocol_;
};

} // namespace hemlockshelf

#endif
