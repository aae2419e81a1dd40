#ifndef HEMLOCKSHELF_GATE_IDEMPOTENCY_RECORDS_HPP
#define HEMLOCKSHELF_GATE_IDEMPOTENCY_RECORDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/ids.hpp"
#include "hemlockshelf/gate/gate_settings.hpp"

namespace hemlockshelf {

/// Hash of an account and an `Idempotency-Key`. Callers choose the key's
/// length; the hash bounds the size of a record.
struct idempotency_id
{
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    friend auto
    operator<=>(const idempotency_id&, const idempotency_id&) = default;
};

/// Returns the id of an account's key; equal keys of two accounts differ.
idempotency_id
make_idempotency_id(const client_account_id& account, std::string_view key);

} // namespace hemlockshelf

template <>
struct std::hash<hemlockshelf::idempotency_id>
{
    std::size_t
    operator()(const hemlockshelf::idempotency_id& id) const noexcept
    {
        return id.low_;
    }
};

namespace hemlockshelf {

enum class idempotency_status
{
    /// The request may run; the key is taken.
    run,
    /// A request with the key runs now: `duplicate_request`.
    running,
    /// A request with the key has run: `duplicate_request`.
    finished,
    /// No record is free: `overloaded`, not run. Forgetting a younger record
    /// instead would let its request run twice.
    full,
};

/// The keys whose requests run or have run at this gate, bounded in number and
/// age. Not thread-safe: the gate's owner holds one lock.
class idempotency_records
{
public:
    explicit idempotency_records(const gate_settings& settings);

    /// Takes the key for a request that is about to be dispatched.
    idempotency_status begin(
        const client_account_id& account,
        const idempotency_id& id,
        steady_time now);

    /// Gives the key back because the request certainly was not run, so that
    /// it can be sent again.
    void abandon(const idempotency_id& id);

    /// Marks the request as run, or possibly run; the record's age counts from
    /// here.
    void finish(const idempotency_id& id, steady_time now);

    [[nodiscard]] std::size_t size() const
    {
        return records_.size();
    }

private:
    struct record
    {
        client_account_id account_;
        bool finished_ = false;
    };

    struct finished_record
    {
        idempotency_id id_;
        steady_time finished_at_;
    };

    void expire(steady_time now);
    void erase(const idempotency_id& id);
    [[nodiscard]] bool has_room(const client_account_id& account) const;

    std::size_t limit_;
    std::size_t account_limit_;
    std::chrono::seconds max_age_;
    std::unordered_map<idempotency_id, record> records_;
    std::unordered_map<client_account_id, std::size_t> count_by_account_;
    /// In the order of `finished_at_`.
    std::deque<finished_record> finished_;
};

} // namespace hemlockshelf

#endif
