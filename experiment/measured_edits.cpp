#include "experiment/measured_edits.hpp"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "experiment/operators.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace {

nlohmann::json small_edit(const deployment& mesh, std::size_t round)
{
    return nlohmann::json::array(
        {{{"table", "pools"},
          {"key", mesh.account_ + "/measured"},
          {"row",
           {{"service", mesh.services_.front()},
            {"max_concurrent_calls", 100 + round}}}}});
}

std::size_t node_for(const cluster& mesh, std::size_t round)
{
    // A prime step makes successive rounds visit every failure domain and
    // node.
    constexpr std::size_t step = 7;
    auto index = round * step % mesh.size();
    while (!mesh.node_is_up(index))
    {
        index = (index + 1) % mesh.size();
    }
    return index;
}

double milliseconds_between(event_time from, event_time to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::optional<event_time>
last_reached(const cluster& mesh, revision_watcher& watcher, revision number)
{
    event_time last{};
    for (std::size_t index = 0; index < mesh.size(); ++index)
    {
        if (!mesh.node_is_up(index))
        {
            continue;
        }
        const auto at =
            watcher.reached_at(vm_id{mesh.place(index).vm_}, number);
        if (!at)
        {
            return std::nullopt;
        }
        last = std::max(last, *at);
    }
    return last;
}

} // namespace

edit_record
submit_round(const cluster& mesh, const std::string& name, std::size_t round)
{
    return submit_edit(
        mesh, node_for(mesh, round), fmt::format("{}-{}", name, round),
        small_edit(mesh.options().deployment_, round));
}

std::vector<edit_record> submit_series(
    const cluster& mesh,
    const std::string& name,
    std::size_t count,
    std::chrono::milliseconds gap)
{
    std::vector<edit_record> accepted;
    auto next = std::chrono::steady_clock::now();
    for (std::size_t round = 0; round < count; ++round)
    {
        std::this_thread::sleep_until(next);
        next += gap;
        auto record = submit_round(mesh, name, round);
        if (record.result_ == edit_result::accepted)
        {
            accepted.push_back(std::move(record));
        }
    }
    return accepted;
}

edit_times measure_edit_times(
    const cluster& mesh,
    revision_watcher& watcher,
    const std::vector<edit_record>& edits,
    std::chrono::milliseconds timeout)
{
    edit_times times;
    for (const auto& edit : edits)
    {
        times.acceptance_.push_back(
            milliseconds_between(edit.invoked_at_, edit.answered_at_));
        std::optional<event_time> reached;
        wait_until(
            timeout,
            [&]
            {
                reached = last_reached(mesh, watcher, edit.revision_);
                return reached.has_value();
            });
        if (!reached)
        {
            continue;
        }
        times.dissemination_.push_back(
            std::max(0.0, milliseconds_between(edit.answered_at_, *reached)));
        times.total_.push_back(
            milliseconds_between(edit.invoked_at_, *reached));
    }
    return times;
}

} // namespace hemlockshelf
