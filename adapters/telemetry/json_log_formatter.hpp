#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_JSON_LOG_FORMATTER_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_JSON_LOG_FORMATTER_HPP

#include <memory>

#include <spdlog/formatter.h>

#include "adapters/telemetry/log_origin.hpp"

namespace hemlockshelf {

/// Formats each log line as one JSON object. A message that is itself an
/// object contributes its fields, other messages become the field `message`.
class json_log_formatter final : public spdlog::formatter
{
public:
    /// Each line names `origin`.
    explicit json_log_formatter(log_origin origin);

    void format(
        const spdlog::details::log_msg& message,
        spdlog::memory_buf_t& destination) override;

    [[nodiscard]] std::unique_ptr<spdlog::formatter> clone() const override;

private:
    log_origin origin_;
};

} // namespace hemlockshelf

#endif
