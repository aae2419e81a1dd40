#ifndef HEMLOCKSHELF_TEST_EDITING_ORDERING_ORDERING_NODE_HPP
#define HEMLOCKSHELF_TEST_EDITING_ORDERING_ORDERING_NODE_HPP

#include <chrono>

#include "hemlockshelf/editing/edit_request.hpp"

namespace hemlockshelf {

/// A node that processes edits with one of the compared ordering schemes.
class ordering_node
{
public:
    virtual ~ordering_node() = default;

    virtual result<edit_outcome> submit(const edit_request& request) = 0;

    /// Pauses the node at its next commit.
    virtual void pause_next_commit(std::chrono::milliseconds length) = 0;

protected:
    ordering_node() = default;
    ordering_node(const ordering_node&) = default;
    ordering_node& operator=(const ordering_node&) = default;
};

} // namespace hemlockshelf

#endif
