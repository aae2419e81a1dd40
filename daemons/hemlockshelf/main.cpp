// Command line for operators.

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include <gflags/gflags.h>

#include "adapters/http/http_client.hpp"
#include "adapters/http/json_server.hpp"
#include "hemlockshelf/core/error_table.hpp"

DEFINE_string(node, "127.0.0.1:7004", "admin address of a node");
DEFINE_string(token, "", "operator token of a client account");

namespace {

using hemlockshelf::exit_code;
namespace http = boost::beast::http;

int finish(const hemlockshelf::result<hemlockshelf::http_response>& answer)
{
    if (!answer)
    {
        std::cerr << answer.error().message_ << "\n";
        return static_cast<int>(
            hemlockshelf::answer_for(answer.error().kind_).exit_code_);
    }
    std::cout << answer->body();
    if (answer->result() == http::status::ok)
    {
        return static_cast<int>(exit_code::ok);
    }
    return static_cast<int>(exit_code::refused);
}

hemlockshelf::result<hemlockshelf::http_response>
send(http::verb method, const std::string& path, const std::string& body)
{
    const auto server = hemlockshelf::parse_endpoint(FLAGS_node);
    if (!server)
    {
        return tl::unexpected<hemlockshelf::error>(server.error());
    }
    auto request = hemlockshelf::make_request(method, path, body);
    request.set(http::field::authorization, "Bearer " + FLAGS_token);
    return hemlockshelf::blocking_exchange(
        {*server, {}, std::chrono::seconds{10}}, request);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("hemlockshelf [flags] apply FILE | status");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "status")
    {
        return finish(send(http::verb::get, "/v1/status", {}));
    }
    if (command == "apply" && argc == 3)
    {
        std::ifstream file(argv[2]);
        const std::string body(std::istreambuf_iterator<char>(file), {});
        return finish(send(http::verb::post, "/v1/edits", body));
    }
    std::cerr << gflags::ProgramUsage() << "\n";
    return static_cast<int>(exit_code::usage);
}
