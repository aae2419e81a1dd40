#include "test/editing/ordering/lease_node.hpp"

#include <cstdint>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "hemlockshelf/editing/edit_plan.hpp"
#include "hemlockshelf/editing/platform_tables.hpp"
#include "test/editing/edit_samples.hpp"

namespace hemlockshelf {

namespace {

constexpr auto lease_table = "leases";
constexpr auto lease_key = "editor";

} // namespace

lease_node::lease_node(
    table_service& shared,
    std::chrono::milliseconds round_trip,
    lease_settings settings,
    std::size_t index,
    const std::vector<lease_node*>& peers)
    : tables_(shared, round_trip), settings_(settings), index_(index),
      peers_(peers), bases_(
                         tables_,
                         []
                         {
                             return config_snapshot::empty();
                         })
{}

result<edit_outcome> lease_node::submit(const edit_request& request)
{
    auto holder = last_holder_.load();
    while (true)
    {
        if (holder != index_)
        {
            std::this_thread::sleep_for(settings_.peer_round_trip_);
        }
        auto outcome = peers_.at(holder)->order(request);
        const bool retry =
            !outcome && (outcome.error().kind_ == error_kind::stale_revision ||
                         outcome.error().kind_ == error_kind::busy);
        if (!retry)
        {
            return outcome;
        }
        holder = find_holder();
        last_holder_ = holder;
    }
}

void lease_node::pause_next_commit(std::chrono::milliseconds length)
{
    tables_.pause_next_commit(length);
}

result<edit_outcome> lease_node::order(const edit_request& request)
{
    const std::unique_lock lock(mutex_, settings_.forward_timeout_);
    if (!lock.owns_lock())
    {
        return make_error(error_kind::busy, "the lease holder did not respond");
    }
    if (!is_holder() || !renew())
    {
        return make_error(
            error_kind::stale_revision, "this node is not the lease holder");
    }
    return commit(request);
}

result<edit_outcome> lease_node::commit(const edit_request& request)
{
    auto plan = plan_edit(
        request, *base_, unlimited_settings().quotas_, time_.wall_now(),
        vm_id{fmt::format("vm-{}", index_)});
    if (!plan)
    {
        return tl::unexpected<error>(plan.error());
    }
    // The lease holder assumes that it is the only writer. With fencing, the
    // platform rejects its writes once another node has acquired the lease.
    plan->writes_.checks_.clear();
    if (settings_.fenced_)
    {
        plan->writes_.checks_.push_back(
            {lease_table, lease_key, fencing_token_});
    }
    const auto committed = tables_.commit(plan->writes_);
    if (!committed)
    {
        held_until_ = {};
        return make_error(
            error_kind::stale_revision,
            "the commit failed because of a newer lease");
    }
    const auto& record = plan->record_;
    base_ = std::make_shared<const edit_base>(
        next_base(*base_, plan->snapshot_, record));
    return edit_outcome{record.id_, record.delta_.to_};
}

std::size_t lease_node::find_holder()
{
    const std::lock_guard lock(acquire_mutex_);
    const auto row = tables_.read(lease_table, lease_key);
    const auto now = static_cast<std::int64_t>(
        time_.now().time_since_epoch() / std::chrono::milliseconds{1});
    if (row && *row && (*row)->value_.at("until_ms").get<std::int64_t>() > now)
    {
        return (*row)->value_.at("holder").get<std::size_t>();
    }
    const auto seen = *row ? (*row)->version_ : row_version{0};
    if (acquire(seen))
    {
        return index_;
    }
    const auto winner = tables_.read(lease_table, lease_key);
    return (*winner)->value_.at("holder").get<std::size_t>();
}

bool lease_node::acquire(row_version seen)
{
    const std::lock_guard lock(mutex_);
    if (!write_lease(seen))
    {
        return false;
    }
    base_ = *bases_.read(wall_time::min());
    return true;
}

bool lease_node::is_holder() const
{
    return time_.now() < held_until_;
}

bool lease_node::renew()
{
    return held_until_ - time_.now() > settings_.duration_ / 2 ||
           write_lease(fencing_token_);
}

bool lease_node::write_lease(row_version seen)
{
    const auto until = time_.now() + settings_.duration_;
    const auto until_ms = static_cast<std::int64_t>(
        until.time_since_epoch() / std::chrono::milliseconds{1});
    transaction writes;
    writes.checks_ = {{lease_table, lease_key, seen}};
    writes.writes_ = {
        {lease_table, lease_key, {{"holder", index_}, {"until_ms", until_ms}}}};
    if (!tables_.commit(writes))
    {
        held_until_ = {};
        return false;
    }
    fencing_token_ = (*tables_.read(lease_table, lease_key))->version_;
    held_until_ = until;
    return true;
}

} // namespace hemlockshelf
