#include "adapters/cli/rows_file.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against numbers and flags that reach the node as text.
Test(rows_file, scalars_keep_their_type)
{
    const auto edits = parse_rows(
        "pools:\n  regie/a: {service: catalogue, shed_is_not_run: true, "
        "max_concurrent_calls: 20, shared_with: [guild]}\n",
        "rows.yaml");
    cr_assert(edits.has_value());
    const auto& row = edits->at(0).at("row");
    cr_assert(row.at("shed_is_not_run") == true);
    cr_assert(row.at("max_concurrent_calls") == 20);
    cr_assert(row.at("shared_with").at(0) == "guild");
}

// Guards against a service called "20" that becomes a number.
Test(rows_file, quoted_text_stays_text)
{
    const auto edits =
        parse_rows("pools:\n  regie/a: {service: \"20\"}\n", "rows.yaml");
    cr_assert(edits->at(0).at("row").at("service") == "20");
}

// Guards against an expected version that is taken for a field of the row.
Test(rows_file, the_expected_version_stands_beside_the_row)
{
    const auto edits = parse_rows(
        "pools:\n  regie/a: {service: s, expected_version: 7}\n", "rows.yaml");
    cr_assert(edits->at(0).at("expected_version") == 7);
    cr_assert_not(edits->at(0).at("row").contains("expected_version"));
}

// Guards against a deletion that is sent as an empty row.
Test(rows_file, a_null_row_is_a_deletion)
{
    const auto edits = parse_rows("routes:\n  regie/a: null\n", "rows.yaml");
    cr_assert(edits->at(0).at("row").is_null());
}

// Guards against a misspelt table that is ignored.
Test(rows_file, an_unknown_table_is_refused_with_its_line)
{
    const auto edits =
        parse_rows("pools: {}\nroute:\n  regie/a: {}\n", "rows.yaml");
    cr_assert(edits.error().kind_ == error_kind::usage);
    cr_assert(edits.error().message_.starts_with("rows.yaml:2: "));
}

// Guards against broken text that ends the process.
Test(rows_file, broken_text_is_refused)
{
    cr_assert_not(parse_rows("pools: [", "rows.yaml").has_value());
    cr_assert_not(parse_rows("", "rows.yaml").has_value());
    cr_assert_not(load_rows_file("/nonexistent/rows.yaml").has_value());
}
