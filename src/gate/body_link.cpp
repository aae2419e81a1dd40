#include "hemlockshelf/gate/body_link.hpp"

#include <algorithm>

namespace hemlockshelf {

namespace {

constexpr double bits_per_byte = 8;

// Bodies that share the link with answers and control traffic arrive more
// slowly than the link's capacity says.
constexpr int transfer_slack = 2;
constexpr std::chrono::milliseconds stall_time{500};

// Kinds come with routes, of which an operator may change many.
constexpr std::size_t max_kinds = 256;

// A few packets. Bodies up to this size neither wait for long ones nor keep
// them from the link; what they take is in the part that bodies may not use.
constexpr std::uint64_t short_body = 4096;

// Bodies beyond this size take part of the time of a narrow link that callers
// notice: 19 ms at 7 Mbit/s.
constexpr std::uint64_t long_body = std::uint64_t{16} * 1024;

// Bytes of a body of unknown size until one of its kind has arrived. Uploads
// of photographs have about this size; too large an assumption only delays the
// first bodies of a kind.
constexpr std::uint64_t assumed_body = std::uint64_t{64} * 1024;

std::uint64_t mean_of(const body_link& link, const gate_call& call)
{
    const auto found = link.mean_bytes_.find(kind_of(call));
    return found == link.mean_bytes_.end()
               ? assumed_body
               : static_cast<std::uint64_t>(found->second);
}

double rate_of(const gate_settings& settings)
{
    return static_cast<double>(settings.link_.value()) / bits_per_byte *
           settings.link_body_share_;
}

} // namespace

body_link::body_link(const gate_settings& settings)
    : bytes_per_second_(rate_of(settings)),
      grant_limit_(static_cast<std::uint64_t>(
          bytes_per_second_ *
          std::chrono::duration<double>(settings.link_grant_).count()))
{}

std::uint64_t body_bytes(const body_link& link, const gate_call& call)
{
    if (!call.awaits_body_ || link.bytes_per_second_ <= 0)
    {
        return 0;
    }
    const auto bytes = call.body_ ? call.body_->value() : mean_of(link, call);
    return bytes <= short_body ? 0 : bytes;
}

bool reports_body_arrival(const gate_call& call)
{
    return call.awaits_body_ &&
           (!call.body_ || call.body_->value() > short_body);
}

bool has_long_body(const gate_call& call)
{
    return call.awaits_body_ && call.body_ && call.body_->value() > long_body;
}

bool has_room(const body_link& link, std::uint64_t bytes)
{
    return bytes == 0 || link.granted_ == 0 ||
           link.granted_ + bytes <= link.grant_limit_;
}

std::chrono::nanoseconds
transfer_time(const body_link& link, std::uint64_t bytes)
{
    if (link.bytes_per_second_ <= 0)
    {
        return std::chrono::nanoseconds{0};
    }
    const std::chrono::duration<double> seconds{
        static_cast<double>(bytes) / link.bytes_per_second_};
    return std::chrono::duration_cast<std::chrono::nanoseconds>(seconds);
}

std::chrono::nanoseconds
transfer_limit(const body_link& link, std::uint64_t bytes)
{
    return transfer_slack * transfer_time(link, link.granted_ + bytes) +
           stall_time;
}

void learn_body(body_link& link, const gate_call& call, std::uint64_t bytes)
{
    constexpr double newest_weight = 0.1;
    auto& mean =
        link.mean_bytes_.try_emplace(kind_of(call), static_cast<double>(bytes))
            .first->second;
    mean += (static_cast<double>(bytes) - mean) * newest_weight;
    if (link.mean_bytes_.size() > max_kinds)
    {
        link.mean_bytes_.clear();
    }
}

} // namespace hemlockshelf
