#include "hemlockshelf/editing/snapshot_blob.hpp"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "hemlockshelf/core/manual_clock.hpp"
#include "hemlockshelf/editing/blob_writer.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/editing/editor.hpp"
#include "standins/platform/memory_tables.hpp"
#include "test/editing/edit_samples.hpp"
#include "test/editing/observed_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

/// Returns the revisions up to `last` that have a snapshot blob.
std::vector<std::uint64_t>
stored_blobs(memory_tables& platform, std::uint64_t last)
{
    std::vector<std::uint64_t> found;
    for (std::uint64_t number = 100; number <= last; number += 100)
    {
        if (*platform.get(snapshot_blob_name(revision{number})))
        {
            found.push_back(number);
        }
    }
    return found;
}

/// An object store whose removals fail until they are enabled.
class failing_removal_store final : public object_store
{
public:
    explicit failing_removal_store(object_store& objects) : objects_(objects) {}

    result<void>
    put(const std::string& name, const std::string& content) override
    {
        return objects_.put(name, content);
    }

    result<std::optional<std::string>> get(const std::string& name) override
    {
        return objects_.get(name);
    }

    result<void> remove(const std::string& name) override
    {
        return removals_enabled_
                   ? objects_.remove(name)
                   : make_error(error_kind::platform_unavailable, "down");
    }

    bool removals_enabled_ = false;

private:
    object_store& objects_;
};

/// Waits until the blob of a revision is stored. The writer skips a blob if the
/// next one is enqueued before it is written, which can happen on a busy
/// machine if edits follow each other without a pause.
void await_blob(memory_tables& platform, revision number)
{
    constexpr int max_polls = 60'000;
    const auto name = fmt::format("snapshots/{}", number.value());
    for (int poll = 0; poll < max_polls; ++poll)
    {
        const auto found = platform.get(name);
        if (found && *found)
        {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    cr_assert_fail("the blob was not written");
}

/// Commits `count` edits and stores their snapshot blobs.
std::shared_ptr<const config_snapshot>
make_revisions(memory_tables& platform, int count)
{
    const manual_clock time;
    auto current = config_snapshot::empty();
    snapshot_blob_writer blobs(platform);
    editor_ports ports;
    ports.tables_ = &platform;
    ports.time_ = &time;
    ports.current_snapshot_ = [&current]
    {
        return current;
    };
    ports.on_accepted_ = [&](const change_record&, const auto& snapshot)
    {
        current = snapshot;
        blobs.offer(snapshot);
    };
    editor under_test(ports, vm_id{"vm-1"}, unlimited_settings());
    for (int index = 0; index < count; ++index)
    {
        const auto id = fmt::format("c{}", index);
        const auto key = fmt::format("regie/p{}", index % 50);
        cr_assert(under_test.submit(make_request(id, {pool_edit(key, id)}))
                      .has_value());
        if (current->number().value() % 100 == 0)
        {
            await_blob(platform, current->number());
        }
    }
    return current;
}

} // namespace

// Guards against a starting node that replays all change rows.
Test(snapshot_blob, a_starting_node_reads_the_rows_after_the_newest_blob)
{
    memory_tables platform;
    const auto last = make_revisions(platform, 230);
    observed_tables counted(platform);
    const auto started =
        catch_up(counted, platform, config_snapshot::empty(), last->number());
    cr_assert(started.has_value());
    cr_assert((*started)->number() == revision{230});
    cr_assert((*started)->tables().hash_ == last->tables().hash_);
    cr_assert(counted.scanned_ == 30);
}

// Guards against a damaged or missing blob that prevents a node from starting.
Test(snapshot_blob, a_damaged_blob_is_passed_over)
{
    memory_tables platform;
    cr_assert(platform.put("snapshots/200", "{\"revision\":200").has_value());
    const auto last = make_revisions(platform, 210);
    observed_tables counted(platform);
    const auto started =
        catch_up(counted, platform, config_snapshot::empty(), last->number());
    cr_assert((*started)->tables().hash_ == last->tables().hash_);
    cr_assert(counted.scanned_ == 110);
    memory_tables no_blobs;
    const auto replayed =
        catch_up(platform, no_blobs, config_snapshot::empty(), last->number());
    cr_assert((*replayed)->tables().hash_ == last->tables().hash_);
}

// Guards against a blob whose rows do not match its hash.
Test(snapshot_blob, a_blob_with_other_rows_is_refused)
{
    memory_tables platform;
    auto json =
        nlohmann::json::parse(snapshot_to_blob(*make_revisions(platform, 3)));
    cr_assert(snapshot_from_blob(json.dump()).has_value());
    json["delta"]["upserts"].erase(0);
    cr_assert(
        snapshot_from_blob(json.dump()).error().kind_ ==
        error_kind::hash_mismatch);
}

// Guards against unbounded growth of the object store, which receives a full
// configuration for every hundred edits, and against the removal of a blob that
// a reader needs.
Test(snapshot_blob, only_the_newest_blobs_are_kept)
{
    memory_tables platform;
    make_revisions(platform, 1300);
    const std::vector<std::uint64_t> kept{400, 500,  600,  700,  800,
                                          900, 1000, 1100, 1200, 1300};
    cr_assert(stored_blobs(platform, 1300) == kept);
}

// Guards against blobs that are never removed because one removal failed.
Test(snapshot_blob, a_failed_removal_is_made_up_for)
{
    memory_tables platform;
    for (std::uint64_t number = 100; number <= 1500; number += 100)
    {
        cr_assert(platform.put(snapshot_blob_name(revision{number}), "text"));
    }
    failing_removal_store objects(platform);
    cr_assert(!remove_old_blobs(objects, revision{1400}).has_value());
    cr_assert(stored_blobs(platform, 1500).size() == 15);
    objects.removals_enabled_ = true;
    cr_assert(remove_old_blobs(objects, revision{1500}).has_value());
    cr_assert(stored_blobs(platform, 1500).front() == 600);
    cr_assert(stored_blobs(platform, 1500).size() == retained_blob_count);
}

// Guards against an underflow of the revision number at the first blobs of a
// platform.
Test(snapshot_blob, the_first_blobs_have_nothing_to_remove)
{
    memory_tables platform;
    cr_assert(platform.put(snapshot_blob_name(revision{100}), "text"));
    cr_assert(remove_old_blobs(platform, revision{100}).has_value());
    cr_assert(remove_old_blobs(platform, revision{0}).has_value());
    cr_assert(stored_blobs(platform, 100).size() == 1);
}
