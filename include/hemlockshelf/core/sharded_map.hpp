#ifndef HEMLOCKSHELF_CORE_SHARDED_MAP_HPP
#define HEMLOCKSHELF_CORE_SHARDED_MAP_HPP

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace hemlockshelf {

/// Hash map split into shards with one lock each. Callers never hold the locks
/// of two shards of a map, so the shards of one map cannot deadlock.
template <class Key, class Value, std::size_t ShardCount = 16>
class sharded_map
{
public:
    using map_type = std::unordered_map<Key, Value>;

    /// Calls `visit(map)` for the shard of `key`, holding its lock.
    template <class Visit>
    decltype(auto) with_shard(const Key& key, Visit&& visit)
    {
        auto& owner = shard_of(key);
        const std::lock_guard lock(owner.mutex_);
        return visit(owner.entries_);
    }

    template <class Visit>
    decltype(auto) with_shard(const Key& key, Visit&& visit) const
    {
        const auto& owner = shard_of(key);
        const std::lock_guard lock(owner.mutex_);
        return visit(owner.entries_);
    }

    /// Calls `visit(key, value)` for every entry, one shard at a time.
    template <class Visit>
    void for_each(Visit&& visit) const
    {
        for (const auto& owner : shards_)
        {
            const std::lock_guard lock(owner.mutex_);
            for (const auto& [key, value] : owner.entries_)
            {
                visit(key, value);
            }
        }
    }

    /// Calls `visit(map)` for each shard, holding its lock.
    template <class Visit>
    void for_each_shard(Visit&& visit)
    {
        for (auto& owner : shards_)
        {
            const std::lock_guard lock(owner.mutex_);
            visit(owner.entries_);
        }
    }

    /// Returns the number of entries. Approximate if other threads modify the
    /// map concurrently.
    [[nodiscard]] std::size_t size() const
    {
        std::size_t total = 0;
        for (const auto& owner : shards_)
        {
            const std::lock_guard lock(owner.mutex_);
            total += owner.entries_.size();
        }
        return total;
    }

private:
    struct shard
    {
        mutable std::mutex mutex_;
        map_type entries_;
    };

    shard& shard_of(const Key& key)
    {
        return shards_[std::hash<Key>{}(key) % ShardCount];
    }

    const shard& shard_of(const Key& key) const
    {
        return shards_[std::hash<Key>{}(key) % ShardCount];
    }

    std::array<shard, ShardCount> shards_;
};

} // namespace hemlockshelf

#endif
