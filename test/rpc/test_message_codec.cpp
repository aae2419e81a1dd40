#include "adapters/rpc/message_codec.hpp"

#include <optional>

#include <capnp/message.h>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

member_update sent_and_read(const member_update& update)
{
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::MemberRecord>();
    write(wire, update);
    return read(wire.asReader());
}

member_update make_update()
{
    member_update update;
    auto& record = update.record_;
    record.vm_ = vm_id{"order-desk-2"};
    record.failure_domain_ = failure_domain_id{"salle-belair"};
    record.region_ = region_id{"quebec-centre"};
    record.gate_address_ = "127.0.0.1:1";
    record.control_address_ = "127.0.0.1:2";
    record.admin_address_ = "127.0.0.1:3";
    record.incarnation_ = incarnation{4};
    record.sequence_ = sequence{5};
    record.state_ = upstream_state::draining;
    record.account_ = client_account_id{"regie"};
    record.service_ = service_name{"order-desk"};
    record.slots_ = slot_count{20};
    record.connections_ = connection_count{110};
    record.link_ = bit_rate{7'000'000};
    record.platform_lost_ = true;
    record.platform_round_trip_ = std::chrono::microseconds{44'300};
    record.acknowledged_ = {
        {"i-7f3a91c2", 1'700'000'000'123, 9}, 1'700'000'000'124, true};
    update.down_ = true;
    return update;
}

} // namespace

// Guards against a field of a member record that is lost on its way, such as
// those by which the readers of the platform are chosen.
Test(message_codec, every_field_of_a_member_record_arrives)
{
    const auto update = make_update();
    cr_assert(sent_and_read(update) == update);
}

// Guards against a capacity that is cut, and against one of the two marks of a
// record that is read for the other.
Test(message_codec, link_and_marks_of_a_member_record_arrive)
{
    cr_assert(rc::check(
        [](std::uint64_t link, bool platform_lost, bool down)
        {
            auto update = make_update();
            update.record_.link_ = bit_rate{link};
            update.record_.platform_lost_ = platform_lost;
            update.down_ = down;
            const auto arrived = sent_and_read(update);
            RC_ASSERT(arrived.record_.link_ == bit_rate{link});
            RC_ASSERT(arrived.record_.platform_lost_ == platform_lost);
            RC_ASSERT(arrived.down_ == down);
        }));
}

// Guards against a joining node that does not learn what an earlier process
// acknowledged to its upstream.
Test(message_codec, every_field_of_a_heartbeat_arrives)
{
    const heartbeat_message heartbeat{
        {vm_id{"order-desk-2"}, failure_domain_id{"salle-belair"},
         region_id{"quebec-centre"}},
        incarnation{4},
        revision{12},
        content_hash{3, 5},
        6,
        true,
        make_update().record_.acknowledged_};
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::Heartbeat>();
    write(wire, heartbeat);
    const auto arrived = read(wire.asReader());
    cr_assert(arrived.incarnation_ == heartbeat.incarnation_);
    cr_assert(arrived.revision_ == heartbeat.revision_);
    cr_assert(arrived.hash_ == heartbeat.hash_);
    cr_assert(arrived.membership_root_ == heartbeat.membership_root_);
    cr_assert(arrived.joining_);
    cr_assert(arrived.acknowledged_ == heartbeat.acknowledged_);
    cr_assert(arrived.confirmation_age_ == heartbeat.confirmation_age_);
}

// Guards against a number that is 0 and arrives as none, or the other way
// round, and against what nodes of earlier versions send.
Test(message_codec, a_number_that_is_0_is_not_none)
{
    const std::optional<std::uint64_t> none;
    for (const auto& number :
         {none, std::optional<std::uint64_t>(0),
          std::optional<std::uint64_t>(7)})
    {
        auto update = make_update();
        update.record_.acknowledged_ = {{"i-1", number, number}, number, false};
        cr_assert(sent_and_read(update) == update);
    }
    capnp::MallocMessageBuilder message;
    auto wire = message.initRoot<wire::MemberRecord>();
    write(wire, make_update());
    auto earlier = wire.initAcknowledged();
    earlier.setInstance("i-1");
    earlier.setStartedMs(1000);
    const auto arrived = read(wire.asReader()).record_.acknowledged_;
    cr_assert(arrived->order_.started_ms_ == 1000);
    cr_assert(!arrived->order_.sequence_);
    cr_assert(!arrived->withdrawn_until_ms_);
}

// Guards against the name of a service that a node may hold and that its peers
// refuse, with all the records that are sent along with it.
Test(message_codec, the_longest_names_arrive)
{
    auto update = make_update();
    update.record_.service_ = service_name{std::string(1019, 's')};
    cr_assert(sent_and_read(update) == update);
}
