#include "experiment/disturbance.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "experiment/bridge_kill.hpp"
#include "experiment/operators.hpp"
#include "experiment/wait.hpp"

namespace hemlockshelf {

namespace {

/// Upper limit of a node's graceful shutdown.
constexpr std::chrono::seconds stop_timeout{30};
/// Upper limit of a node's start.
constexpr std::chrono::seconds start_timeout{30};

bool is_affected(const trial_context& context, std::size_t index)
{
    return std::ranges::any_of(
        context.affected_,
        [index](const auto& item)
        {
            return std::ranges::find(item.second, index) != item.second.end();
        });
}

/// Chooses nodes that no other disturbance has chosen.
const std::vector<std::size_t>&
choose_nodes(trial_context& context, const char* name, std::size_t count)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < context.mesh_->size(); ++index)
    {
        if (!is_affected(context, index))
        {
            candidates.push_back(index);
        }
    }
    std::ranges::shuffle(candidates, context.random_);
    candidates.resize(std::min(count, candidates.size()));
    return context.affected_[name] = std::move(candidates);
}

std::vector<std::size_t> take_nodes(trial_context& context, const char* name)
{
    auto nodes = std::move(context.affected_[name]);
    context.affected_.erase(name);
    return nodes;
}

const std::string& random_domain(trial_context& context)
{
    const auto& domains = context.mesh_->options().deployment_.domains_;
    return domains[context.random_() % domains.size()].name_;
}

/// Callers send requests to a replaced node only after it responds.
void start_and_include(trial_context& context, std::size_t index)
{
    context.mesh_->start_node(index);
    const bool answers = wait_until(
        start_timeout,
        [&context, index]
        {
            return context.mesh_->node_revision(index).has_value();
        });
    if (!answers)
    {
        context.problems_.push_back(
            context.mesh_->place(index).vm_ + ": did not start again");
    }
    context.load_->include(index);
}

void set_link(trial_context& context, const nlohmann::json& fault)
{
    if (!context.mesh_->set_link_fault(fault))
    {
        context.problems_.push_back("link fault refused: " + fault.dump());
    }
}

void set_platform(trial_context& context, const nlohmann::json& fault)
{
    if (!context.mesh_->set_platform_fault(fault))
    {
        context.problems_.push_back("platform fault refused: " + fault.dump());
    }
}

void restore_links(trial_context& context)
{
    set_link(context, {{"mode", "ok"}});
}

void restore_platform(trial_context& context)
{
    set_platform(context, {{"mode", "ok"}});
}

void kill_quarter(trial_context& context)
{
    const auto quarter = std::max<std::size_t>(1, context.mesh_->size() / 4);
    for (const auto index : choose_nodes(context, "kill_quarter", quarter))
    {
        context.mesh_->kill_node(index);
        context.mesh_->kill_upstream(index);
    }
}

void restart_quarter(trial_context& context)
{
    for (const auto index : take_nodes(context, "kill_quarter"))
    {
        context.mesh_->start_node(index);
        context.mesh_->start_upstream(index);
    }
}

/// Revisions differ between nodes briefly after an edit, so a kill right after
/// the response interrupts a push in progress.
void kill_during_push(trial_context& context)
{
    const auto chosen = choose_nodes(context, "kill_during_push", 2);
    const auto& mesh = context.mesh_->options().deployment_;
    const auto key = mesh.account_ + "/pushed";
    context.edits_.push_back(submit_edit(
        *context.mesh_, chosen.front(),
        fmt::format("push-{}", context.random_()),
        nlohmann::json::array(
            {{{"table", "pools"},
              {"key", key},
              {"row", {{"service", mesh.services_.front()}}}}})));
    for (const auto index : chosen)
    {
        context.mesh_->kill_node(index);
    }
}

void restart_after_push(trial_context& context)
{
    for (const auto index : take_nodes(context, "kill_during_push"))
    {
        context.mesh_->start_node(index);
    }
}

void pause_node(trial_context& context)
{
    for (const auto index : choose_nodes(context, "pause_node", 1))
    {
        context.mesh_->signal_node(index, SIGSTOP);
    }
}

