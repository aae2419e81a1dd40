#ifndef HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_HPP
#define HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Orders the announcements of an upstream, which may arrive out of order.
struct announcement_version
{
    /// Name of this run of the upstream process; empty if not given.
    std::string instance_;
    /// Start time of the upstream process, in milliseconds of wall-clock time.
    std::optional<std::uint64_t> started_ms_{};
    /// Increases with each announcement of one run.
    std::optional<std::uint64_t> sequence_{};

    friend bool operator==(
        const announcement_version&, const announcement_version&) = default;
};

/// Returns whether both come from the same run of the upstream process.
bool same_start(
    const announcement_version& left, const announcement_version& right);

/// Returns whether `next` is newer than `last` by what they say of themselves.
/// What gives no start or no number is older than what does.
bool is_newer(
    const announcement_version& last, const announcement_version& next);

/// Returns whether only the order of arrival tells which of the two is newer.
bool is_ordered_by_arrival(
    const announcement_version& left, const announcement_version& right);

/// An upstream's announcement to the node on its VM.
struct upstream_announcement
{
    service_name service_;
    client_account_id account_;
    /// `address:port` on which the upstream serves.
    std::string address_;
    slot_count slots_;
    connection_count connections_;
    bool draining_ = false;
    announcement_version order_{};
    /// Remaining warm-up time reported by the upstream; nullopt if not given.
    std::optional<std::chrono::milliseconds> remaining_warm_up_{};

    friend bool operator==(
        const upstream_announcement&, const upstream_announcement&) = default;
};

/// Parses the body of `POST /v1/announce`. Fails with `bad_request`.
result<upstream_announcement>
announcement_from_json(const nlohmann::json& json);

} // namespace hemlockshelf

#endif
