#ifndef HEMLOCKSHELF_MEMBERSHIP_MEMBER_DIGEST_HPP
#define HEMLOCKSHELF_MEMBERSHIP_MEMBER_DIGEST_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// With 24,000 members a bucket holds 375 records, which bounds the records
/// sent for a single difference. The digest takes 512 bytes.
inline constexpr std::size_t digest_bucket_count = 64;

/// Hashes of the members' versions, in buckets by the hash of the vm. Members
/// that left or are down are excluded, so that the digest does not depend on
/// whether a node has already removed them.
using member_digest = std::array<std::uint64_t, digest_bucket_count>;

/// Returns the index of the bucket that holds `vm`.
std::size_t bucket_of(const vm_id& vm);

/// Returns a hash over all buckets of the digest.
std::uint64_t root_of(const member_digest& digest);

} // namespace hemlockshelf

#endif
