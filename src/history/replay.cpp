#include "hemlockshelf/history/replay.hpp"

namespace hemlockshelf {

namespace {

void apply(row_state& state, const std::vector<row_value>& rows)
{
    for (const auto& row : rows)
    {
        const std::pair key(row.table_, row.key_);
        if (row.row_.is_null())
        {
            state.erase(key);
            continue;
        }
        state[key] = row.row_;
    }
}

} // namespace

std::map<revision, row_state>
replay(const std::vector<committed_change>& changes)
{
    std::map<revision, const committed_change*> in_order;
    for (const auto& change : changes)
    {
        in_order.emplace(change.revision_, &change);
    }
    std::map<revision, row_state> states;
    row_state state;
    states[revision{0}] = state;
    for (const auto& [number, change] : in_order)
    {
        apply(state, change->rows_);
        states[number] = state;
    }
    return states;
}

} // namespace hemlockshelf
