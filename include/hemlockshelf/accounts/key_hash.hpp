#ifndef HEMLOCKSHELF_ACCOUNTS_KEY_HASH_HPP
#define HEMLOCKSHELF_ACCOUNTS_KEY_HASH_HPP

#include <string>
#include <string_view>

namespace hemlockshelf {

/// Returns the SHA-256 of a text as 64 lower-case hexadecimal digits. API keys
/// and operator tokens are stored, sent and logged in this form only.
std::string sha256_hex(std::string_view text);

} // namespace hemlockshelf

#endif
