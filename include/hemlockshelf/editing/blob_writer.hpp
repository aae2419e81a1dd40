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

/// Stores the snapshot of every hundredth revision that this node accepted.
/// Writes on a separate thread, so that the response to an operator does not
/// wait for the object store. A blob that cannot be stored is skipped; readers
/// use an older one. Removes old blobs after each stored one. Thread-safe.
class snapshot_blob_writer
{
public:
    /// `on_written` is called on the writer thread after each stored blob; it
    /// may be empty.
    explicit snapshot_blob_writer(
        object_store& objects,
        std::function<void(revision)> on_written = {},
        std::chrono::milliseconds retry_interval = std::chrono::seconds{1});
    ~snapshot_blob_writer();

    snapshot_blob_writer(const snapshot_blob_writer&) = delete;
    snapshot_blob_writer& operator=(const snapshot_blob_writer&) = delete;

    /// Enqueues the snapshot of an accepted revision. Only every hundredth
    /// revision is stored; the others are ignored. Does not block.
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
    /// The newest snapshot to write; it replaces an older one that is still
    /// waiting.
    snapshot_pointer pending_;
    std::thread thread_;
};

} // namespace hemlockshelf

#endif
