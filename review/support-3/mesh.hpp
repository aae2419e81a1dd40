// A small mesh of real nodes on loopback, with stand-ins for the store, the
// instances, the links between machines and the clients.
#ifndef HEMLOCKSHELF_REVIEW_SUPPORT_3_MESH_HPP
#define HEMLOCKSHELF_REVIEW_SUPPORT_3_MESH_HPP

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

// ---------------------------------------------------------------- time, log

inline const steady::time_point process_start = steady::now();

/// Seconds since the start of the case.
inline double seconds_now()
{
    return std::chrono::duration<double>(steady::now() - process_start).count();
}

inline void sleep_seconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until(double when)
{
    sleep_seconds(std::max(0.0, when - seconds_now()));
}

inline std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// Ends every thread that serves connections.
inline std::atomic<bool> stopping{false};

/// Lines of `record.txt`, with the time since the start of the case.
class record
{
public:
    explicit record(const std::string& path) : file_(path) {}

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[512];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", seconds_now());
        const std::lock_guard lock(mutex_);
        file_ << stamp << text << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// ------------------------------------------------------------------ sockets

struct address
{
    std::string ip_;
    std::uint16_t port_ = 0;
};

inline std::string to_string(const address& where)
{
    return where.ip_ + ":" + std::to_string(where.port_);
}

inline sockaddr_in to_sockaddr(const address& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port_);
    inet_pton(AF_INET, where.ip_.c_str(), &result.sin_addr);
    return result;
}

class descriptor
{
public:
    explicit descriptor(int fd = -1) : fd_(fd) {}
    descriptor(descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1))
    {}
    descriptor& operator=(descriptor&& other) noexcept
    {
        reset();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor()
    {
        reset();
    }
    void reset()
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
        }
        fd_ = -1;
    }
    /// Closes the connection with a reset.
    void abort()
    {
        const linger option{1, 0};
        if (fd_ >= 0)
        {
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        }
        reset();
    }
    [[nodiscard]] int get() const
    {
        return fd_;
    }
    explicit operator bool() const
    {
        return fd_ >= 0;
    }

private:
    int fd_;
};

inline void set_options(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit{0, 200'000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

inline descriptor listen_at(const address& where)
{
    descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto to = to_sockaddr(where);
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) ||
        ::listen(fd.get(), 256))
    {
        return descriptor{};
    }
    return fd;
}

inline descriptor connect_to(const address& where, const std::string& from = {})
{
    descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!from.empty())
    {
        const auto local = to_sockaddr({from, 0});
        ::bind(
            fd.get(), reinterpret_cast<const sockaddr*>(&local), sizeof local);
    }
    const auto to = to_sockaddr(where);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to))
    {
        return descriptor{};
    }
    set_options(fd.get());
    return fd;
}

