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

const expected_instance on_this_vm{
    service_name{"desk"}, endpoint{"10.1.0.8", 8301}};

/// Returns an instance with a service name of this length.
expected_instance expecting(std::size_t length)
{
    return {service_name{std::string(length, 's')}};
}

result<upstream_announcement>
read(const std::string& id, const nlohmann::json& body)
{
    return parse_heartbeat(id, body, on_this_vm);
}

} // namespace

Test(instance_message, reads_a_heartbeat)
{
    const auto found = read("i-1", make_heartbeat());
    cr_assert(found.has_value());
    cr_assert(found->service_ == service_name{"desk"});
    cr_assert(found->slots_ == slot_count{18});
    cr_assert(!found->draining_);
    cr_assert(found->order_.instance_ == "i-1");
    cr_assert(found->order_.started_ms_ == 1700000000000);
    cr_assert(found->order_.sequence_ == 4);
    cr_assert(found->remaining_warm_up_ == 1500ms);
}

// Guards against using an instance whose heartbeat is malformed.
Test(instance_message, refuses_fields_that_are_missing_or_of_another_type)
{
    for (const auto* field :
         {"service", "address", "state", "slot_count", "sequence"})
    {
        auto missing = make_heartbeat();
        missing.erase(field);
        cr_assert(!read("i-1", missing), "%s", field);
        auto wrong = make_heartbeat();
        wrong[field] = nlohmann::json::array();
        cr_assert(!read("i-1", wrong), "%s", field);
    }
    // Guards against a check-in of another sender that passes for a new start
    // of the instance and undoes its departure.
    for (const auto* field : {"born", "zone", "version", "cold_remaining"})
    {
        auto wrong = make_heartbeat();
        wrong[field] = nlohmann::json::array();
        cr_assert(!read("i-1", wrong), "%s", field);
    }
    for (const auto& born :
         {nlohmann::json("1700000000000"), nlohmann::json(-1),
          nlohmann::json(1.5), nlohmann::json(nullptr)})
    {
        auto wrong = make_heartbeat();
        wrong["born"] = born;
        cr_assert(!read("i-1", wrong));
    }
    // Guards against names that other nodes refuse in a record.
    auto longest = make_heartbeat();
    longest["service"] = std::string(1020, 's');
    cr_assert(!parse_heartbeat("i-1", longest, expecting(1020)));
    longest["service"] = std::string(1019, 's');
    cr_assert(parse_heartbeat("i-1", longest, expecting(1019)).has_value());
    cr_assert(!read(std::string(1025, 'i'), make_heartbeat()));
    auto invalid = make_heartbeat();
    invalid["state"] = "resting";
    cr_assert(!read("i-1", invalid));
    invalid = make_heartbeat();
    invalid["slot_count"] = 0;
    cr_assert(!read("i-1", invalid));
    cr_assert(!read("", make_heartbeat()));
    cr_assert(!read("i-1", "text"));
}

// Guards against a first heartbeat, with the number 0, that counts as one
// without a number.
Test(instance_message, a_number_that_is_0_is_given)
{
    auto first = make_heartbeat();
    first["sequence"] = 0;
    first["born"] = 0;
    const auto found = read("i-1", first);
    cr_assert(found->order_.sequence_ == 0);
    cr_assert(found->order_.started_ms_ == 0);
    first.erase("born");
    cr_assert(!read("i-1", first)->order_.started_ms_);
}

// Guards against a heartbeat of another sender that takes the place of the
// instance on the VM, which then gets no work for good.
Test(instance_message, refuses_a_heartbeat_of_another_instance)
{
    auto other = make_heartbeat();
    other["service"] = "not-a-service";
    cr_assert(!read("i-1", other));
    for (const auto* address :
         {"10.1.0.9:8301", "10.1.0.8:8399", "10.1.0.8:70000", "10.1.0.8:0",
          "10.1.0.8", "host:8301", ""})
    {
        other = make_heartbeat();
        other["address"] = address;
        cr_assert(!read("i-1", other), "%s", address);
    }
    // Where the settings do not name the address, it must still be one.
    const expected_instance any_address{service_name{"desk"}};
    cr_assert(!parse_heartbeat("i-1", other, any_address));
    other["address"] = "10.1.0.8:8399";
    cr_assert(parse_heartbeat("i-1", other, any_address).has_value());
}
