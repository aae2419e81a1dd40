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

/// Orders the announcements of an upstream, of which some arrive late.
struct announcement_version
{
    /// Name that the upstream has for this start of it; empty if it has none.
    std::string instance_;
    /// Start of the upstream, in milliseconds of wall-clock time; 0 if it does
    /// not say.
    std::uint64_t started_ms_ = 0;
    /// Rises with each announcement of one start; 0 if it does not say.
    std::uint64_t sequence_ = 0;

    friend bool operator==(
        const announcement_version&, const announcement_version&) = default;
};

/// Tells whether both come from the same start of an upstream.
bool same_start(
    const announcement_version& left, const announcement_version& right);

/// Tells whether `next` is newer than `last`, which was taken before.
bool is_newer(
    const announcement_version& last, const announcement_version& next);

/// What an upstream tells the node on its VM about itself.
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
    /// How much longer the upstream is slow after its start; nothing if it
    /// does not say.
    std::optional<std::chrono::milliseconds> remaining_warm_up_{};

    friend bool operator==(
        const upstream_announcement&, const upstream_announcement&) = default;
};

/// Reads the body of `POST /v1/announce`. The error is `bad_request`.
result<upstream_announcement>
announcement_from_json(const nlohmann::json& json);

} // namespace hemlockshelf

#endif
