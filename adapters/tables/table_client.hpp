#ifndef HEMLOCKSHELF_ADAPTERS_TABLES_TABLE_CLIENT_HPP
#define HEMLOCKSHELF_ADAPTERS_TABLES_TABLE_CLIENT_HPP

#include <atomic>
#include <chrono>

#include "adapters/http/http_client.hpp"
#include "hemlockshelf/core/metric_sink.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Speaks the platform's HTTP protocol. Thread-safe: each call uses a
/// connection of its own, so that no call waits on a silent one.
class table_client final : public table_service, public object_store
{
public:
    /// The target's timeout bounds each call as a whole. `metrics` may be null.
    explicit table_client(http_target platform, metric_sink* metrics = nullptr);

    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;
    result<void>
    put(const std::string& name, const std::string& content) override;
    result<std::optional<std::string>> get(const std::string& name) override;
    result<void> remove(const std::string& name) override;
    [[nodiscard]] std::chrono::milliseconds retry_after() const override;

private:
    /// Sends a request. The errors are `platform_unavailable` if it certainly
    /// was not executed, `rate_limited` for status 429, which was not
    /// executed either, and `outcome_unknown`.
    result<http_response> send(const http_request& request);
    result<http_response> receive(const http_request& request);

    http_target platform_;
    metric_sink* metrics_;
    /// Time that the last status 429 named.
    std::atomic<std::chrono::milliseconds> named_wait_{};
};

} // namespace hemlockshelf

#endif
