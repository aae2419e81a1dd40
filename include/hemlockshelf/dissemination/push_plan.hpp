#ifndef HEMLOCKSHELF_DISSEMINATION_PUSH_PLAN_HPP
#define HEMLOCKSHELF_DISSEMINATION_PUSH_PLAN_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// How far the receiver of a push passes it on.
enum class push_scope
{
    /// To every region.
    global,
    /// To all failure domains of the receiver's region.
    region,
    /// To the tree below the receiver.
    domain,
};

/// Range of positions on a ring of 2^64; it may wrap around.
struct position_range
{
    std::uint64_t first_ = 0;
    std::uint64_t size_ = 0;

    [[nodiscard]] bool contains(std::uint64_t position) const noexcept
    {
        return position - first_ < size_;
    }

    friend bool
    operator==(const position_range&, const position_range&) = default;
};

/// What a node that holds a push has to pass on. A subtree is a range of
/// positions and not a list, so that members which only the child knows are
/// reached as well.
struct push_assignment
{
    push_scope scope_ = push_scope::global;
    /// Made by `make_push_seed`: identifies the push and orders the members.
    std::uint64_t seed_ = 0;
    /// Part of the own failure domain to serve. Of no meaning in the other
    /// scopes, where it is everything but the own position.
    position_range range_;
};

/// Tells whether passing on `held` includes all of `asked`.
bool covers(const push_assignment& held, const push_assignment& asked);

/// A member as the plan sees it.
struct tree_member
{
    vm_id vm_;
    failure_domain_id failure_domain_;
    region_id region_;
};

/// One receiver to find and what it has to pass on.
struct push_target
{
    push_scope scope_ = push_scope::domain;
    /// Positions to serve; within another failure domain, all of them.
    position_range range_;
    failure_domain_id failure_domain_;
    region_id region_;
    /// Members to try in turn until one answers.
    std::vector<vm_id> candidates_;
};

/// Orders of the members that a push can follow.
inline constexpr std::uint64_t all_push_orders = 1ULL << 16;

/// Orders that pushes of deltas follow. In few orders a node gets each delta
/// from the same few peers, over connections that are open and whose
/// compression knows the messages before. An order for each push makes nearly
/// every delta to a node of a large failure domain cost a new connection. The
/// second order carries every other push past a node that takes deltas without
/// passing them on.
inline constexpr std::uint64_t delta_push_orders = 2;

/// Orders that pushes of member records follow. When many members change at
/// once, an order for each push costs a new connection for nearly every
/// delivery, which delays deltas and heartbeats by seconds. More than for
/// deltas, since the records of a failure domain that returns meet at as many
/// bridges as there are orders.
inline constexpr std::uint64_t record_push_orders = 4;

/// Returns a seed for a new push that follows one of the first `orders` orders
/// (1 to `all_push_orders`), from a random number.
std::uint64_t make_push_seed(std::uint64_t random, std::uint64_t orders);

/// Returns the position of a member in the order of a push.
std::uint64_t position_of(const vm_id& vm, std::uint64_t seed);

/// Returns what the candidate has to pass on: the positions after its own.
/// Within a subtree these exclude the candidates before it, which did not
/// answer, so that it takes over their children.
push_assignment assignment_for(
    const push_target& leg, std::size_t candidate, std::uint64_t seed);

/// Plans how `self` passes a push on. `view` holds the members that are
/// thought to be reachable; `self` may be among them.
std::vector<push_target> plan_push(
    const push_assignment& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::size_t fanout);

} // namespace hemlockshelf

#endif
