#include "hemlockshelf/config/revision_applier.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct submitted
{};
struct built
{};
struct activated
{};
struct apply_failed
{};

struct idle : msm::front::state<>
{};
struct building : msm::front::state<>
{};
struct checking : msm::front::state<>
{};
struct live : msm::front::state<>
{};
struct rejected : msm::front::state<>
{};

struct applier_definition : msm::front::state_machine_def<applier_definition>
{
    using initial_state = idle;

    // Boost.MSM numbers the states in the order of their first occurrence
    // here, which has to match the order of `applier_state`.
    struct transition_table
        : boost::mpl::vector<
              Row<idle, submitted, building, none, none>,
              Row<building, built, checking, none, none>,
              Row<checking, activated, live, none, none>,
              Row<live, submitted, building, none, none>,
              Row<rejected, submitted, building, none, none>,
              Row<building, apply_failed, rejected, none, none>,
              Row<checking, apply_failed, rejected, none, none>>
    {};
};

using applier_machine = msm::back::state_machine<applier_definition>;

template <class State>
constexpr int state_id =
    msm::back::get_state_id<applier_machine::stt, State>::value;

static_assert(
    state_id<idle> == static_cast<int>(applier_state::idle) &&
    state_id<building> == static_cast<int>(applier_state::building) &&
    state_id<checking> == static_cast<int>(applier_state::checking) &&
    state_id<live> == static_cast<int>(applier_state::live) &&
    state_id<rejected> == static_cast<int>(applier_state::rejected));

config_tables
with_changes(config_tables tables, const std::vector<row_change>& changes)
{
    for (const auto& change : changes)
    {
        apply_change(tables, change);
    }
    return tables;
}

} // namespace

std::string_view to_string(applier_state state)
{
    constexpr std::array<std::string_view, 5> names{
        "idle", "building", "checking", "live", "rejected"};
    return names.at(static_cast<std::size_t>(state));
}

class revision_applier::machine
{
public:
    machine(snapshot_store& store, const clock& time, metric_sink* metrics)
        : store_(store), time_(time), metrics_(metrics)
    {
        states_.start();
    }

    result<void> apply(const config_delta& delta)
    {
        const std::lock_guard lock(mutex_);
        const auto base = store_.current();
        auto follows = check_revision_order(base->number(), delta);
        if (!follows)
        {
            return follows;
        }
        return build(*base, delta.to_, delta.changes_, delta.result_hash_);
    }

    result<void> apply(const whole_revision& whole)
    {
        const std::lock_guard lock(mutex_);
        auto newer = check_newer(whole.number_);
        if (!newer)
        {
            return newer;
        }
        return build(
            *config_snapshot::empty(), whole.number_, whole.rows_, whole.hash_);
    }

    result<void> apply(std::shared_ptr<const config_snapshot> snapshot)
    {
        const std::lock_guard lock(mutex_);
        auto newer = check_newer(snapshot->number());
        if (!newer)
        {
            return newer;
        }
        states_.process_event(submitted{});
        states_.process_event(built{});
        return activate(std::move(snapshot));
    }

    [[nodiscard]] applier_state state() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<applier_state>(states_.current_state()[0]);
    }

private:
    [[nodiscard]] result<void> check_newer(revision number) const
    {
        const auto follows =
            check_revision_order(store_.current()->number(), number);
        const bool stale =
            !follows && follows.error().kind_ == error_kind::stale_revision;
        return stale ? follows : result<void>{};
    }

    result<void> build(
        const config_snapshot& base,
        revision number,
        const std::vector<row_change>& changes,
        const content_hash& expected)
    {
        const auto started = time_.now();
        states_.process_event(submitted{});
        auto tables = with_changes(base.tables(), changes);
        states_.process_event(built{});
        const auto checked = check_hash(tables, expected);
        if (!checked)
        {
            return reject(checked.error());
        }
        auto snapshot = config_snapshot::build_next(
            base, number, std::move(tables), changes);
        if (!snapshot)
        {
            return reject(snapshot.error());
        }
        if (metrics_ != nullptr)
        {
            const std::chrono::duration<double> taken = time_.now() - started;
            metrics_->observe(
                metric_id::config_apply_duration, {}, taken.count());
        }
        return activate(std::move(*snapshot));
    }

    result<void> activate(std::shared_ptr<const config_snapshot> snapshot)
    {
        const auto number = snapshot->number();
        // Another user of the store may have advanced it in the meantime.
        const auto advanced = store_.advance(std::move(snapshot));
        if (!advanced)
        {
            return reject(advanced.error());
        }
        states_.process_event(activated{});
        if (metrics_ != nullptr)
        {
            metrics_->set(
                metric_id::config_revision, {},
                static_cast<double>(number.value()));
        }
        return {};
    }

    result<void> reject(const error& failure)
    {
        states_.process_event(apply_failed{});
        if (metrics_ != nullptr)
        {
            metrics_->add(
                metric_id::config_rejections,
                error_properties_of(failure.kind_).name_);
        }
        return tl::unexpected<error>(failure);
    }

    snapshot_store& store_;
    const clock& time_;
    metric_sink* metrics_;
    mutable std::mutex mutex_;
    applier_machine states_;
};

revision_applier::revision_applier(
    snapshot_store& store, const clock& time, metric_sink* metrics)
    : machine_(std::make_unique<machine>(store, time, metrics))
{}

revision_applier::~revision_applier() = default;

result<void> revision_applier::apply(const config_delta& delta)
{
    return machine_->apply(delta);
}

result<void> revision_applier::apply(const whole_revision& whole)
{
    return machine_->apply(whole);
}

result<void>
revision_applier::apply(std::shared_ptr<const config_snapshot> snapshot)
{
    return machine_->apply(std::move(snapshot));
}

applier_state revision_applier::state() const
{
    return machine_->state();
}

} // namespace hemlockshelf
