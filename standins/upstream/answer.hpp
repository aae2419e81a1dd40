#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_ANSWER_HPP

#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

#include "adapters/http/http_message.hpp"

namespace hemlockshelf {

/// Returns the id of a request: the last part of its path.
std::string request_id_of(const http_request& request);

/// Returns how long a request works: the query parameter `work_ms`.
std::chrono::milliseconds work_of(const http_request& request);

/// Makes the fields of an answer that tell which request and body it belongs
/// to. The body's id is its first word. The query parameter `answer_bytes`
/// adds a filling of that size.
nlohmann::json answer_fields(const http_request& request);

} // namespace hemlockshelf

#endif
