#ifndef HEMLOCKSHELF_DISSEMINATION_PUSH_PLAN_HPP
#define HEMLOCKSHELF_DISSEMINATION_PUSH_PLAN_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// How far the receiver of a push forwards it.
enum class push_scope
{
    /// To all regions.
    global,
    /// To all failure domains of the receiver's region.
    region,
    /// To the receiver's subtree in its failure domain.
    domain,
};

/// Range of positions on a ring of 2^64. May wrap around.
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

/// The part of a push that its receiver has to forward. A subtree is a range of
/// positions rather than a list of members, so that members known only to the
/// child are reached too.
struct push_assignment
{
    push_scope scope_ = push_scope::global;
    /// Made by `make_push_seed`: identifies the push and orders the members.
    std::uint64_t seed_ = 0;
    /// Part of the local failure domain to forward to. Ignored in the other
    /// scopes, where it is every position except the receiver's own.
    position_range range_;
};

/// Returns whether forwarding `outer` includes everything in `inner`.
bool covers(const push_assignment& outer, const push_assignment& inner);

/// The properties of a member that determine its place in the tree.
struct tree_member
{
    vm_id vm_;
    failure_domain_id failure_domain_;
    region_id region_;
};

/// One receiver of a push, selected from the candidates, and the part of the
/// push that it has to forward.
struct push_target
{
    push_scope scope_ = push_scope::domain;
    /// Positions to forward to; all of them within another failure domain.
    position_range range_;
    failure_domain_id failure_domain_;
    region_id region_;
    /// Members to try in order until one answers.
    std::vector<vm_id> candidates_;
};

/// Number of different member orders that a push can use.
inline constexpr std::uint64_t push_order_count = 1ULL << 16;

/// Number of member orders used by pushes of deltas. With few orders, a node
/// receives deltas from the same few peers, over open connections whose
/// compression state already contains earlier messages. With a separate order
/// for each push, nearly every delta to a node of a large failure domain needs
/// a new connection. The second order routes every other push around a node
/// that accepts deltas without forwarding them.
inline constexpr std::uint64_t delta_push_orders = 2;

/// Number of member orders used by pushes of member records. When many members
/// change at once, a separate order for each push needs a new connection for
/// nearly every delivery, which delays deltas and heartbeats by seconds. Larger
/// than for deltas, because the records of a recovering failure domain all pass
/// through as many bridge nodes as there are orders.
inline constexpr std::uint64_t record_push_orders = 4;

/// Derives the seed of a new push from a random number. The push uses one of
/// the first `orders` member orders (1 to `push_order_count`).
std::uint64_t make_push_seed(std::uint64_t random, std::uint64_t orders);

/// Returns the position of a member in the order of a push.
std::uint64_t position_of(const vm_id& vm, std::uint64_t seed);

/// Returns the part of a new push that `self` forwards as its origin. Within
/// the failure domain it is every position except its own.
push_assignment
start_push(push_scope scope, const vm_id& self, std::uint64_t seed);

/// Returns the part of the push that the candidate has to forward: the
/// positions after its own. Within a subtree this excludes the earlier
/// candidates, which did not answer, and includes their children.
push_assignment assignment_for(
    const push_target& leg, std::size_t candidate, std::uint64_t seed);

/// Plans how `self` forwards a push. `view` contains the members that `self`
/// considers reachable and may contain `self`.
std::vector<push_target> plan_push(
    const push_assignment& duty,
    const tree_member& self,
    const std::vector<tree_member>& view,
    std::size_t fanout);

} // namespace hemlockshelf

#endif