void resume_node(trial_context& context)
{
    for (const auto index : take_nodes(context, "pause_node"))
    {
        context.mesh_->signal_node(index, SIGCONT);
    }
}

void pause_upstream(trial_context& context)
{
    for (const auto index : choose_nodes(context, "pause_upstream", 1))
    {
        context.mesh_->signal_upstream(index, SIGSTOP);
    }
}

void resume_upstream(trial_context& context)
{
    for (const auto index : take_nodes(context, "pause_upstream"))
    {
        context.mesh_->signal_upstream(index, SIGCONT);
    }
}

void kill_upstream(trial_context& context)
{
    for (const auto index : choose_nodes(context, "kill_upstream", 1))
    {
        context.mesh_->kill_upstream(index);
    }
}

void restart_upstream(trial_context& context)
{
    for (const auto index : take_nodes(context, "kill_upstream"))
    {
        context.mesh_->start_upstream(index);
    }
}

void cut_regions(trial_context& context)
{
    const auto& domains = context.mesh_->options().deployment_.domains_;
    set_link(
        context, {{"mode", "cut"},
                  {"from", domains.front().region_},
                  {"to", domains.back().region_}});
}

void silence_regions(trial_context& context)
{
    const auto& domains = context.mesh_->options().deployment_.domains_;
    set_link(
        context, {{"mode", "silent"},
                  {"from", domains.front().region_},
                  {"to", domains.back().region_}});
}

/// Sums a counter of the link over all traffic from one side to another.
std::uint64_t link_bytes(
    const trial_context& context,
    const char* counter,
    const std::string& from,
    const std::string& to)
{
    const auto is_at = [](const std::string& side, const nlohmann::json& pair,
                          const char* domain, const char* region)
    {
        return side == "*" || pair.at(domain) == side ||
               pair.at(region) == side;
    };
    std::uint64_t sum = 0;
    const auto counters = context.mesh_->link_counters();
    for (const auto& pair : counters.value("pairs", nlohmann::json::array()))
    {
        if (pair.at("from") != pair.at("to") &&
            is_at(from, pair, "from", "from_region") &&
            is_at(to, pair, "to", "to_region"))
        {
            sum += pair.at(counter).get<std::uint64_t>();
        }
    }
    return sum;
}

/// Drops traffic in one direction; the opposite direction keeps delivering.
void cut_direction(
    trial_context& context,
    const char* name,
    const std::string& from,
    const std::string& to)
{
    context.one_way_cuts_[name] = {
        from, to, link_bytes(context, "bytes", to, from)};
    set_link(
        context,
        {{"mode", "silent"}, {"from", from}, {"to", to}, {"both", false}});
}

/// The seed chooses the direction, since the platform is in one of the regions.
void cut_one_way(trial_context& context)
{
    const auto& domains = context.mesh_->options().deployment_.domains_;
    const auto& first = domains.front().region_;
    const auto& last = domains.back().region_;
    if (context.random_() % 2 == 0)
    {
        cut_direction(context, "cut_one_way", first, last);
        return;
    }
    cut_direction(context, "cut_one_way", last, first);
}

/// Drops all outgoing or all incoming traffic of a failure domain.
void cut_domain_one_way(trial_context& context)
{
    const auto& domain = random_domain(context);
    if (context.random_() % 2 == 0)
    {
        cut_direction(context, "cut_domain_one_way", domain, "*");
        return;
    }
    cut_direction(context, "cut_domain_one_way", "*", domain);
}

/// Ends a one-way cut. Reports a problem if the cut dropped nothing or blocked
/// both directions, since the trial would then test a different failure.
void restore_direction(trial_context& context, const char* name)
{
    const auto cut = context.one_way_cuts_.at(name);
    const auto dropped =
        link_bytes(context, "dropped_bytes", cut.from_, cut.to_);
    const auto delivered =
        link_bytes(context, "bytes", cut.to_, cut.from_) - cut.delivered_back_;
    restore_links(context);
    const auto direction = fmt::format("from {} to {}", cut.from_, cut.to_);
    context.counts_["bytes dropped " + direction] = dropped;
    context.counts_["bytes delivered against the cut " + direction] = delivered;
    if (!context.is_combined_ && (dropped == 0 || delivered == 0))
    {
        context.problems_.push_back(fmt::format(
            "the cut {} dropped {} bytes and let {} bytes pass in the "
            "opposite direction, expected more than 0 of both",
            direction, dropped, delivered));
    }
}

