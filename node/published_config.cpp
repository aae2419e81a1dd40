#include "node/published_config.hpp"

#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

void report_read(
    const published_read_result& read, const config_manager& config)
{
    const auto current = config.current_revision();
    for (const auto& failure : read.rejected_)
    {
        config.count_rejection(failure);
        log_event<log_event_id::configuration_rejected>(
            log_fields::revision(current),
            log_fields::error_kind(failure.kind_),
            log_fields::detail(failure.message_));
    }
    if (read.documents_ > 0)
    {
        log_event<log_event_id::configuration_read>(
            log_fields::revision(
                read.newest_ ? read.newest_->number() : current),
            log_fields::changes(read.documents_),
            log_fields::bytes(read.bytes_),
            log_fields::elapsed_ms(read.preparation_));
    }
}

} // namespace

poll_report follow_published(
    configuration_source& source,
    config_manager& config,
    std::chrono::milliseconds wait,
    const clock& time)
{
    poll_report report;
    // The answer may describe any moment since the question.
    const auto asked_at = time.boot_now();
    auto read = source.wait_for_newer(*config.current(), wait);
    if (!read)
    {
        return report;
    }
    report_read(*read, config);
    report.answered_ = true;
    if (read->newest_ != nullptr)
    {
        // A peer may have delivered the same revision in the meantime.
        auto adopted = config.apply_snapshot(
            read->newest_, apply_source::poll, read->read_at_);
        if (adopted)
        {
            report.deltas_.push_back(std::move(*adopted));
        }
    }
    report.head_ = config.current_revision();
    const bool is_refused = read->newest_ != nullptr &&
                            config.current_revision() < read->newest_->number();
    report.platform_is_behind_ = read->is_behind_;
    report.era_ = read->era_;
    if (!is_refused && !read->may_lack_one_ && !read->is_behind_)
    {
        report.confirmed_at_ = asked_at;
    }
    return report;
}

} // namespace hemlockshelf
