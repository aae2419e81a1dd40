#include "hemlockshelf/dissemination/peer_link.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "hemlockshelf/dissemination/repair_schedule.hpp"

namespace hemlockshelf {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr std::chrono::milliseconds first_back_off{100};
constexpr std::uint32_t max_doublings = 6;

struct call_answered
{};
struct call_late
{};
struct connection_lost
{};
struct connection_begun
{};

struct connecting : msm::front::state<>
{};
struct live : msm::front::state<>
{};
struct suspect : msm::front::state<>
{};
struct broken : msm::front::state<>
{};

struct link_def : msm::front::state_machine_def<link_def>
{
    using initial_state = connecting;

    // States are numbered in the order in which the table first names them as
    // a source.
    using transition_table = boost::mpl::vector<
        Row<connecting, call_answered, live, none, none>,
        Row<connecting, call_late, broken, none, none>,
        Row<connecting, connection_lost, broken, none, none>,
        Row<live, call_late, suspect, none, none>,
        Row<live, connection_lost, broken, none, none>,
        Row<suspect, call_answered, live, none, none>,
        Row<suspect, call_late, broken, none, none>,
        Row<suspect, connection_lost, broken, none, none>,
        Row<broken, connection_begun, connecting, none, none>>;

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {}
};

constexpr std::array states{
    link_state::connecting, link_state::live, link_state::suspect,
    link_state::broken};

} // namespace

class peer_link::machine : public msm::back::state_machine<link_def>
{};

peer_link::peer_link() : machine_(std::make_unique<machine>())
{
    machine_->start();
}

peer_link::~peer_link() = default;

void peer_link::on_answered()
{
    failures_ = 0;
    machine_->process_event(call_answered{});
}

void peer_link::on_timeout(bool heard, steady_time now, std::uint64_t random)
{
    if (state() == link_state::broken)
    {
        return;
    }
    const bool was_live = state() == link_state::live;
    if (heard)
    {
        machine_->process_event(call_late{});
    }
    else
    {
        machine_->process_event(connection_lost{});
    }
    if (state() == link_state::broken && !(was_live && !heard))
    {
        back_off(now, random);
    }
}

void peer_link::on_disconnected(steady_time now, std::uint64_t random)
{
    if (state() == link_state::broken)
    {
        return;
    }
    machine_->process_event(connection_lost{});
    back_off(now, random);
}

void peer_link::reconnect()
{
    machine_->process_event(connection_begun{});
}

link_state peer_link::state() const
{
    return states.at(static_cast<std::size_t>(machine_->current_state()[0]));
}

bool peer_link::may_connect(steady_time now) const
{
    return now >= next_attempt_;
}

void peer_link::back_off(steady_time now, std::uint64_t random)
{
    const auto doublings = std::min(failures_, max_doublings);
    ++failures_;
    next_attempt_ = jittered(now, first_back_off * (1U << doublings), random);
}

std::string_view to_string(link_state state)
{
    switch (state)
    {
    case link_state::connecting:
        return "connecting";
    case link_state::live:
        return "live";
    case link_state::suspect:
        return "suspect";
    case link_state::broken:
        return "broken";
    }
    return "unknown";
}

} // namespace hemlockshelf
