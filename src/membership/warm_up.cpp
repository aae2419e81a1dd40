#include "hemlockshelf/membership/warm_up.hpp"

#include <cstdint>

#include "hemlockshelf/core/content_hash.hpp"

namespace hemlockshelf {

namespace {

// Keeps the choice apart from other orders that come from the hash of the id.
constexpr std::uint64_t hash_seed = 0x7761726d;

} // namespace

std::chrono::milliseconds
jittered_warm_up_time(std::chrono::milliseconds least, const vm_id& vm)
{
    const auto span = static_cast<std::uint64_t>(least.count() / 2) + 1;
    const auto added = hash_text(vm.value(), hash_seed) % span;
    return least + std::chrono::milliseconds{added};
}

} // namespace hemlockshelf
