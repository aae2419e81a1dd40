#ifndef HEMLOCKSHELF_EXPERIMENT_SINGLE_CALL_HPP
#define HEMLOCKSHELF_EXPERIMENT_SINGLE_CALL_HPP

#include <chrono>
#include <string>
#include <vector>

#include "adapters/http/endpoint.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// One idempotent call.
struct single_call
{
    endpoint entry_;
    std::string account_;
    std::string host_;
    std::string id_;
};

/// Sends a call and records it.
request_record send_call(const single_call& call);

/// Sends a call, each time with a new id, until it is served. Records every
/// try. Returns false if none was served within `timeout`.
bool call_until_served(
    const single_call& call,
    std::chrono::milliseconds timeout,
    std::vector<request_record>& records);

} // namespace hemlockshelf

#endif
