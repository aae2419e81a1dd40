#ifndef HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_HPP
#define HEMLOCKSHELF_MEMBERSHIP_UPSTREAM_ANNOUNCEMENT_HPP

#include <string>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

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

    friend bool operator==(
        const upstream_announcement&, const upstream_announcement&) = default;
};

/// Reads the body of `POST /v1/announce`. The error is `bad_request`.
result<upstream_announcement>
announcement_from_json(const nlohmann::json& json);

} // namespace hemlockshelf

#endif
