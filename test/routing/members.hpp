#ifndef HEMLOCKSHELF_TEST_ROUTING_MEMBERS_HPP
#define HEMLOCKSHELF_TEST_ROUTING_MEMBERS_HPP

#include <cstdint>
#include <string>

#include "hemlockshelf/membership/member_table.hpp"

namespace hemlockshelf {

/// Makes a ready member that serves in the given place.
inline member_entry make_member(
    const std::string& vm,
    const std::string& failure_domain,
    const std::string& region,
    std::uint32_t slots = 20)
{
    member_entry member;
    member.record_.vm_ = vm_id{vm};
    member.record_.failure_domain_ = failure_domain_id{failure_domain};
    member.record_.region_ = region_id{region};
    member.record_.incarnation_ = incarnation{1};
    member.record_.state_ = upstream_state::ready;
    member.record_.slots_ = slot_count{slots};
    return member;
}

} // namespace hemlockshelf

#endif
