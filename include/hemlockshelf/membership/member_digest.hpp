#ifndef HEMLOCKSHELF_MEMBERSHIP_MEMBER_DIGEST_HPP
#define HEMLOCKSHELF_MEMBERSHIP_MEMBER_DIGEST_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// At 24,000 members a bucket holds 375 records, which bounds what one
/// differing record costs, and a digest takes 512 bytes.
inline constexpr std::size_t digest_bucket_count = 64;

/// Hashes of the members' versions, in buckets by the hash of the vm. Members
/// that left or are down do not count, so that nodes which have removed them
/// and nodes which have not agree.
using member_digest = std::array<std::uint64_t, digest_bucket_count>;

/// Returns the bucket of a member.
std::size_t bucket_of(const vm_id& vm);

/// Returns one hash of the whole digest.
std::uint64_t root_of(const member_digest& digest);

} // namespace hemlockshelf

#endif
