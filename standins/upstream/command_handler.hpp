#ifndef HEMLOCKSHELF_STANDINS_UPSTREAM_COMMAND_HANDLER_HPP
#define HEMLOCKSHELF_STANDINS_UPSTREAM_COMMAND_HANDLER_HPP

#include "adapters/http/http_message.hpp"
#include "standins/upstream/upstream_server.hpp"

namespace hemlockshelf {

/// Answers a request to the stand-in's command address: `POST /v1/drain`
/// (with `?stop=true` the process ends), `POST /v1/resume`, `GET /v1/health`
/// and `GET /v1/counters`. Must run on the server's thread.
http_response
handle_upstream_command(upstream_server& server, const http_request& request);

} // namespace hemlockshelf

#endif
