#ifndef HEMLOCKSHELF_EDITING_EDITING_SETTINGS_HPP
#define HEMLOCKSHELF_EDITING_EDITING_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hemlockshelf {

/// Limits per client account.
struct edit_quotas
{
    /// Rows of both tables that an account may hold.
    std::size_t max_rows_ = 10'000;
    /// Accepted edits within `accepted_window_`, counted over the change
    /// records before the head on which an edit commits, so that it holds for
    /// the whole fleet.
    std::size_t max_accepted_ = 20;
    std::chrono::milliseconds accepted_window_{1000};
    /// Edits that one node takes from an account per second, accepted or not.
    std::uint32_t max_submitted_per_second_ = 40;
    /// Edits of an account that one node works on at once. It has to be below
    /// the number of threads of the admin interface, so that one account
    /// cannot hold them all.
    std::uint32_t max_concurrent_ = 2;
};

/// How an editor repeats what can be repeated.
struct edit_retry
{
    /// Racing editors lose at most once per revision that another wins.
    int max_attempts_ = 32;
    /// Upper limit of the random delay before the second attempt; it doubles
    /// with each attempt up to `max_delay_`.
    std::chrono::milliseconds first_delay_{5};
    std::chrono::milliseconds max_delay_{100};
    /// Reads by change id after a lost answer.
    int max_read_backs_ = 10;
    std::chrono::milliseconds read_back_interval_{200};
    /// Time after which no further attempt or read by change id starts. The
    /// command line waits for 10 s, and a last attempt asks the platform twice,
    /// which takes up to 4 s.
    std::chrono::milliseconds give_up_after_{6000};
};

/// Settings of the editing of the configuration tables.
struct editing_settings
{
    edit_quotas quotas_;
    edit_retry retry_;
    /// Limit of each request to the platform, from connecting to the answer.
    std::chrono::milliseconds platform_timeout_{2000};
    /// Deltas that a node keeps for peers that fetch.
    std::size_t change_log_capacity_ = 256;
    /// Age at which change rows move from the tables to the archive in the
    /// object store. An edit that is submitted again under its change id after
    /// that counts as a new one.
    std::chrono::milliseconds change_retention_ = std::chrono::hours{24 * 7};
};

} // namespace hemlockshelf

#endif
