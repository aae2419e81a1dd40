#include "node/departure_row.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "hemlockshelf/core/manual_clock.hpp"
#include "hemlockshelf/editing/platform_tables.hpp"
#include "standins/platform/memory_tables.hpp"
#include "test/editing/faulty_tables.hpp"
#include "test/node/restored_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;
using namespace std::chrono_literals;

namespace {

const vm_id own_vm{"vm-1"};

upstream_announcement announce(
    const std::string& instance,
    std::uint64_t started,
    std::uint64_t sequence,
    bool draining = false)
{
    upstream_announcement announcement;
    announcement.order_ = {instance, started, sequence};
    announcement.draining_ = draining;
    return announcement;
}

std::uint64_t wall_milliseconds(const manual_clock& time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            time.wall_now().time_since_epoch())
            .count());
}

bool gets_work(const local_upstream& upstream)
{
    const auto current = upstream.current();
    return current && !current->draining_;
}

/// What one process of a node knows.
struct process
{
    process(const manual_clock& time, table_service& tables)
        : upstream_(time, 6s), row_(tables, own_vm, upstream_)
    {
        upstream_.wait_for_earlier_state();
    }

    /// Does what a process does at its start. Returns whether the platform has
    /// answered.
    bool join(const std::optional<acknowledged_upstream>& held_by_peers)
    {
        if (held_by_peers)
        {
            upstream_.restore(*held_by_peers);
        }
        return load();
    }

    bool load()
    {
        const bool loaded = row_.load().has_value();
        if (loaded)
        {
            upstream_.end_wait_for_earlier_state();
        }
        return loaded;
    }

    local_upstream upstream_;
    departure_row row_;
};

} // namespace

// Guards against an instance that is used again after its departure was
// acknowledged: all nodes were killed, and an announcement that was sent before
// arrived late.
Test(departure_row, departures_outlast_all_nodes)
{
    const manual_clock time;
    memory_tables tables;
    {
        process before(time, tables);
        before.join({});
        before.upstream_.announce(announce("i-1", 1000, 4));
        before.upstream_.withdraw("i-1");
        cr_assert(before.row_.save());
        before.upstream_.announce(announce("i-2", 2000, 1));
        before.upstream_.announce(announce("i-2", 2000, 2, true));
        cr_assert(before.row_.save());
    }
    process after(time, tables);
    after.join({});
    for (const auto& late :
         {announce("i-1", 1000, 5), announce("i-2", 2000, 3),
          announce("i-2", 1500, 9)})
    {
        after.upstream_.announce(late);
        cr_assert(!gets_work(after.upstream_));
    }
    after.upstream_.announce(announce("i-2", 3000, 1));
    cr_assert(gets_work(after.upstream_));
}

// Guards against a late announcement that is used before the process knows what
// an earlier one has acknowledged.
Test(departure_row, nothing_is_used_before_the_row_is_read)
{
    const manual_clock time;
    memory_tables tables;
    process node(time, tables);
    node.upstream_.announce(announce("i-1", 1000, 4));
    cr_assert(!node.upstream_.current());
    node.join({});
    cr_assert(gets_work(node.upstream_));
}

// Guards against a write of an earlier process that the platform performs late
// and that undoes a later departure.
Test(departure_row, a_late_write_undoes_nothing)
{
    const manual_clock time;
    memory_tables tables;
    faulty_tables delaying(tables, {0, 0, 0, 1.0}, 1);
    process first(time, delaying);
    first.join({});
    first.upstream_.announce(announce("i-1", 1000, 4, true));
    cr_assert(!first.row_.save());
    process second(time, tables);
    second.join({});
    second.upstream_.announce(announce("i-2", 2000, 4, true));
    cr_assert(second.row_.save());
    delaying.deliver_delayed();
    process third(time, tables);
    third.join({});
    third.upstream_.announce(announce("i-2", 2000, 3));
    cr_assert(!gets_work(third.upstream_));
}

