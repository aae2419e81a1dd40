#ifndef HEMLOCKSHELF_ADAPTERS_CLI_TEXT_TABLE_HPP
#define HEMLOCKSHELF_ADAPTERS_CLI_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace hemlockshelf {

/// Aligns columns for a terminal.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    /// Adds a row; missing cells are empty.
    void add_row(std::vector<std::string> cells);

    /// Returns one line for the header and one for each row.
    [[nodiscard]] std::string to_string() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace hemlockshelf

#endif
