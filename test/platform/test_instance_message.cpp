#include "platform/instance_message.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

nlohmann::json make_heartbeat()
{
    return {{"service", "desk"},      {"address", "10.1.0.8:8301"},
            {"zone", "salle-belair"}, {"version", "v1"},
            {"slot_count", 18},       {"state", "ready"},
            {"sequence", 4},          {"cold_remaining", "1.5s"},
            {"born", 1700000000000}};
}

} // namespace

Test(instance_message, reads_a_heartbeat)
{
    const auto read = parse_heartbeat("i-1", make_heartbeat());
    cr_assert(read.has_value());
    cr_assert(read->service_ == service_name{"desk"});
    cr_assert(read->slots_ == slot_count{18});
    cr_assert(!read->draining_);
    cr_assert(read->order_.instance_ == "i-1");
    cr_assert(read->order_.started_ms_ == 1700000000000);
    cr_assert(read->order_.sequence_ == 4);
    cr_assert(read->remaining_warm_up_ == 1500ms);
}

// Guards against using an instance whose heartbeat is malformed.
Test(instance_message, refuses_fields_that_are_missing_or_of_another_type)
{
    for (const auto* field :
         {"service", "address", "state", "slot_count", "sequence"})
    {
        auto missing = make_heartbeat();
        missing.erase(field);
        cr_assert(!parse_heartbeat("i-1", missing), "%s", field);
        auto wrong = make_heartbeat();
        wrong[field] = nlohmann::json::array();
        cr_assert(!parse_heartbeat("i-1", wrong), "%s", field);
    }
    // Guards against a check-in of another sender that passes for a new start
    // of the instance and undoes its departure.
    for (const auto* field : {"born", "zone", "version", "cold_remaining"})
    {
        auto wrong = make_heartbeat();
        wrong[field] = nlohmann::json::array();
        cr_assert(!parse_heartbeat("i-1", wrong), "%s", field);
    }
    for (const auto& born :
         {nlohmann::json("1700000000000"), nlohmann::json(-1),
          nlohmann::json(1.5), nlohmann::json(nullptr)})
    {
        auto wrong = make_heartbeat();
        wrong["born"] = born;
        cr_assert(!parse_heartbeat("i-1", wrong));
    }
    // Guards against names that other nodes refuse in a record.
    auto longest = make_heartbeat();
    longest["service"] = std::string(1020, 's');
    cr_assert(!parse_heartbeat("i-1", longest));
    longest["service"] = std::string(1019, 's');
    cr_assert(parse_heartbeat("i-1", longest).has_value());
    cr_assert(!parse_heartbeat(std::string(1025, 'i'), make_heartbeat()));
    auto invalid = make_heartbeat();
    invalid["state"] = "resting";
    cr_assert(!parse_heartbeat("i-1", invalid));
    invalid = make_heartbeat();
    invalid["slot_count"] = 0;
    cr_assert(!parse_heartbeat("i-1", invalid));
    cr_assert(!parse_heartbeat("", make_heartbeat()));
    cr_assert(!parse_heartbeat("i-1", "text"));
}
