#include "hemlockshelf/gate/idempotency_records.hpp"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace hemlockshelf {

idempotency_id
make_idempotency_id(const client_account_id& account, std::string_view key)
{
    // The length keeps the account apart from the key.
    std::string text = std::to_string(account.value().size()) + ":";
    text.append(account.value()).append(key);
    const auto hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

idempotency_records::idempotency_records(const gate_settings& settings)
    : limit_(settings.idempotency_limit_),
      account_limit_(static_cast<std::size_t>(
          static_cast<double>(limit_) * settings.idempotency_account_share_)),
      max_age_(settings.idempotency_age_)
{}

idempotency_status idempotency_records::begin(
    const client_account_id& account, const idempotency_id& id, steady_time now)
{
    expire(now);
    const auto found = records_.find(id);
    if (found != records_.end())
    {
        return found->second.finished_ ? idempotency_status::finished
                                       : idempotency_status::running;
    }
    if (!has_room(account))
    {
        return idempotency_status::full;
    }
    records_.emplace(id, record{account});
    ++count_by_account_[account];
    return idempotency_status::run;
}

void idempotency_records::abandon(const idempotency_id& id)
{
    const auto found = records_.find(id);
    if (found != records_.end() && !found->second.finished_)
    {
        erase(id);
    }
}

void idempotency_records::finish(const idempotency_id& id, steady_time now)
{
    const auto found = records_.find(id);
    if (found != records_.end() && !found->second.finished_)
    {
        found->second.finished_ = true;
        finished_.push_back({id, now});
    }
}

void idempotency_records::expire(steady_time now)
{
    while (!finished_.empty() &&
           now - finished_.front().finished_at_ >= max_age_)
    {
        erase(finished_.front().id_);
        finished_.pop_front();
    }
}

void idempotency_records::erase(const idempotency_id& id)
{
    const auto found = records_.find(id);
    const auto count = count_by_account_.find(found->second.account_);
    if (--count->second == 0)
    {
        count_by_account_.erase(count);
    }
    records_.erase(found);
}

bool idempotency_records::has_room(const client_account_id& account) const
{
    const auto count = count_by_account_.find(account);
    return records_.size() < limit_ &&
           (count == count_by_account_.end() || count->second < account_limit_);
}

} // namespace hemlockshelf
