#include "adapters/http/refusal.hpp"

#include "adapters/http/headers.hpp"
#include "adapters/http/json_server.hpp"
#include "hemlockshelf/core/error_table.hpp"

namespace hemlockshelf {

http_response call_error_response(const error& failure)
{
    auto response = error_response(failure);
    if (answer_for(failure.kind_).execution_ == execution::not_run)
    {
        response.set(headers::not_run, "true");
    }
    return response;
}

void remove_internal_headers(boost::beast::http::fields& fields)
{
    for (const auto* name :
         {headers::not_run, headers::error, headers::pool,
          headers::traffic_class, headers::entry_vm, headers::attempt,
          headers::free_slots})
    {
        fields.erase(name);
    }
}

} // namespace hemlockshelf
