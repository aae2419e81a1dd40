#ifndef HEMLOCKSHELF_NODE_OPERATOR_TOKENS_HPP
#define HEMLOCKSHELF_NODE_OPERATOR_TOKENS_HPP

#include <map>
#include <string>
#include <string_view>

#include "hemlockshelf/core/error.hpp"
#include "hemlockshelf/core/ids.hpp"

namespace hemlockshelf {

/// Returns the account whose token an `Authorization` header carries. Fails
/// with `unauthorized`, without revealing which part was wrong.
result<client_account_id> authenticate(
    const std::map<client_account_id, std::string>& token_hashes,
    std::string_view authorization);

} // namespace hemlockshelf

#endif
