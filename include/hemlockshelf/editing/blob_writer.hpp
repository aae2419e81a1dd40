#ifndef HEMLOCKSHELF_EDITING_BLOB_WRITER_HPP
#define HEMLOCKSHELF_EDITING_BLOB_WRITER_HPP

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/editing/object_store.hpp"

namespace hemlockshelf {

/// Stores the snapshots of every hundredth revision that this node accepted.
/// Writes on a thread of its own, so that an operator's answer does not wait
/// for the object store. A blob that cannot be stored is left out: readers use
/// an older one. Removes old blobs after each one that is stored. Thread-safe.
class snapshot_blob_writer
{
public:
    /// `on_written` is called on the writer's thread for each blob that is
    /// stored; it may be empty.
    explicit snapshot_blob_writer(
        object_store& objects,
        std::function<void(revision)> on_written = {},
        std::chrono::milliseconds retry_interval = std::chrono::seconds{1});
    ~snapshot_blob_writer();

    snapshot_blob_writer(const snapshot_blob_writer&) = delete;
    snapshot_blob_writer& operator=(const snapshot_blob_writer&) = delete;

    /// Takes a snapshot that has just been accepted; others than every
    /// hundredth are skipped. Does not block.
    void offer(const std::shared_ptr<const config_snapshot>& snapshot);

private:
    using snapshot_pointer = std::shared_ptr<const config_snapshot>;

    void run();
    void write(const snapshot_pointer& snapshot);
    bool wait_for_retry();

    object_store& objects_;
    std::function<void(revision)> on_written_;
    std::chrono::milliseconds retry_interval_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    /// The newest snapshot to write; an older one is not worth the write.
    snapshot_pointer pending_;
    std::thread thread_;
};

} // namespace hemlockshelf

#endif
