#include "adapters/cli/progress_bar.hpp"
#include "adapters/cli/text_table.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against columns that do not line up and trailing blanks.
Test(text_output, columns_are_aligned)
{
    text_table table({"VM", "STATE"});
    table.add_row({"catalogue-1", "serving"});
    table.add_row({"a"});
    cr_assert(
        table.to_string() == "VM           STATE\ncatalogue-1  serving\na\n");
}

// Guards against a division by zero while no node has answered.
Test(text_output, progress_line_shows_done_and_total)
{
    cr_assert(progress_line(0, 0).ends_with("0/0 nodes"));
    cr_assert(progress_line(8, 16).starts_with("[###############-"));
}
