#ifndef HEMLOCKSHELF_EDITING_EDITOR_HPP
#define HEMLOCKSHELF_EDITING_EDITOR_HPP

#include <functional>
#include <memory>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/core/clock.hpp"
#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/editing/change_record.hpp"
#include "hemlockshelf/editing/config_reader.hpp"
#include "hemlockshelf/editing/edit_request.hpp"
#include "hemlockshelf/editing/table_service.hpp"

namespace hemlockshelf {

/// Accepts operators' edits: checks each against the head that it commits on
/// and writes it in one transaction. Thread-safe as far as its ports are.
class editor
{
public:
    using snapshot_source =
        std::function<std::shared_ptr<const config_snapshot>()>;
    using accepted_handler = std::function<void(const change_record&)>;

    /// `held` returns the newest snapshot of this node, from which the editor
    /// catches up to the head. `on_accepted` is called for each edit that is
    /// known to have committed, before `submit` returns.
    editor(
        table_service& tables,
        const clock& time,
        vm_id vm,
        snapshot_source held,
        accepted_handler on_accepted);

    /// Commits an edit. The errors are `conflict`, `forbidden`, `invalid_row`,
    /// `platform_unavailable` and, if the answer was lost and could not be
    /// read back, `outcome_unknown` with the change id.
    result<edit_outcome> submit(const edit_request& request);

    /// Returns the revision at which a change was accepted. `not_found` if no
    /// such change is known.
    result<edit_outcome> find(const change_id& id);

private:
    struct prepared_edit
    {
        change_record record_;
        transaction writes_;
    };

    result<prepared_edit>
    prepare(const edit_request& request, const config_head& head);
    result<edit_outcome> try_commit(
        const edit_request& request, const config_head& head, bool& head_moved);
    result<edit_outcome> read_back(
        const prepared_edit& edit, const config_head& head, bool& head_moved);

    table_service& tables_;
    const clock& time_;
    vm_id vm_;
    snapshot_source held_;
    accepted_handler on_accepted_;
};

} // namespace hemlockshelf

#endif
