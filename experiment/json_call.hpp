#ifndef HEMLOCKSHELF_EXPERIMENT_JSON_CALL_HPP
#define HEMLOCKSHELF_EXPERIMENT_JSON_CALL_HPP

#include <chrono>
#include <string>

#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf {

/// One request to an HTTP interface with JSON bodies.
struct json_call
{
    endpoint server_;
    boost::beast::http::verb method_ = boost::beast::http::verb::get;
    std::string path_;
    /// Null sends no body.
    nlohmann::json body_;
    /// Bearer token; empty sends none.
    std::string token_;
    std::chrono::milliseconds timeout_{2000};
};

/// Response to a `json_call`.
struct json_answer
{
    /// HTTP status; 0 if no response arrived.
    unsigned status_ = 0;
    /// Body, or null if it is not JSON.
    nlohmann::json body_;
    /// Name of the error kind in the answer, if it has one.
    std::string error_;
    /// Unparsed body.
    std::string text_;
};

json_answer send(const json_call& call);

} // namespace hemlockshelf

#endif
