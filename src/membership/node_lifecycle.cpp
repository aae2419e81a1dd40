#include "hemlockshelf/membership/node_lifecycle.hpp"

#include <array>
#include <cstddef>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace hemlockshelf {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct listeners_bound
{};
struct revision_current
{};
struct pause_detected
{};
struct drain_requested
{};
struct leave_requested
{};

struct starting : msm::front::state<>
{};
struct joining : msm::front::state<>
{};
struct serving : msm::front::state<>
{};
struct draining : msm::front::state<>
{};
struct left : msm::front::state<>
{};

struct lifecycle_def : msm::front::state_machine_def<lifecycle_def>
{
    using initial_state = starting;

    // States are numbered in the order in which the table first names them as
    // a source, and then as a target.
    using transition_table = boost::mpl::vector<
        Row<starting, listeners_bound, joining, none, none>,
        Row<starting, drain_requested, draining, none, none>,
        Row<joining, revision_current, serving, none, none>,
        Row<joining, drain_requested, draining, none, none>,
        Row<serving, pause_detected, joining, none, none>,
        Row<serving, drain_requested, draining, none, none>,
        Row<draining, leave_requested, left, none, none>>;

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {}
};

constexpr std::array states{
    node_state::starting, node_state::joining, node_state::serving,
    node_state::draining, node_state::left};

} // namespace

class node_lifecycle::machine : public msm::back::state_machine<lifecycle_def>
{};

node_lifecycle::node_lifecycle() : machine_(std::make_unique<machine>())
{
    machine_->start();
}

node_lifecycle::~node_lifecycle() = default;

void node_lifecycle::on_listening()
{
    machine_->process_event(listeners_bound{});
}

void node_lifecycle::on_caught_up()
{
    machine_->process_event(revision_current{});
}

void node_lifecycle::on_paused()
{
    machine_->process_event(pause_detected{});
}

void node_lifecycle::drain()
{
    machine_->process_event(drain_requested{});
}

void node_lifecycle::leave()
{
    machine_->process_event(leave_requested{});
}

node_state node_lifecycle::state() const
{
    return states.at(static_cast<std::size_t>(machine_->current_state()[0]));
}

std::string_view to_string(node_state state)
{
    switch (state)
    {
    case node_state::starting:
        return "starting";
    case node_state::joining:
        return "joining";
    case node_state::serving:
        return "serving";
    case node_state::draining:
        return "draining";
    case node_state::left:
        return "left";
    }
    return "unknown";
}

} // namespace hemlockshelf
