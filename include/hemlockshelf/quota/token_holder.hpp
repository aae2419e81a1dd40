#ifndef HEMLOCKSHELF_QUOTA_TOKEN_HOLDER_HPP
#define HEMLOCKSHELF_QUOTA_TOKEN_HOLDER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/quota/quota_settings.hpp"
#include "hemlockshelf/quota/token_grantor.hpp"

namespace hemlockshelf {

/// How long granted tokens may be used. Tokens that are granted during one
/// window and used in the next one add rate x lifetime to that window.
inline constexpr std::chrono::milliseconds token_lifetime{500};

/// What a node holds of one account's quota: tokens that grantors have granted,
/// the demand, and the progress of the current round of requests to grantors. A
/// round asks one grantor after the other until the demand is met. Not
/// thread-safe.
class token_holder
{
public:
    /// Takes a token for a request, if there is one, and counts the request
    /// towards the demand.
    bool take(boot_time now);

    /// Takes a token for a request that `take` has already counted.
    bool take_for_waiting(boot_time now);

    /// Returns the tokens to request now for `waiting` requests and the
    /// expected demand; 0 if a round is in progress or none is needed.
    [[nodiscard]] std::uint32_t
    wanted(std::size_t waiting, boot_time now) const;

    /// Returns the tokens that are missing for `waiting` requests and the
    /// expected demand.
    [[nodiscard]] std::uint32_t
    missing(std::size_t waiting, boot_time now) const;

    /// Begins a round in which some of `grantors` are asked in turn.
    void begin_round(std::size_t grantors, boot_time now);

    /// Returns the position of the grantor to ask next, 0 being the nearest; or
    /// nothing if enough have been asked.
    [[nodiscard]] std::optional<std::size_t> next_grantor() const;

    /// Records the answer of the grantor that was asked at `asked_at`, or that
    /// there was none. Tokens expire by the time of the question, since the
    /// answer may have waited while the process was paused.
    void
    record_answer(const std::optional<token_grant>& answer, boot_time asked_at);

    /// Ends the round.
    void end_round(boot_time now);

    [[nodiscard]] bool in_round() const noexcept
    {
        return in_round_;
    }

    [[nodiscard]] boot_time round_began_at() const noexcept
    {
        return round_began_at_;
    }

    /// Returns whether the last answer granted all that was requested, so that
    /// the same grantor may have more.
    [[nodiscard]] bool granted_all() const noexcept
    {
        return granted_all_;
    }

    /// Returns whether a grantor has answered in the last round.
    [[nodiscard]] bool was_answered() const noexcept
    {
        return answered_;
    }

    /// Returns the time until a grantor has another token, if the account has
    /// used up its quota according to the last round.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    exhausted_for(boot_time now) const;

private:
    struct token_batch
    {
        std::uint32_t count_ = 0;
        boot_time expires_at_;
    };

    void drop_expired(boot_time now);
    [[nodiscard]] double held(boot_time now) const;
    [[nodiscard]] double expected_demand(boot_time now) const;
    void count_request(boot_time now);

    std::deque<token_batch> batches_;
    /// Requests per second, as a moving average.
    double demand_ = 0;
    boot_time counted_at_{};
    bool in_round_ = false;
    bool answered_ = false;
    std::size_t grantors_ = 0;
    /// Grantors that the round may ask.
    std::size_t limit_ = 0;
    std::size_t position_ = 0;
    /// Position of the grantor that was the last one to grant a token.
    std::size_t preferred_ = 0;
    /// When a grantor has another token, by the answers of the last round.
    std::optional<boot_time> token_due_at_;
    /// Whether the last answer granted all tokens that were requested.
    bool granted_all_ = false;
    boot_time round_began_at_{};
    boot_time exhausted_until_{};
};

/// Admits requests of an account while no grantor can be reached: half of the
/// allowed overage, divided among the nodes. Nodes whose part is less than one
/// request in a window admit none, because together they could exceed it.
class quota_reserve
{
public:
    /// Returns whether a request is admitted.
    bool take(
        const quota_settings& settings,
        const account_quota& quota,
        std::size_t nodes,
        boot_time now);

private:
    double tokens_ = 0;
    std::optional<boot_time> refilled_at_;
};

} // namespace hemlockshelf

#endif
