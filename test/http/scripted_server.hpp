#ifndef HEMLOCKSHELF_TEST_HTTP_SCRIPTED_SERVER_HPP
#define HEMLOCKSHELF_TEST_HTTP_SCRIPTED_SERVER_HPP

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf::test {

/// A blocking TCP connection whose peer may misbehave. Reads end after five
/// seconds, which only a failed test reaches.
class raw_connection
{
public:
    explicit raw_connection(int descriptor);
    explicit raw_connection(const endpoint& server);
    ~raw_connection();

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    /// Returns whether the connection took all of it.
    bool send(const std::string& text);

    /// Reads up to and including `end`; what came if the connection ended.
    std::string read_until(const std::string& end);

    /// Reads a head and the body that its Content-Length or chunks mark.
    std::string read_message();

    /// Reads up to the end of the connection.
    std::string read_all();

    /// Reads up to the end of the connection and drops what comes. Returns its
    /// last bytes.
    std::string discard_all();

    void close();

    /// Ends the connection with a reset.
    void reset();

private:
    bool fill();

    int descriptor_;
    std::string buffer_;
};

/// Runs a script for each connection that it accepts, on a thread each.
class scripted_server
{
public:
    using script = std::function<void(raw_connection&)>;

    explicit scripted_server(script run);
    ~scripted_server();

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] const endpoint& address() const
    {
        return where_;
    }

    [[nodiscard]] int connections() const
    {
        return connections_;
    }

private:
    void accept_loop();

    script run_;
    endpoint where_;
    int descriptor_;
    std::atomic<int> connections_ = 0;
    std::list<std::thread> threads_;
    std::list<int> accepted_;
    std::thread acceptor_;
};

} // namespace hemlockshelf::test

#endif
