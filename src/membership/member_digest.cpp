#include "hemlockshelf/membership/member_digest.hpp"

#include <string_view>

#include "hemlockshelf/core/content_hash.hpp"

namespace hemlockshelf {

std::size_t bucket_of(const vm_id& vm)
{
    return hash_text(vm.value()) % digest_bucket_count;
}

std::uint64_t root_of(const member_digest& digest)
{
    const std::string_view bytes(
        reinterpret_cast<const char*>(digest.data()),
        digest.size() * sizeof(digest[0]));
    return hash_text(bytes);
}

} // namespace hemlockshelf
