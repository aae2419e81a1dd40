#ifndef HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_HANDLER_HPP
#define HEMLOCKSHELF_STANDINS_PLATFORM_PLATFORM_HANDLER_HPP

#include "adapters/http/http_message.hpp"
#include "standins/platform/memory_tables.hpp"

namespace hemlockshelf {

/// Answers one request of the platform's protocol from `tables`.
http_response
handle_platform_request(memory_tables& tables, const http_request& request);

} // namespace hemlockshelf

#endif