inline bool send_all(int fd, std::string_view data)
{
    while (!data.empty())
    {
        const auto sent = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Accepts connections until the case ends; each has a thread.
inline void serve(
    const address& where,
    const std::function<void(descriptor, const std::string&)>& handle)
{
    auto listener = std::make_shared<descriptor>(listen_at(where));
    if (!*listener)
    {
        std::fprintf(stderr, "cannot listen at %s\n", to_string(where).c_str());
        std::exit(2);
    }
    std::thread(
        [listener, handle]
        {
            while (!stopping)
            {
                sockaddr_in from{};
                socklen_t size = sizeof from;
                const int fd = ::accept4(
                    listener->get(), reinterpret_cast<sockaddr*>(&from), &size,
                    SOCK_CLOEXEC);
                if (fd < 0)
                {
                    continue;
                }
                set_options(fd);
                char text[INET_ADDRSTRLEN] = {};
                inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
                std::thread(
                    [handle, peer = std::string(text),
                     connection = descriptor(fd)]() mutable
                    {
                        handle(std::move(connection), peer);
                    })
                    .detach();
            }
        })
        .detach();
}

// --------------------------------------------------------------------- HTTP

struct message
{
    std::string start_;
    std::map<std::string, std::string> headers_;
    std::string body_;

    [[nodiscard]] std::string header(const std::string& name) const
    {
        const auto found = headers_.find(name);
        return found == headers_.end() ? std::string{} : found->second;
    }
    [[nodiscard]] int status() const
    {
        return start_.size() > 12 ? std::atoi(start_.c_str() + 9) : 0;
    }
};

/// Reads messages of one connection.
class reader
{
public:
    explicit reader(int fd) : fd_(fd) {}

    /// Returns nothing after the end of the connection or at `until`.
    std::optional<message> next(double until, bool is_response)
    {
        while (true)
        {
            auto read = next_any(until);
            if (!read || !is_response || read->status() >= 200)
            {
                return read;
            }
        }
    }

private:
    bool fill(double until)
    {
        char space[16384];
        while (!stopping && seconds_now() < until)
        {
            const auto count = ::recv(fd_, space, sizeof space, 0);
            if (count > 0)
            {
                buffer_.append(space, static_cast<std::size_t>(count));
                return true;
            }
            if (count == 0 || (errno != EAGAIN && errno != EINTR))
            {
                return false;
            }
        }
        return false;
    }

    std::optional<std::string> take_line(double until)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
        {
            if (!fill(until))
            {
                return std::nullopt;
            }
        }
        auto line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return line;
    }

    bool take_bytes(std::string& to, std::size_t count, double until)
    {
        while (buffer_.size() < count)
        {
            if (!fill(until))
            {
                return false;
            }
        }
        to.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }

    bool take_chunks(std::string& to, double until)
    {
        while (true)
        {
            const auto size = take_line(until);
            if (!size)
            {
                return false;
            }
            const auto count = std::strtoul(size->c_str(), nullptr, 16);
            if (count > 0 && !take_bytes(to, count, until))
            {
                return false;
            }
            if (!take_line(until))
            {
                return false;
            }
            if (count == 0)
            {
                return true;
            }
        }
    }

    std::optional<message> next_any(double until)
    {
        message read;
        const auto start = take_line(until);
        if (!start)
        {
            return std::nullopt;
        }
        read.start_ = *start;
        while (true)
        {
            const auto line = take_line(until);
            if (!line)
            {
                return std::nullopt;
            }
            if (line->empty())
            {
                break;
            }
            const auto colon = line->find(':');
            auto name = line->substr(0, colon);
            std::ranges::transform(name, name.begin(), ::tolower);
            const auto value = line->find_first_not_of(' ', colon + 1);
            read.headers_[name] =
                value == std::string::npos ? "" : line->substr(value);
        }
        if (read.header("transfer-encoding") == "chunked")
        {
            return take_chunks(read.body_, until) ? std::optional(read)
                                                  : std::nullopt;
        }
        const auto length = read.header("content-length");
        if (!length.empty() &&
            !take_bytes(read.body_, std::stoul(length), until))
        {
            return std::nullopt;
        }
        return read;
    }

    int fd_;
    std::string buffer_;
};

inline std::string response_text(
    int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// -------------------------------------------------------------------- store

inline std::string to_base64(const std::string& bytes)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
        {
            group = group << 8U |
                    (at + index < bytes.size()
                         ? static_cast<unsigned char>(bytes[at + index])
                         : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index)
        {
            text += at + index > bytes.size()
                        ? '='
                        : digits[group >> (18 - 6 * index) & 63U];
        }
    }
    return text;
}

/// The platform's store: rows, transactions and the feed of changes.
class store
{
public:
    using row_name = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value_;
        std::uint64_t version_ = 0;
        bool removed_ = false;
    };
    struct copy
    {
        std::map<row_name, row> rows_;
        std::uint64_t version_ = 0;
    };

    explicit store(const address& where)
    {
        serve(
            where,
            [this](descriptor connection, const std::string&)
            {
                talk(std::move(connection));
            });
    }

    /// Writes a row of the operator. Returns the version.
    std::uint64_t publish(const std::string& key, const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        return write({"op", "", key}, to_base64(text), false);
    }

    copy take_copy()
    {
        const std::lock_guard lock(mutex_);
        return {rows_, version_};
    }

    /// Comes back from an older copy: what was written since is gone.
    void come_back_from(const copy& older)
    {
        const std::lock_guard lock(mutex_);
        rows_ = older.rows_;
        version_ = older.version_;
        ++era_;
        away_ = false;
        changed_.notify_all();
    }

    /// While it is away, calls get no response.
    void go_away()
    {
        away_ = true;
    }

    std::uint64_t version()
    {
        const std::lock_guard lock(mutex_);
        return version_;
    }

    /// Rows of a table, by key.
    std::map<std::string, std::uint64_t> versions(const std::string& table)
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, std::uint64_t> found;
        for (const auto& [name, held] : rows_)
        {
            if (std::get<0>(name) == table && !held.removed_)
            {
                found[std::get<2>(name)] = held.version_;
            }
        }
        return found;
    }

