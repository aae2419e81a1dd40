#include "hemlockshelf/membership/upstream_lifecycle.hpp"

#include <array>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace hemlockshelf {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct announced
{};
struct warmed
{};
struct draining_began
{};
struct silent
{};
struct node_left
{};

struct absent : msm::front::state<>
{};
struct warming : msm::front::state<>
{};
struct ready : msm::front::state<>
{};
struct draining : msm::front::state<>
{};
struct down : msm::front::state<>
{};
struct left : msm::front::state<>
{};

struct lifecycle_def : msm::front::state_machine_def<lifecycle_def>
{
    using initial_state = absent;

    // States are numbered in the order in which the table first names them as
    // a source, and then as a target.
    using transition_table = boost::mpl::vector<
        Row<absent, announced, warming, none, none>,
        Row<absent, node_left, left, none, none>,
        Row<warming, warmed, ready, none, none>,
        Row<warming, draining_began, draining, none, none>,
        Row<warming, silent, down, none, none>,
        Row<warming, node_left, left, none, none>,
        Row<ready, draining_began, draining, none, none>,
        Row<ready, silent, down, none, none>,
        Row<ready, node_left, left, none, none>,
        Row<draining, announced, warming, none, none>,
        Row<draining, silent, down, none, none>,
        Row<draining, node_left, left, none, none>,
        Row<down, announced, warming, none, none>,
        Row<down, node_left, left, none, none>>;

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {}
};

/// Whether an upstream that has been warming for `age` is fast. One that says
/// how long it is slow knows better than the settings.
bool is_warm(
    const upstream_announcement& announcement,
    std::chrono::nanoseconds age,
    const membership_settings& settings)
{
    return announcement.remaining_warm_up_
               ? announcement.remaining_warm_up_->count() == 0
               : age >= settings.warm_up_time_;
}

constexpr std::array states{upstream_state::absent, upstream_state::warming,
                            upstream_state::ready,  upstream_state::draining,
                            upstream_state::down,   upstream_state::left};

} // namespace

class upstream_lifecycle::machine
    : public msm::back::state_machine<lifecycle_def>
{};

upstream_lifecycle::upstream_lifecycle(const membership_settings& settings)
    : settings_(settings), machine_(std::make_unique<machine>())
{
    machine_->start();
}

upstream_lifecycle::~upstream_lifecycle() = default;

void upstream_lifecycle::observe(
    const std::optional<upstream_announcement>& announcement, steady_time now)
{
    if (!announcement)
    {
        machine_->process_event(silent{});
        return;
    }
    const auto before = state();
    if (announcement->draining_ || node_drains_)
    {
        machine_->process_event(draining_began{});
        return;
    }
    if (before == upstream_state::warming &&
        is_warm(*announcement, now - warming_since_, settings_))
    {
        machine_->process_event(warmed{});
        return;
    }
    machine_->process_event(announced{});
    if (before != state())
    {
        warming_since_ = now;
    }
}

void upstream_lifecycle::drain()
{
    node_drains_ = true;
    machine_->process_event(draining_began{});
}

void upstream_lifecycle::leave()
{
    machine_->process_event(node_left{});
}

upstream_state upstream_lifecycle::state() const
{
    return states.at(static_cast<std::size_t>(machine_->current_state()[0]));
}

} // namespace hemlockshelf
