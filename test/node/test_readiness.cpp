#include "node/readiness.hpp"

#include <criterion/criterion.h>

using namespace hemlockshelf;

// Guards against a node that restarts after a power loss, reaches neither the
// platform nor a peer with a configuration, and answers 404 for routes that
// exist.
Test(readiness, a_node_without_a_published_configuration_takes_no_calls)
{
    cr_assert_not(has_configuration(true, revision{0}));
    cr_assert(has_configuration(true, revision{4}));
}

// Guards against a mesh with editable tables that refuses calls as not ready
// until the first edit instead of reporting an unknown account.
Test(readiness, revision_0_is_a_configuration_of_own_tables)
{
    cr_assert(has_configuration(false, revision{0}));
}
