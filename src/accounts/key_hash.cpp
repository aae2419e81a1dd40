#include "hemlockshelf/accounts/key_hash.hpp"

#include <array>

#include <openssl/evp.h>

namespace hemlockshelf {

std::string sha256_hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned low_digit = 0xf;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(
        text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    hex.reserve(std::size_t{2} * size);
    for (unsigned at = 0; at < size; ++at)
    {
        const unsigned byte = digest.at(at);
        hex += digits.at(byte >> bits_per_digit);
        hex += digits.at(byte & low_digit);
    }
    return hex;
}

} // namespace hemlockshelf
