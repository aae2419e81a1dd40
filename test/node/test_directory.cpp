#include "node/directory.hpp"

#include "hemlockshelf/editing/platform_tables.hpp"
#include "standins/platform/memory_tables.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

directory_row row_of(const char* vm, std::uint16_t port)
{
    return {failure_domain_id{"salle-belair"}, vm_id{vm}, {"10.1.0.8", port}};
}

} // namespace

// Guards against nodes that overwrite each other's rows when they start
// together. Each node must find all rows written before its own.
Test(directory, each_node_has_a_row_of_its_own)
{
    memory_tables tables;
    cr_assert(write_directory_row(tables, row_of("vm-1", 1)));
    cr_assert(write_directory_row(tables, row_of("vm-2", 2)));
    cr_assert(write_directory_row(tables, row_of("vm-1", 3)));
    const auto rows = read_directory(tables);
    cr_assert(rows && rows->size() == 2);
    cr_assert(rows->front() == row_of("vm-1", 3));
    cr_assert(remove_directory_row(tables, row_of("vm-1", 3)));
    cr_assert(read_directory(tables)->size() == 1);
}

// Guards against a call of its own, at each start, for departures that most VMs
// do not have.
Test(directory, registering_tells_whether_an_upstream_has_left)
{
    memory_tables tables;
    cr_assert(register_without_departures(tables, row_of("vm-1", 1)));
    cr_assert(read_directory(tables)->size() == 1);
    tables.commit({{}, {{platform_tables::departures, "vm-2", {1}}}});
    const auto written = register_without_departures(tables, row_of("vm-2", 1));
    cr_assert(!written && written.error().kind_ == error_kind::conflict);
    cr_assert(read_directory(tables)->size() == 1);
}

Test(directory, rows_of_other_writers_are_passed_over)
{
    memory_tables tables;
    write_directory_row(tables, row_of("vm-1", 1));
    tables.commit(
        {{}, {{platform_tables::directory, "salle-bourg/vm-9", "text"}}});
    tables.commit(
        {{},
         {{platform_tables::directory,
           "no-slash",
           {{"vm", "x"}, {"control", "10.1.0.8:1"}}}}});
    cr_assert(read_directory(tables)->size() == 1);
}
