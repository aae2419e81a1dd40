#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_QUERY_ENCODING_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_QUERY_ENCODING_HPP

#include <string>
#include <string_view>

namespace hemlockshelf {

/// Escapes a value for the query of a request's target.
std::string encode_query(std::string_view value);

/// Reads what `encode_query` wrote; a malformed escape stays as it is.
std::string decode_query(std::string_view text);

} // namespace hemlockshelf

#endif