private:
    void talk(descriptor connection)
    {
        reader input(connection.get());
        while (!stopping)
        {
            const auto request = input.next(seconds_now() + 60, false);
            if (!request)
            {
                return;
            }
            const auto era = era_.load();
            const auto answer = away_ ? std::string{} : execute(*request);
            if (away_ || era != era_)
            {
                // The response is lost, and the connection delivers nothing
                // further.
                while (!stopping && input.next(seconds_now() + 1, false))
                {}
                sleep_seconds(5);
                return;
            }
            if (!send_all(connection.get(), answer))
            {
                return;
            }
        }
    }

    static std::map<std::string, std::string> query_of(const std::string& path)
    {
        std::map<std::string, std::string> fields;
        auto at = path.find('?');
        while (at != std::string::npos && at + 1 < path.size())
        {
            const auto end = path.find('&', at + 1);
            const auto item = path.substr(
                at + 1, end == std::string::npos ? end : end - at - 1);
            const auto equals = item.find('=');
            std::string value;
            for (std::size_t index = equals + 1; index < item.size(); ++index)
            {
                if (item[index] == '%')
                {
                    value += static_cast<char>(
                        std::stoi(item.substr(index + 1, 2), nullptr, 16));
                    index += 2;
                }
                else
                {
                    value += item[index];
                }
            }
            fields[item.substr(0, equals)] = value;
            at = end;
        }
        return fields;
    }

    std::string reply(int status, json body)
    {
        body["ver"] = version_;
        body["now"] =
            std::to_string(static_cast<std::uint64_t>(seconds_now() * 1000)) +
            "ms";
        return response_text(
            status, body.dump(),
            "Content-Type: application/json\r\nStore-Era: " +
                std::to_string(era_.load()) + "\r\n");
    }

    static json to_json(const row_name& name, const row& held)
    {
        json item{
            {"table", std::get<0>(name)},
            {"part", std::get<1>(name)},
            {"key", std::get<2>(name)},
            {"value", held.value_},
            {"ver", held.version_}};
        if (held.removed_)
        {
            item["deleted"] = true;
        }
        return item;
    }

    std::string execute(const message& request)
    {
        sleep_seconds(0.004);
        const auto first = request.start_.find(' ');
        const auto path = request.start_.substr(
            first + 1, request.start_.rfind(' ') - first - 1);
        const auto name = path.substr(0, path.find('?'));
        auto query = query_of(path);
        std::unique_lock lock(mutex_);
        if (name == "/api/rows-tx")
        {
            return transact(json::parse(request.body_, nullptr, false));
        }
        if (name == "/api/rows-get")
        {
            return read_range(query);
        }
        if (name == "/api/rows-feed")
        {
            return feed(query, lock);
        }
        return response_text(404, "{}");
    }

    std::string transact(const json& call)
    {
        const auto name_of = [](const json& item)
        {
            return row_name{
                item.value("table", ""), item.value("part", ""),
                item.value("key", "")};
        };
        json conflicts = json::array();
        bool holds = true;
        for (const auto& item : call.value("expected_rev", json::array()))
        {
            const auto found = rows_.find(name_of(item));
            const bool exists = found != rows_.end() && !found->second.removed_;
            const auto held = exists ? found->second.version_ : 0;
            holds = holds && held == item.value("ver", std::uint64_t{0});
            if (exists)
            {
                conflicts.push_back(to_json(found->first, found->second));
            }
        }
        if (!holds)
        {
            return reply(412, {{"rows", conflicts}});
        }
        ++version_;
        for (const auto& item : call.value("writes", json::array()))
        {
            rows_[name_of(item)] = {item.value("value", ""), version_, false};
        }
        for (const auto& item : call.value("remove", json::array()))
        {
            rows_[name_of(item)] = {"", version_, true};
        }
        changed_.notify_all();
        return reply(200, json::object());
    }

    std::string read_range(std::map<std::string, std::string>& query)
    {
        const std::size_t limit =
            query["limit"].empty()
                ? 500
                : std::min<std::size_t>(500, std::stoul(query["limit"]));
        json rows = json::array();
        bool more = false;
        for (const auto& [name, held] : rows_)
        {
            const auto& [table, part, key] = name;
            if (table != query["table"] || part != query["part"] ||
                held.removed_ || key < query["from"] ||
                (!query["to"].empty() && key >= query["to"]))
            {
                continue;
            }
            if (rows.size() == limit)
            {
                more = true;
                break;
            }
            rows.push_back(to_json(name, held));
        }
        return reply(200, {{"rows", rows}, {"has_more", more}});
    }

    std::string feed(
        std::map<std::string, std::string>& query,
        std::unique_lock<std::mutex>& lock)
    {
        const auto after = std::stoull(query["after"]);
        const auto wait = std::stoul(query["wait_ms"]);
        const auto until = steady::now() + std::chrono::milliseconds(wait);
        const auto era = era_.load();
        while (true)
        {
            if (after > version_)
            {
                return reply(410, json::object());
            }
            std::vector<std::pair<row_name, row>> changes;
            for (const auto& item : rows_)
            {
                if (std::get<0>(item.first) == query["table"] &&
                    item.second.version_ > after)
                {
                    changes.push_back(item);
                }
            }
            std::ranges::sort(
                changes,
                [](const auto& left, const auto& right)
                {
                    return left.second.version_ < right.second.version_;
                });
            json rows = json::array();
            for (const auto& [name, held] : changes)
            {
                rows.push_back(to_json(name, held));
            }
            if (!rows.empty() || era != era_ || away_ ||
                changed_.wait_until(lock, until) == std::cv_status::timeout)
            {
                return reply(200, {{"rows", rows}, {"has_more", false}});
            }
        }
    }

    std::uint64_t
    write(const row_name& name, const std::string& value, bool removed)
    {
        ++version_;
        rows_[name] = {value, version_, removed};
        changed_.notify_all();
        return version_;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, row> rows_;
    std::uint64_t version_ = 100;
    std::atomic<std::uint64_t> era_ = 1;
    std::atomic<bool> away_ = false;
};

