#include "node/directory_agent.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "node/departure_row.hpp"

namespace hemlockshelf {

namespace {

void log_failure(const error& failure)
{
    log_event<log_event_id::directory_unavailable>(
        log_fields::error_kind(failure.kind_),
        log_fields::detail(failure.message_));
}

} // namespace

directory_agent::directory_agent(
    control_context& context,
    platform_poller& poller,
    round_trip_handler on_round_trip,
    departures_handler on_departures)
    : context_(context), poller_(poller),
      on_round_trip_(std::move(on_round_trip)),
      on_departures_(std::move(on_departures))
{}

void directory_agent::register_and_read(rows_handler found)
{
    const bool asks = !std::exchange(asks_for_departures_, true);
    read(
        [this, asks, row = own_row()](table_service& tables)
        {
            asks ? write_first_row(tables, row) : write_row(tables, row);
        },
        std::move(found));
}

void directory_agent::maintain(rows_handler found)
{
    const auto now = context_.time_.now();
    if (now < next_check_)
    {
        return;
    }
    // Jitter, so that nodes that started together do not call the platform at
    // the same time.
    const auto interval = context_.settings_.membership_.directory_interval_;
    const std::chrono::milliseconds spread =
        interval / 4 * static_cast<std::int64_t>(context_.random_() % 4);
    next_check_ = now + interval + spread;
    if (!rendezvous_rank(
            context_, context_.settings_.membership_.directory_rows_))
    {
        return;
    }
    read(
        [](table_service&) {},
        [this, found = std::move(found)](const std::vector<directory_row>& rows)
        {
            restore_own_row(rows);
            remove_stale_rows(rows);
            found(rows);
        });
}

void directory_agent::write_first_row(
    table_service& tables, const directory_row& row) const
{
    const auto written = register_without_departures(tables, row);
    context_.network_.post(
        [this, written]
        {
            on_departures_(written);
        });
    if (written)
    {
        return;
    }
    if (written.error().kind_ == error_kind::conflict)
    {
        write_row(tables, row);
        return;
    }
    log_failure(written.error());
}

void directory_agent::write_row(
    table_service& tables, const directory_row& row) const
{
    if (const auto written = write_directory_row(tables, row); !written)
    {
        log_failure(written.error());
    }
}

void directory_agent::read(
    std::function<void(table_service&)> write_first, rows_handler found)
{
    poller_.run_task(
        [this, write_first = std::move(write_first),
         found = std::move(found)](table_service& tables)
        {
            write_first(tables);
            // Measured without the write, which may open the connection.
            const auto started = context_.time_.now();
            auto rows = read_directory(tables);
            if (!rows)
            {
                log_failure(rows.error());
                return;
            }
            const auto elapsed =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    context_.time_.now() - started);
            context_.network_.post(
                [this, found, elapsed, rows = std::move(*rows)]
                {
                    on_round_trip_(elapsed);
                    found(rows);
                });
        });
}

directory_row directory_agent::own_row() const
{
    const auto& settings = context_.settings_;
    return {
        settings.failure_domain_, settings.vm_, settings.advertised_control_};
}

void directory_agent::restore_own_row(const std::vector<directory_row>& rows)
{
    const auto row = own_row();
    if (std::ranges::find(rows, row) != rows.end())
    {
        return;
    }
    poller_.run_task(
        [this, row](table_service& tables)
        {
            write_row(tables, row);
        });
}

void directory_agent::remove_stale_rows(const std::vector<directory_row>& rows)
{
    if (rendezvous_rank(context_, 1) != std::size_t{0})
    {
        stale_vms_.clear();
        return;
    }
    const auto before = std::exchange(stale_vms_, {});
    for (const auto& row : rows)
    {
        const auto member = context_.members_.find(row.vm_);
        const bool gone = !member || !may_answer(*member);
        if (row.failure_domain_ != context_.self_.failure_domain_ || !gone)
        {
            continue;
        }
        stale_vms_.insert(row.vm_);
        if (!before.contains(row.vm_))
        {
            continue;
        }
        poller_.run_task(
            [row](table_service& tables)
            {
                auto removed = remove_directory_row(tables, row);
                if (removed)
                {
                    removed = remove_departure_row(tables, row.vm_);
                }
                if (!removed)
                {
                    log_failure(removed.error());
                }
            });
    }
}

} // namespace hemlockshelf
