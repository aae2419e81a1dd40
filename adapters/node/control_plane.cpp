#include "adapters/node/control_plane.hpp"

#include <chrono>
#include <cstdint>

#include <spdlog/spdlog.h>

#include "hemlockshelf/editing/config_reader.hpp"

namespace hemlockshelf {

namespace {

constexpr std::chrono::milliseconds poll_interval{200};

incarnation make_incarnation(const clock& time)
{
    const auto since_epoch = time.wall_now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count())};
}

} // namespace

control_plane::control_plane(
    const node_settings& settings,
    const clock& time,
    table_service& tables,
    snapshot_store& snapshots,
    member_table& members,
    const own_upstream& upstream)
    : settings_(settings), time_(time), tables_(tables), snapshots_(snapshots),
      members_(members), upstream_(upstream),
      incarnation_(make_incarnation(time_))
{}

control_plane::~control_plane()
{
    stop();
}

void control_plane::start()
{
    poller_ = std::thread(
        [this]
        {
            poll_platform();
        });
}

void control_plane::stop()
{
    stopping_ = true;
    if (poller_.joinable())
    {
        poller_.join();
    }
}

void control_plane::accept(const change_record& record)
{
    const auto next = apply_delta(*snapshots_.current(), record.delta_);
    if (next && snapshots_.advance(*next))
    {
        spdlog::info("revision {} is in force", record.delta_.to_.value());
    }
}

void control_plane::poll_platform()
{
    while (!stopping_)
    {
        write_own_record();
        poll_once();
        std::this_thread::sleep_for(poll_interval);
    }
}

void control_plane::poll_once()
{
    const auto head = read_head(tables_);
    const auto held = snapshots_.current();
    if (!head || head->revision_ <= held->number())
    {
        return;
    }
    const auto next = catch_up(tables_, held, head->revision_);
    if (!next)
    {
        spdlog::warn("catching up failed: {}", next.error().message_);
        return;
    }
    if (snapshots_.advance(*next))
    {
        spdlog::info("revision {} is in force", head->revision_.value());
    }
}

void control_plane::write_own_record()
{
    const auto held = members_.find(settings_.vm_);
    member_record record;
    record.vm_ = settings_.vm_;
    record.failure_domain_ = settings_.failure_domain_;
    record.region_ = settings_.region_;
    record.gate_address_ = to_string(settings_.advertised_gate_);
    record.control_address_ = to_string(settings_.advertised_control_);
    record.incarnation_ = incarnation_;
    if (const auto upstream = upstream_.current())
    {
        record.state_ = upstream->draining_ ? upstream_state::draining
                                            : upstream_state::ready;
        record.account_ = upstream->account_;
        record.service_ = upstream->service_;
        record.slots_ = upstream->slots_;
        record.connections_ = upstream->connections_;
    }
    record.sequence_ = held ? held->record_.sequence_ : sequence{0};
    if (held && held->record_ == record)
    {
        return;
    }
    record.sequence_ = sequence{record.sequence_.value() + 1};
    members_.merge(record);
}

} // namespace hemlockshelf