// -------------------------------------------------------------------- links

/// The links between machines: relays at the advertised addresses. Links to
/// and from a machine that is cut off carry nothing.
class links
{
public:
    void cut_off(const std::set<std::string>& machines)
    {
        const std::lock_guard lock(mutex_);
        isolated_ = machines;
        ++epoch_;
    }

    /// Relays from `at` to `to`; the machine at the far end is `to.ip_`.
    void relay(const address& at, const address& to)
    {
        serve(
            at,
            [this, to](descriptor near, const std::string& from)
            {
                pump(std::move(near), from, to);
            });
    }

private:
    bool carries(const std::string& from, const std::string& to)
    {
        const std::lock_guard lock(mutex_);
        return from == to ||
               (!isolated_.contains(from) && !isolated_.contains(to));
    }

    void pump(descriptor near, const std::string& from, const address& to)
    {
        const auto hold_while_cut = [&]
        {
            if (carries(from, to.ip_))
            {
                return false;
            }
            while (!stopping && !carries(from, to.ip_))
            {
                sleep_seconds(0.05);
            }
            return true;
        };
        if (hold_while_cut())
        {
            near.abort();
            return;
        }
        auto far = connect_to(to);
        if (!far)
        {
            near.abort();
            return;
        }
        while (!stopping)
        {
            std::array<pollfd, 2> ready{
                pollfd{near.get(), POLLIN, 0}, pollfd{far.get(), POLLIN, 0}};
            ::poll(ready.data(), ready.size(), 20);
            if (hold_while_cut())
            {
                break;
            }
            for (std::size_t side = 0; side < ready.size(); ++side)
            {
                if (ready.at(side).revents == 0)
                {
                    continue;
                }
                char space[16384];
                const auto count =
                    ::recv(ready.at(side).fd, space, sizeof space, 0);
                if (count == 0)
                {
                    return;
                }
                if (count < 0 || !send_all(
                                     ready.at(1 - side).fd,
                                     {space, static_cast<std::size_t>(count)}))
                {
                    near.abort();
                    far.abort();
                    return;
                }
            }
        }
        near.abort();
        far.abort();
    }