// Guards against a row of another writer that keeps departures from being
// stored, or that takes the upstream out of use.
Test(departure_row, a_row_of_another_writer_is_replaced)
{
    for (const auto& value :
         {nlohmann::json("text"), nlohmann::json(3),
          nlohmann::json{{"departures", 3}},
          nlohmann::json{{"departures", {{{"instance", 7}}, "text"}}},
          nlohmann::json{
              {"departures",
               {{{"instance", "i-1"},
                 {"started_ms", 1ULL << 62U},
                 {"withdrawn_until_ms", 1ULL << 62U},
                 {"drained", false}}}}}})
    {
        const manual_clock time;
        memory_tables tables;
        tables.commit(
            {{}, {{platform_tables::departures, own_vm.value(), value}}});
        process node(time, tables);
        node.join({});
        node.upstream_.announce(announce("i-1", 1000, 4));
        cr_assert(gets_work(node.upstream_));
        node.upstream_.withdraw("i-1");
        cr_assert(node.row_.save());
        process next(time, tables);
        next.join({});
        next.upstream_.announce(announce("i-1", 1000, 5));
        cr_assert(!gets_work(next.upstream_));
    }
}

// Guards against a write for each message of an instance that leaves.
Test(departure_row, a_departure_is_written_once)
{
    const manual_clock time;
    memory_tables tables;
    faulty_tables counting(tables, {}, 1);
    process node(time, counting);
    node.join({});
    node.upstream_.announce(announce("i-1", 1000, 4));
    cr_assert(node.row_.save());
    cr_assert(counting.commits() == 0);
    for (std::uint64_t sequence = 5; sequence < 8; ++sequence)
    {
        node.upstream_.announce(announce("i-1", 1000, sequence, true));
        cr_assert(node.row_.save());
    }
    node.upstream_.withdraw("i-1");
    cr_assert(node.row_.save());
    node.upstream_.announce(announce("i-1", 2000, 1));
    cr_assert(node.row_.save());
    cr_assert(counting.commits() == 1);
}

// Guards against a row that other nodes have removed and that counts as
// written.
Test(departure_row, a_row_that_was_removed_is_written_again)
{
    const manual_clock time;
    memory_tables tables;
    process node(time, tables);
    node.join({});
    node.upstream_.announce(announce("i-1", 1000, 5, true));
    cr_assert(node.row_.save());
    cr_assert(remove_departure_row(tables, own_vm));
    node.row_.forget();
    cr_assert(node.row_.save());
    cr_assert(
        tables.read(platform_tables::departures, own_vm.value())->has_value());
}

// Guards against an instance that is used again after its departure was
// acknowledged: the platform came back from a copy without the row, and then
// all nodes were killed.
Test(departure_row, departures_outlast_a_platform_that_lost_them)
{
    for (const bool row_client_knows_era : {false, true})
    {
        const manual_clock time;
        restored_tables tables;
        process before(time, tables);
        before.join({});
        before.upstream_.announce(announce("i-1", 1000, 5, true));
        cr_assert(before.row_.save());
        tables.lose_all_rows(row_client_knows_era);
        before.row_.require(platform_era{2});
        cr_assert(before.row_.save());
        process after(time, tables);
        after.join({});
        after.upstream_.announce(announce("i-1", 1000, 6));
        cr_expect(!gets_work(after.upstream_));
    }
}

// Guards against a departure that is acknowledged because the platform held it
// before it came back from an older copy.
Test(departure_row, a_row_of_an_earlier_era_acknowledges_nothing)
{
    const manual_clock time;
    restored_tables tables;
    process node(time, tables);
    node.join({});
    node.upstream_.announce(announce("i-1", 1000, 5, true));
    cr_assert(node.row_.save());
    tables.lose_all_rows(true);
    node.upstream_.announce(announce("i-1", 1000, 6, true));
    cr_assert(node.row_.save());
    cr_assert(
        tables.read(platform_tables::departures, own_vm.value())->has_value());
}

namespace {

/// A node on a VM, its upstreams and the platform, driven by random steps.
class world
{
public:
    void run(int steps)
    {
        time_.advance(100s);
        restart_all();
        begin_start();
        for (int step = 0; step < steps; ++step)
        {
            time_.advance(
                std::chrono::milliseconds{*rc::gen::inRange(1, 3000)});
            is_known_ = is_known_ || node_->load();
            take_step();
            check();
        }
        check_next_start();
    }

private:
    void take_step()
    {
        switch (*rc::gen::inRange(0, 10))
        {
        case 0:
            begin_start();
            break;
        case 1:
            deregister();
            break;
        case 2:
            restart_one();
            break;
        case 3:
            restart_all();
            break;
        case 4:
            platform_.deliver_delayed();
            break;
        case 5:
            peers_ = node_->upstream_.acknowledged();
            break;
        case 6:
            deliver(*rc::gen::elementOf(sent_));
            break;
        default:
            announce_newest();
            break;
        }
    }

