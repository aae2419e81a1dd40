#include "hemlockshelf/editing/blob_writer.hpp"

#include <utility>

#include "hemlockshelf/editing/snapshot_blob.hpp"

namespace hemlockshelf {

namespace {

constexpr int max_attempts = 5;

} // namespace

snapshot_blob_writer::snapshot_blob_writer(
    object_store& objects,
    std::function<void(revision)> on_written,
    std::chrono::milliseconds retry_interval)
    : objects_(objects), on_written_(std::move(on_written)),
      retry_interval_(retry_interval), thread_(
                                           [this]
                                           {
                                               run();
                                           })
{}

snapshot_blob_writer::~snapshot_blob_writer()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void snapshot_blob_writer::offer(
    const std::shared_ptr<const config_snapshot>& snapshot)
{
    if (snapshot->number().value() % snapshot_blob_interval != 0)
    {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (!pending_ || pending_->number() < snapshot->number())
        {
            pending_ = snapshot;
        }
    }
    changed_.notify_all();
}

void snapshot_blob_writer::run()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        changed_.wait(
            lock,
            [this]
            {
                return stopping_ || pending_;
            });
        // A pending blob is still written during shutdown.
        if (!pending_)
        {
            return;
        }
        const auto snapshot = std::exchange(pending_, nullptr);
        lock.unlock();
        write(snapshot);
        lock.lock();
    }
}

void snapshot_blob_writer::write(const snapshot_pointer& snapshot)
{
    const auto text = snapshot_to_blob(*snapshot);
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        if (objects_.put(snapshot_blob_name(snapshot->number()), text))
        {
            // A failed removal is retried after the next blob.
            static_cast<void>(remove_old_blobs(objects_, snapshot->number()));
            if (on_written_)
            {
                on_written_(snapshot->number());
            }
            return;
        }
        if (!wait_for_retry())
        {
            return;
        }
    }
}

bool snapshot_blob_writer::wait_for_retry()
{
    std::unique_lock lock(mutex_);
    return !changed_.wait_for(
        lock, retry_interval_,
        [this]
        {
            return stopping_;
        });
}

} // namespace hemlockshelf