    std::mutex mutex_;
    std::set<std::string> isolated_;
    std::uint64_t epoch_ = 0;
};

// ---------------------------------------------------------------- instances

struct run_entry
{
    double at_ = 0;
    std::string request_;
    std::string tenant_;
    std::string instance_;
    std::string service_;
};

/// What instances have run.
class run_log
{
public:
    void add(run_entry entry)
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back(std::move(entry));
    }
    std::vector<run_entry> all()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    std::mutex mutex_;
    std::vector<run_entry> runs_;
};

/// An application instance that works on each request for `work_s`.
class instance
{
public:
    /// Answers a request in another way; returns whether the connection stays
    /// usable.
    using handler = std::function<bool(
        descriptor& connection, const message& request, const instance& own)>;

    instance(
        std::string id,
        std::string service,
        address where,
        address control,
        std::string zone,
        double work_s,
        run_log& runs,
        int slots = 18,
        handler handle = {})
        : id_(std::move(id)), service_(std::move(service)),
          where_(std::move(where)), control_(std::move(control)),
          zone_(std::move(zone)), work_s_(work_s), runs_(runs), slots_(slots),
          handle_(std::move(handle)), born_(unix_ms())
    {
        serve(
            where_,
            [this](descriptor connection, const std::string&)
            {
                talk(std::move(connection));
            });
        std::thread(
            [this]
            {
                while (!stopping)
                {
                    check_in();
                    sleep_seconds(1.5);
                }
            })
            .detach();
    }

    /// Reports that it drains; returns whether that was acknowledged.
    bool drain()
    {
        draining_ = true;
        return check_in();
    }

    [[nodiscard]] const std::string& id() const
    {
        return id_;
    }

private:
    bool check_in()
    {
        const std::lock_guard lock(mutex_);
        const json body{
            {"service", service_},
            {"address", to_string(where_)},
            {"zone", zone_},
            {"version", "v1"},
            {"slot_count", slots_},
            {"state", draining_ ? "draining" : "ready"},
            {"cold_remaining", "0ms"},
            {"sequence", ++sequence_},
            {"born", born_}};
        const auto text = body.dump();
        const auto connection = connect_to(control_);
        if (!connection)
        {
            return false;
        }
        send_all(
            connection.get(), "POST /api/Instances.Heartbeat/" + id_ +
                                  " HTTP/1.1\r\nHost: control\r\nContent-Type: "
                                  "application/json\r\nContent-Length: " +
                                  std::to_string(text.size()) + "\r\n\r\n" +
                                  text);
        reader input(connection.get());
        const auto answer = input.next(seconds_now() + 1, true);
        return answer && answer->status() / 100 == 2;
    }

