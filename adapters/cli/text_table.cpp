#include "adapters/cli/text_table.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace hemlockshelf {

namespace {

constexpr std::size_t column_gap = 2;

} // namespace

text_table::text_table(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void text_table::add_row(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    rows_.push_back(std::move(cells));
}

std::string text_table::to_string() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto& row : rows_)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            line += row[column];
            line.append(widths[column] - row[column].size() + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace hemlockshelf
