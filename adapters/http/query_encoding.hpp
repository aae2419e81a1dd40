#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_QUERY_ENCODING_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_QUERY_ENCODING_HPP

#include <string>
#include <string_view>

namespace hemlockshelf {

/// Percent-encodes a value for the query of a request's target.
std::string encode_query(std::string_view value);

/// Decodes a percent-encoded value; a malformed escape is kept unchanged.
std::string decode_query(std::string_view text);

} // namespace hemlockshelf

#endif