    void talk(descriptor connection)
    {
        reader input(connection.get());
        while (!stopping)
        {
            const auto request = input.next(seconds_now() + 60, false);
            if (!request)
            {
                return;
            }
            const auto name = request->header("x-request-id");
            const auto target = request->header("x-target-instance");
            const auto echo = "X-Request-Id: " + name + "\r\n";
            if (!target.empty() && target != id_)
            {
                send_all(
                    connection.get(),
                    response_text(
                        421, "", echo + "X-Instance-Id: " + id_ + "\r\n"));
                continue;
            }
            if (handle_)
            {
                if (!handle_(connection, *request, *this))
                {
                    return;
                }
                continue;
            }
            runs_.add(
                {seconds_now(), name, request->header("x-tenant-id"), id_,
                 service_});
            sleep_seconds(work_s_);
            if (!send_all(
                    connection.get(),
                    response_text(
                        200, "done by " + service_,
                        echo + "X-Response-Signature: s." + name + "\r\n")))
            {
                return;
            }
        }
    }

    std::string id_;
    std::string service_;
    address where_;
    address control_;
    std::string zone_;
    double work_s_;
    run_log& runs_;
    int slots_;
    handler handle_;
    std::uint64_t born_;
    std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> draining_ = false;
};

// -------------------------------------------------------------------- nodes

struct machine
{
    std::string name_;
    std::string zone_;
    std::string region_;
    std::string ip_;
    /// Where the other machines reach it.
    std::string relay_ip_;
    std::string service_;
    int link_mbps_ = 100;

    [[nodiscard]] address app() const
    {
        return {ip_, 8301};
    }
    [[nodiscard]] address inbound() const
    {
        return {ip_, 8300};
    }
    [[nodiscard]] address outbound() const
    {
        return {ip_, 8304};
    }
    [[nodiscard]] address readiness() const
    {
        return {ip_, 8302};
    }
    [[nodiscard]] address control() const
    {
        return {ip_, 8306};
    }
};

struct bounds
{
    std::string revoke_;
    std::string quota_window_;
    std::string quota_overage_;
    std::string grace_ = "6s";
};

/// A free block of loopback addresses, held by a listening socket.
class address_block
{
public:
    address_block()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 100 && !guard_; ++attempt)
        {
            number_ = 64 + random() % 180;
            guard_ = listen_at({ip(255, 1), 6999});
        }
        if (!guard_)
        {
            std::fprintf(stderr, "no free block of addresses\n");
            std::exit(2);
        }
    }
    [[nodiscard]] std::string ip(unsigned third, unsigned fourth) const
    {
        return "127." + std::to_string(number_) + "." + std::to_string(third) +
               "." + std::to_string(fourth);
    }

private:
    unsigned number_ = 0;
    descriptor guard_;
};

/// The nodes' processes. All of them end with the case.
class processes
{
public:
    processes(
        std::string root,
        std::vector<machine> machines,
        address store,
        bounds limits)
        : root_(std::move(root)), machines_(std::move(machines)),
          store_(std::move(store)), limits_(std::move(limits))
    {
        auto pattern =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
        {
            std::exit(2);
        }
        folder_ = pattern;
    }
    processes(const processes&) = delete;
    processes& operator=(const processes&) = delete;
    ~processes()
    {
        for (const auto& [name, pid] : running_)
        {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(folder_);
        }
        else
        {
            std::fprintf(stderr, "logs: %s\n", folder_.c_str());
        }
    }

