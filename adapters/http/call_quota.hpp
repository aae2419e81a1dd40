#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_CALL_QUOTA_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_CALL_QUOTA_HPP

#include <cstdint>
#include <string>

#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/core/sharded_map.hpp"

namespace hemlockshelf {

/// Limits the calls in progress of each account to each pool, so that one
/// account can't exhaust a shared pool. Thread-safe.
class call_quota
{
public:
    /// Counts a call as in progress until the ticket is destroyed.
    class ticket
    {
    public:
        ticket() = default;
        ticket(call_quota& quota, std::string key);
        ticket(ticket&& other) noexcept;
        ticket& operator=(ticket&& other) = delete;
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;
        ~ticket();

        explicit operator bool() const noexcept
        {
            return quota_ != nullptr;
        }

    private:
        call_quota* quota_ = nullptr;
        std::string key_;
    };

    /// Returns an empty ticket if `limit` calls are already in progress.
    ticket take(
        const client_account_id& account,
        const row_key& pool,
        std::uint32_t limit);

private:
    void release(const std::string& key);

    sharded_map<std::string, std::uint32_t> calls_;
};

} // namespace hemlockshelf

#endif
