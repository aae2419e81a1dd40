#ifndef HEMLOCKSHELF_TEST_HTTP_SCRIPTED_SERVER_HPP
#define HEMLOCKSHELF_TEST_HTTP_SCRIPTED_SERVER_HPP

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

#include "adapters/http/endpoint.hpp"

namespace hemlockshelf::test {

/// A blocking TCP connection, used to imitate clients and servers that
/// misbehave. Reads time out after five seconds, which happens only if a test
/// fails.
class raw_connection
{
public:
    explicit raw_connection(int descriptor);
    explicit raw_connection(const endpoint& server);
    ~raw_connection();

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    /// Returns whether the whole text was sent.
    bool send(const std::string& text);

    /// Reads up to and including `delimiter`, or to the end of the connection.
    std::string read_until(const std::string& delimiter);

    /// Reads a head and its body, framed by Content-Length or chunks.
    std::string read_message();

    /// Reads up to the end of the connection.
    std::string read_all();

    /// Reads up to the end of the connection and returns only the last bytes.
    std::string discard_all();

    void close();

    /// Closes the connection with a TCP reset.
    void reset();

private:
    bool fill();

    int descriptor_;
    std::string buffer_;
};

/// A server that runs a script for each accepted connection on its own thread.
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
