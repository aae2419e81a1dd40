#ifndef HEMLOCKSHELF_ADAPTERS_RPC_BYTE_METER_HPP
#define HEMLOCKSHELF_ADAPTERS_RPC_BYTE_METER_HPP

#include <cstdint>
#include <string_view>

#include "hemlockshelf/core/metric_sink.hpp"

namespace hemlockshelf {

/// Counts the bytes of one connection. Until the scope of the peer is known,
/// they are held back; they are then reported under it.
class byte_meter
{
public:
    explicit byte_meter(metric_sink& metrics);
    ~byte_meter();
    byte_meter(const byte_meter&) = delete;
    byte_meter& operator=(const byte_meter&) = delete;

    void sent(std::uint64_t bytes);
    void received(std::uint64_t bytes);

    /// Sets the peer's scope: `local`, `domain`, `region` or `unknown`. Must
    /// outlive the meter.
    void set_scope(std::string_view scope);

    [[nodiscard]] std::uint64_t total_received() const noexcept
    {
        return total_received_;
    }

private:
    metric_sink& metrics_;
    std::string_view scope_;
    std::uint64_t total_received_ = 0;
    std::uint64_t held_sent_ = 0;
    std::uint64_t held_received_ = 0;
};

} // namespace hemlockshelf

#endif