void restore_one_way(trial_context& context)
{
    restore_direction(context, "cut_one_way");
}

void restore_domain_one_way(trial_context& context)
{
    restore_direction(context, "cut_domain_one_way");
}

void silence_open_connections(trial_context& context)
{
    set_link(context, {{"mode", "silent_open"}});
}

void cut_domain(trial_context& context)
{
    set_link(context, {{"mode", "cut"}, {"from", random_domain(context)}});
}

void silence_domain(trial_context& context)
{
    set_link(context, {{"mode", "silent"}, {"from", random_domain(context)}});
}

void stop_platform(trial_context& context)
{
    set_platform(context, {{"mode", "down"}});
}

void slow_platform(trial_context& context)
{
    set_platform(context, {{"mode", "slow"}, {"delay_ms", 700}});
}

void lose_answers(trial_context& context)
{
    set_platform(context, {{"mode", "lose_answers"}, {"probability", 0.5}});
}

void drain_upstream(trial_context& context)
{
    for (const auto index : choose_nodes(context, "drain_upstream", 1))
    {
        const auto answer = context.mesh_->ask(
            index, boost::beast::http::verb::post, "/v1/drain");
        if (answer.status_ != 200)
        {
            context.problems_.push_back(
                fmt::format("drain refused with status {}", answer.status_));
        }
    }
}

void replace_drained(trial_context& context)
{
    for (const auto index : take_nodes(context, "drain_upstream"))
    {
        context.load_->exclude(index);
        context.mesh_->terminate_node(index, stop_timeout);
        start_and_include(context, index);
    }
}

void terminate_node(trial_context& context)
{
    for (const auto index : choose_nodes(context, "terminate_node", 1))
    {
        // Callers stop using the node at once; requests in progress have to
        // finish.
        context.load_->exclude(index);
        const auto status = context.mesh_->terminate_node(index, stop_timeout);
        if (status != 0)
        {
            context.problems_.push_back(
                context.mesh_->place(index).vm_ +
                ": did not stop cleanly after SIGTERM");
        }
    }
}

void replace_terminated(trial_context& context)
{
    for (const auto index : take_nodes(context, "terminate_node"))
    {
        start_and_include(context, index);
    }
}

constexpr std::array disturbances{
    disturbance{"kill_quarter", kill_quarter, restart_quarter},
    disturbance{"kill_during_push", kill_during_push, restart_after_push},
    disturbance{"pause_node", pause_node, resume_node},
    disturbance{"pause_upstream", pause_upstream, resume_upstream},
    disturbance{"kill_bridge", kill_bridges, restart_bridges, true},
    disturbance{"kill_upstream", kill_upstream, restart_upstream},
    disturbance{"cut_regions", cut_regions, restore_links},
    disturbance{"cut_one_way", cut_one_way, restore_one_way},
    disturbance{
        "cut_domain_one_way", cut_domain_one_way, restore_domain_one_way},
    disturbance{"silence_regions", silence_regions, restore_links},
    disturbance{"silence_open", silence_open_connections, restore_links},
    disturbance{"cut_domain", cut_domain, restore_links},
    disturbance{"silence_domain", silence_domain, restore_links},
    disturbance{"platform_down", stop_platform, restore_platform},
    disturbance{"platform_slow", slow_platform, restore_platform},
    disturbance{"platform_lost_answers", lose_answers, restore_platform},
    disturbance{"drain_upstream", drain_upstream, replace_drained},
    disturbance{"terminate_node", terminate_node, replace_terminated},
};

} // namespace

std::span<const disturbance> all_disturbances()
{
    return disturbances;
}

const disturbance& find_disturbance(std::string_view name)
{
    for (const auto& known : disturbances)
    {
        if (known.name_ == name)
        {
            return known;
        }
    }
    throw std::invalid_argument(
        fmt::format("disturbance \"{}\": unknown", name));
}

} // namespace hemlockshelf
