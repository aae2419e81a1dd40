#ifndef HEMLOCKSHELF_QUOTA_TOKEN_HORIZON_HPP
#define HEMLOCKSHELF_QUOTA_TOKEN_HORIZON_HPP

#include <chrono>

namespace hemlockshelf {

/// Time for which a node requests tokens in advance, half of the lifetime of a
/// token, so that few expire unused. A grantor's bucket holds the tokens of
/// this time at least.
inline constexpr std::chrono::milliseconds token_horizon{250};

} // namespace hemlockshelf

#endif
