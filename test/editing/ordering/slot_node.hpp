#ifndef HEMLOCKSHELF_TEST_EDITING_ORDERING_SLOT_NODE_HPP
#define HEMLOCKSHELF_TEST_EDITING_ORDERING_SLOT_NODE_HPP

#include "hemlockshelf/config/snapshot_store.hpp"
#include "hemlockshelf/core/real_clock.hpp"
#include "hemlockshelf/editing/editor.hpp"
#include "test/editing/ordering/ordering_node.hpp"
#include "test/editing/ordering/slow_tables.hpp"

namespace hemlockshelf {

/// Node with the production editor: every node commits, and each revision is a
/// slot that one node takes by compare-and-set.
class slot_node final : public ordering_node
{
public:
    slot_node(
        table_service& shared, std::chrono::milliseconds round_trip, vm_id vm);

    result<edit_outcome> submit(const edit_request& request) override;
    void pause_next_commit(std::chrono::milliseconds length) override;

private:
    editor_ports make_ports();

    real_clock time_;
    snapshot_store snapshots_;
    slow_tables tables_;
    editor editor_;
};

} // namespace hemlockshelf

#endif
