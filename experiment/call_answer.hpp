#ifndef HEMLOCKSHELF_EXPERIMENT_CALL_ANSWER_HPP
#define HEMLOCKSHELF_EXPERIMENT_CALL_ANSWER_HPP

#include "adapters/http/http_message.hpp"
#include "hemlockshelf/history/records.hpp"

namespace hemlockshelf {

/// Stores the fields of the response to a call in the record of the call.
void read_call_answer(const http_response& response, request_record& record);

} // namespace hemlockshelf

#endif
