#include "node/published_config.hpp"

#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

poll_report follow_published(
    configuration_source& source,
    config_keeper& keeper,
    std::chrono::milliseconds wait)
{
    poll_report report;
    auto newer = source.wait_for_newer(keeper.held(), wait);
    if (!newer && newer.error().kind_ == error_kind::invalid_row)
    {
        log_event<log_event_id::configuration_rejected>(
            log_fields::revision(keeper.held()),
            log_fields::error_kind(newer.error().kind_),
            log_fields::detail(newer.error().message_));
    }
    if (!newer && newer.error().kind_ != error_kind::invalid_row)
    {
        return report;
    }
    if (newer && newer->documents_ > 0)
    {
        log_event<log_event_id::configuration_read>(
            log_fields::revision(
                newer->newest_ ? newer->newest_->number() : keeper.held()),
            log_fields::changes(newer->documents_),
            log_fields::bytes(newer->bytes_),
            log_fields::elapsed_ms(newer->preparation_));
    }
    if (newer && newer->newest_ != nullptr)
    {
        // A peer may have brought the same revision meanwhile.
        static_cast<void>(
            keeper.adopt(std::move(newer->newest_), apply_source::poll));
    }
    report.answered_ = true;
    report.head_ = keeper.held();
    return report;
}

} // namespace hemlockshelf
