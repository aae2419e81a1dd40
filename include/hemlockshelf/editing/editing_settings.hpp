#ifndef HEMLOCKSHELF_EDITING_EDITING_SETTINGS_HPP
#define HEMLOCKSHELF_EDITING_EDITING_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hemlockshelf {

/// Limits per client account.
struct edit_quotas
{
    /// Maximum number of rows of an account, in both tables together.
    std::size_t max_rows_ = 10'000;
    /// Maximum number of accepted edits within `accepted_window_`. They are
    /// counted from the change records up to the revision that an edit commits
    /// on, so that the limit applies to the whole fleet.
    std::size_t max_accepted_ = 20;
    std::chrono::milliseconds accepted_window_{1000};
    /// Maximum number of edits per second that one node processes for an
    /// account, accepted or not.
    std::uint32_t max_submitted_per_second_ = 40;
    /// Maximum number of edits that one node processes concurrently for an
    /// account. Must be less than the number of threads of the admin interface,
    /// so that one account cannot occupy all of them.
    std::uint32_t max_concurrent_ = 2;
};

/// Retry settings of an editor.
struct edit_retry
{
    /// Maximum number of commit attempts that lose to concurrent edits. An edit
    /// loses at most once per revision that another edit commits.
    int max_attempts_ = 32;
    /// Upper limit of the random delay before the second attempt. It doubles
    /// with each attempt, up to `max_delay_`.
    std::chrono::milliseconds first_delay_{5};
    std::chrono::milliseconds max_delay_{100};
    /// Maximum number of reads of the outcome after the response to a commit
    /// was lost.
    int max_read_backs_ = 10;
    std::chrono::milliseconds read_back_interval_{200};
    /// Time after which no further attempt or read of the outcome starts. The
    /// command line tool waits for 10 s, and the last attempt makes two
    /// requests to the platform, which take up to 4 s.
    std::chrono::milliseconds give_up_after_{6000};
};

/// Settings for editing the configuration tables.
struct editing_settings
{
    edit_quotas quotas_;
    edit_retry retry_;
    /// Timeout of each request to the platform, including the connection setup.
    std::chrono::milliseconds platform_timeout_{2000};
    /// Number of deltas that a node keeps for peers that fetch them.
    std::size_t change_log_capacity_ = 256;
    /// Age at which change rows are moved from the tables to the archive in the
    /// object store. After that, an edit that is resubmitted with the same
    /// change ID counts as a new edit.
    std::chrono::milliseconds change_retention_ = std::chrono::hours{24 * 7};
};

} // namespace hemlockshelf

#endif
