#ifndef HEMLOCKSHELF_ADAPTERS_PLATFORM_PLATFORM_CLIENT_HPP
#define HEMLOCKSHELF_ADAPTERS_PLATFORM_PLATFORM_CLIENT_HPP

#include "adapters/http/http_client.hpp"
#include "hemlockshelf/editing/object_store.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Speaks the platform's HTTP protocol. Thread-safe: each call uses a
/// connection of its own, so that no call waits on a silent one.
class platform_client final : public table_service, public object_store
{
public:
    explicit platform_client(http_target platform);

    result<std::optional<stored_row>>
    read(const std::string& table, const std::string& key) override;
    result<std::vector<stored_row>> scan(const scan_range& range) override;
    result<void> commit(const transaction& writes) override;
    result<void>
    put(const std::string& name, const std::string& content) override;
    result<std::optional<std::string>> get(const std::string& name) override;

private:
    http_target platform_;
};

} // namespace hemlockshelf

#endif