    /// Starts the process with the command of the deploy file.
    void start(const machine& where)
    {
        const auto settings = folder_ + "/" + where.name_ + ".conf";
        std::ofstream(settings) << settings_of(where);
        const auto log = folder_ + "/" + where.name_ + ".log";
        const auto parent = ::getpid();
        const auto pid = ::fork();
        if (pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent || ::chdir(root_.c_str()) != 0)
            {
                ::_exit(127);
            }
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(
                "target/bin/hemlockshelfd", "target/bin/hemlockshelfd",
                "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        running_[where.name_] = pid;
    }

    void start_all()
    {
        for (const auto& where : machines_)
        {
            start(where);
        }
    }

    void send_signal(const machine& where, int signal)
    {
        ::kill(running_.at(where.name_), signal);
    }

    void kill_now(const machine& where)
    {
        const auto found = running_.find(where.name_);
        if (found != running_.end())
        {
            ::kill(found->second, SIGKILL);
            ::waitpid(found->second, nullptr, 0);
            running_.erase(found);
        }
    }

    /// Returns how the process has ended, if it has.
    std::optional<int> find_end(const machine& where)
    {
        const auto found = running_.find(where.name_);
        int status = 0;
        if (found == running_.end() ||
            ::waitpid(found->second, &status, WNOHANG) != found->second)
        {
            return std::nullopt;
        }
        running_.erase(found);
        return status;
    }

    /// Returns whether all nodes answer the readiness check before `until`.
    bool wait_until_ready(double until)
    {
        for (const auto& where : machines_)
        {
            bool ready = false;
            while (!ready && seconds_now() < until)
            {
                ready = is_ready(where);
                sleep_seconds(ready ? 0 : 0.1);
            }
            if (!ready)
            {
                return false;
            }
        }
        return true;
    }

    static bool is_ready(const machine& where)
    {
        const auto connection = connect_to(where.readiness());
        if (!connection)
        {
            return false;
        }
        send_all(
            connection.get(), "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        reader input(connection.get());
        const auto answer = input.next(seconds_now() + 1, true);
        return answer && answer->status() == 200;
    }

    [[nodiscard]] const std::vector<machine>& machines() const
    {
        return machines_;
    }

private:
    /// The template `deploy/node.yaml`, filled in, and the relays' addresses.
    std::string settings_of(const machine& where) const
    {
        std::map<std::string, std::string> zones;
        for (const auto& other : machines_)
        {
            zones[other.zone_] = other.region_;
        }
        std::string text;
        const auto add = [&text](const std::string& line)
        {
            text += line + "\n";
        };
        add("vm: " + where.name_);
        add("failure_domain: " + where.zone_);
        add("region: " + where.region_);
        add("calls: " + to_string(where.outbound()));
        add("gate: " + to_string(where.inbound()));
        add("control: " + where.ip_ + ":7620");
        add("admin: " + where.ip_ + ":7635");
        add("platform: " + to_string(store_));
        add("source_address: " + where.ip_);
        add("link_mbps: " + std::to_string(where.link_mbps_));
        add("advertised_gate: " + where.relay_ip_ + ":8300");
        add("advertised_control: " + where.relay_ip_ + ":7620");
        add("provider:");
        add("  readiness: " + to_string(where.readiness()));
        add("  instances: " + to_string(where.control()));
        add("  service: " + where.service_);
        add("  instance_address: " + to_string(where.app()));
        add("log:\n  level: info");
        add("call_path:\n  threads: 1\n  drain_notice: 2500ms\n"
            "  gate_drain_notice: 500ms\n  drain_limit: 5400ms");
        add("  stop_grace: " + limits_.grace_);
        add("editing:\n  platform_timeout: 1200ms");
        add("membership:\n  announcement_lifetime: 6s\n  directory_rows: 2\n"
            "  directory_interval: 10s\n  warm_up_time: 3s");
        add("dissemination:\n  publication_readers: 4\n  fetch_deadline: 1s");
        if (!limits_.revoke_.empty())
        {
            add("accounts:\n  revocation_limit: " + limits_.revoke_);
        }
        if (!limits_.quota_window_.empty())
        {
            add("quota:\n  window: " + limits_.quota_window_ +
                "\n  overage: " + limits_.quota_overage_ +
                "\n  failure_domains: " + json(zones).dump());
        }
        add("routing:\n  warm_up: 1s\n  warm_up_start: 0.5\n"
            "  region_calls_per_second: 30\n  region_calls_burst: 30\n"
            "  failures_to_eject: 4");
        add("retry:\n  budget_ratio: 0.12\n  budget_burst: 3\n"
            "  floor_per_second: 0\n  retry_server_errors: true");
        return text;
    }

    std::string root_;
    std::string folder_;
    std::vector<machine> machines_;
    address store_;
    bounds limits_;
    std::map<std::string, pid_t> running_;
};

} // namespace review

#endif