    void begin_start()
    {
        name_ = *rc::gen::element(std::string("i-1"), std::string("i-2"));
        started_ = wall_milliseconds(time_);
        sequence_ = 0;
        sent_.push_back(announce(name_, started_, ++sequence_));
    }

    void announce_newest()
    {
        const bool drains = *rc::gen::inRange(0, 4) == 0;
        sent_.push_back(announce(name_, started_, ++sequence_, drains));
        const bool is_known = is_known_;
        deliver(sent_.back());
        // A late message of an earlier start must not take the newest one out
        // of use.
        if (!drains && is_known && !left_.contains({name_, started_}))
        {
            RC_ASSERT(gets_work(node_->upstream_));
        }
    }

    void deliver(const upstream_announcement& message)
    {
        node_->upstream_.announce(message);
        if (message.draining_)
        {
            const auto& order = message.order_;
            mark_left(order.instance_, *order.started_ms_);
            acknowledge(order.instance_, *order.started_ms_);
        }
    }

    void deregister()
    {
        mark_left(name_, started_);
        node_->upstream_.withdraw(name_);
        const auto known = node_->upstream_.acknowledged();
        const bool is_current = known->order_.instance_ == name_;
        acknowledge(
            name_, is_current ? known->order_.started_ms_.value_or(started_)
                              : started_);
    }

    void mark_left(const std::string& name, std::uint64_t until)
    {
        for (const auto& message : sent_)
        {
            const auto& order = message.order_;
            if (order.instance_ == name && order.started_ms_ <= until)
            {
                left_.insert({name, *order.started_ms_});
            }
        }
    }

    /// Acknowledges a departure as the node does: once it is stored. The
    /// process may end before that.
    void acknowledge(const std::string& name, std::uint64_t until)
    {
        const bool stored = node_->row_.save().has_value();
        const bool is_killed = *rc::gen::inRange(0, 5) == 0;
        if (stored && !is_killed)
        {
            acknowledged_[name] = std::max(acknowledged_[name], until);
        }
        if (is_killed)
        {
            restart_all();
        }
    }

    void restart_one()
    {
        node_ = std::make_unique<process>(time_, platform_);
        is_known_ = node_->join(peers_);
    }

    void restart_all()
    {
        peers_.reset();
        restart_one();
    }

    /// Checks that no start gets work whose departure was acknowledged.
    void check()
    {
        const auto current = node_->upstream_.current();
        if (current && !current->draining_)
        {
            const auto& order = current->order_;
            RC_ASSERT(order.started_ms_ > acknowledged_[order.instance_]);
        }
    }

    /// Checks that nothing keeps the next start out of use.
    void check_next_start()
    {
        process next(time_, tables_);
        next.join({});
        time_.advance(1ms);
        next.upstream_.announce(announce("i-1", wall_milliseconds(time_), 1));
        RC_ASSERT(gets_work(next.upstream_));
    }

    manual_clock time_;
    memory_tables tables_;
    faulty_tables platform_{
        tables_, {0.1, 0.1, 0.1, 0.1, 0.05}, *rc::gen::arbitrary<unsigned>()};
    std::unique_ptr<process> node_;
    bool is_known_ = false;
    /// What the other nodes hold.
    std::optional<acknowledged_upstream> peers_;
    std::string name_;
    std::uint64_t started_ = 0;
    std::uint64_t sequence_ = 0;
    std::vector<upstream_announcement> sent_;
    /// Starts that have drained or deregistered.
    std::set<std::pair<std::string, std::uint64_t>> left_;
    /// Latest start of each name whose departure was acknowledged.
    std::map<std::string, std::uint64_t> acknowledged_;
};

} // namespace

// Guards against any order of late and repeated messages, restarts of one or
// all nodes and lost, late or refused calls of the platform that brings back
// what an acknowledged departure has ended, or that ends what has not left.
Test(departure_row, no_order_of_events_brings_back_what_left)
{
    cr_assert(rc::check(
        []
        {
            world().run(*rc::gen::inRange(1, 60));
        }));
}
