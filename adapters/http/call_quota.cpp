#include "adapters/http/call_quota.hpp"

#include <utility>

namespace hemlockshelf {

call_quota::ticket::ticket(call_quota& quota, std::string key)
    : quota_(&quota), key_(std::move(key))
{}

call_quota::ticket::ticket(ticket&& other) noexcept
    : quota_(std::exchange(other.quota_, nullptr)), key_(std::move(other.key_))
{}

call_quota::ticket::~ticket()
{
    if (quota_ != nullptr)
    {
        quota_->release(key_);
    }
}

call_quota::ticket call_quota::take(
    const client_account_id& account, const row_key& pool, std::uint32_t limit)
{
    auto key = account.value() + "\n" + pool.value();
    const bool counted = calls_.with_shard(
        key,
        [&](auto& calls)
        {
            auto& count = calls[key];
            if (count >= limit)
            {
                return false;
            }
            ++count;
            return true;
        });
    return counted ? ticket(*this, std::move(key)) : ticket();
}

void call_quota::release(const std::string& key)
{
    calls_.with_shard(
        key,
        [&](auto& calls)
        {
            const auto found = calls.find(key);
            if (found != calls.end() && --found->second == 0)
            {
                calls.erase(found);
            }
        });
}

} // namespace hemlockshelf
