#ifndef HEMLOCKSHELF_TEST_NODE_ONE_POOL_HPP
#define HEMLOCKSHELF_TEST_NODE_ONE_POOL_HPP

#include <cstdint>
#include <memory>

#include "hemlockshelf/config/config_snapshot.hpp"
#include "hemlockshelf/config/table_changes.hpp"

namespace hemlockshelf {

/// Returns a change to the only pool of the test configurations. Each number
/// gives other contents.
inline row_change pool_change(std::uint64_t number)
{
    return {
        table_id::pools, row_key{"regie/catalogue"},
        pool_row{
            service_name{"catalogue"},
            {},
            false,
            static_cast<std::uint32_t>(number)}};
}

/// Returns a configuration with one pool and the number as its revision.
inline std::shared_ptr<const config_snapshot> snapshot_of(std::uint64_t number)
{
    config_tables tables;
    apply_change(tables, pool_change(number));
    return *config_snapshot::build(revision{number}, tables);
}

} // namespace hemlockshelf

#endif
