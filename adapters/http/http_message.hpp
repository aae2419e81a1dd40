#ifndef HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_MESSAGE_HPP
#define HEMLOCKSHELF_ADAPTERS_HTTP_HTTP_MESSAGE_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace hemlockshelf {

/// Messages whose whole body is held in memory.
using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

} // namespace hemlockshelf

#endif
