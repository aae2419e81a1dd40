#include "test/editing/ordering/slot_node.hpp"

#include <utility>

#include "test/editing/edit_samples.hpp"

namespace hemlockshelf {

slot_node::slot_node(
    table_service& shared, std::chrono::milliseconds round_trip, vm_id vm)
    : tables_(shared, round_trip),
      editor_(make_ports(), std::move(vm), unlimited_settings())
{}

result<edit_outcome> slot_node::submit(const edit_request& request)
{
    return editor_.submit(request);
}

void slot_node::pause_next_commit(std::chrono::milliseconds length)
{
    tables_.pause_next_commit(length);
}

editor_ports slot_node::make_ports()
{
    editor_ports ports;
    ports.tables_ = &tables_;
    ports.time_ = &time_;
    ports.current_snapshot_ = [this]
    {
        return snapshots_.current();
    };
    ports.on_accepted_ = [this](const change_record&, const auto& snapshot)
    {
        static_cast<void>(snapshots_.advance(snapshot));
    };
    return ports;
}

} // namespace hemlockshelf
