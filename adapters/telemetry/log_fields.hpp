#ifndef HEMLOCKSHELF_ADAPTERS_TELEMETRY_LOG_FIELDS_HPP
#define HEMLOCKSHELF_ADAPTERS_TELEMETRY_LOG_FIELDS_HPP

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/error_kind.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// The closed list of fields of log events. `log_field_table` describes each.
enum class log_field_id
{
    peer,
    peer_address,
    peer_region,
    peer_failure_domain,
    origin,
    revision_number,
    source,
    incarnation_number,
    down,
    members,
    changes,
    age_ms,
    pause_ms,
    loop_delay_ms,
    records,
    client_account,
    new_level,
    call_id,
    route,
    not_run,
    attempts,
    gates_asked,
    elapsed_ms,
    time_left_ms,
    free_slots,
    reason,
    instance,
    state,
    lines,
    bytes,
    bodies,
    requests_behind,
    error_kind,
    detail,
};

/// Name, JSON type and meaning of a field.
struct log_field_info
{
    log_field_id id_;
    std::string_view name_;
    std::string_view type_;
    std::string_view help_;
};

/// Returns the whole table, in the order of `log_field_id`.
std::span<const log_field_info> log_field_table();

/// The fields of an event, one bit for each `log_field_id`.
class log_field_set
{
public:
    constexpr log_field_set(std::initializer_list<log_field_id> fields)
    {
        for (const auto field : fields)
        {
            bits_ |= bit(field);
        }
    }

    [[nodiscard]] constexpr bool contains(log_field_id field) const
    {
        return (bits_ & bit(field)) != 0;
    }

    friend constexpr bool
    operator==(const log_field_set&, const log_field_set&) = default;

private:
    static constexpr std::uint64_t bit(log_field_id field)
    {
        return std::uint64_t{1} << static_cast<unsigned>(field);
    }

    std::uint64_t bits_ = 0;
};

/// The value of the field `Id` in one log line.
template <log_field_id Id>
struct log_value
{
    nlohmann::json value_;
};

template <class Tag, class Rep>
nlohmann::json to_log_json(const strong_type<Tag, Rep>& value)
{
    return value.value();
}

template <std::integral Value>
nlohmann::json to_log_json(Value value)
{
    return value;
}

nlohmann::json to_log_json(std::string_view value);
nlohmann::json to_log_json(std::chrono::milliseconds value);
/// Returns the name of the kind.
nlohmann::json to_log_json(error_kind value);

/// Makes values of the field `Id` from the only type that it takes.
template <log_field_id Id, class Value>
struct log_field_maker
{
    log_value<Id> operator()(const Value& value) const
    {
        return {to_log_json(value)};
    }
};

/// One maker for each field.
namespace log_fields {

template <log_field_id Id, class Value>
using maker = log_field_maker<Id, Value>;

inline constexpr maker<log_field_id::peer, vm_id> peer{};
inline constexpr maker<log_field_id::peer_address, std::string_view>
    peer_address{};
inline constexpr maker<log_field_id::peer_region, region_id> peer_region{};
inline constexpr maker<log_field_id::peer_failure_domain, failure_domain_id>
    peer_failure_domain{};
inline constexpr maker<log_field_id::origin, vm_id> origin{};
inline constexpr maker<log_field_id::revision_number, hemlockshelf::revision>
    revision{};
inline constexpr maker<log_field_id::source, std::string_view> source{};
inline constexpr maker<
    log_field_id::incarnation_number,
    hemlockshelf::incarnation>
    incarnation{};
inline constexpr maker<log_field_id::down, bool> down{};
inline constexpr maker<log_field_id::members, std::size_t> members{};
inline constexpr maker<log_field_id::changes, std::size_t> changes{};
inline constexpr maker<log_field_id::age_ms, std::chrono::milliseconds>
    age_ms{};
inline constexpr maker<log_field_id::pause_ms, std::chrono::milliseconds>
    pause_ms{};
inline constexpr maker<log_field_id::loop_delay_ms, std::chrono::milliseconds>
    loop_delay_ms{};
inline constexpr maker<log_field_id::records, std::size_t> records{};
inline constexpr maker<log_field_id::client_account, client_account_id>
    client_account{};
inline constexpr maker<log_field_id::new_level, std::string_view> new_level{};
inline constexpr maker<log_field_id::call_id, std::string_view> request_id{};
inline constexpr maker<log_field_id::route, row_key> route{};
inline constexpr maker<log_field_id::not_run, bool> not_run{};
inline constexpr maker<log_field_id::attempts, std::uint32_t> attempts{};
inline constexpr maker<log_field_id::gates_asked, std::uint32_t> gates_asked{};
inline constexpr maker<log_field_id::elapsed_ms, std::chrono::milliseconds>
    elapsed_ms{};
inline constexpr maker<log_field_id::time_left_ms, std::chrono::milliseconds>
    time_left_ms{};
inline constexpr maker<log_field_id::free_slots, std::uint32_t> free_slots{};
inline constexpr maker<log_field_id::reason, std::string_view> reason{};
inline constexpr maker<log_field_id::instance, std::string_view> instance{};
inline constexpr maker<log_field_id::state, std::string_view> state{};
inline constexpr maker<log_field_id::lines, std::uint64_t> lines{};
inline constexpr maker<log_field_id::bytes, std::uint64_t> bytes{};
inline constexpr maker<log_field_id::bodies, std::uint32_t> bodies{};
inline constexpr maker<log_field_id::requests_behind, std::size_t>
    requests_behind{};
inline constexpr maker<log_field_id::error_kind, hemlockshelf::error_kind>
    error_kind{};
inline constexpr maker<log_field_id::detail, std::string_view> detail{};

} // namespace log_fields

} // namespace hemlockshelf

#endif
