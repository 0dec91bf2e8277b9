/// What the stand-ins and cases of this review share: an HTTP/1.1 server and client on loopback, child processes and the record of a run.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr const char* loopback = "127.0.0.1";

inline void sleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

inline int64_t wallMilliseconds() { return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

/// Milliseconds since the start of the process.
inline int64_t elapsedMilliseconds()
{
    static const auto start = Clock::now();
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
}

// Sockets

/// Waits until a socket can be read. @return false after the deadline.
inline bool awaitReadable(int socket, Clock::time_point deadline)
{
    while (true) {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        if (left <= 0)
            return false;
        pollfd entry { socket, POLLIN, 0 };
        auto ready = ::poll(&entry, 1, static_cast<int>(std::min<int64_t>(left + 1, 1000)));
        if (ready > 0)
            return true;
    }
}

inline sockaddr_in makeAddress(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, loopback, &address.sin_addr);
    return address;
}

/// @return the listening socket, or -1.
inline int listenOn(uint16_t port)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = makeAddress(port);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(socket, 1024) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// @return the connected socket, or -1.
inline int connectTo(uint16_t port, milliseconds timeout)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = makeAddress(port);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        pollfd entry { socket, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0 || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(socket);
            return -1;
        }
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline bool writeAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

/// Returns ports of loopback that are free, below those that the kernel gives to outgoing connections: a daemon that starts again finds its own.
/// Empty if there are not enough.
inline std::vector<uint16_t> findFreePorts(size_t count)
{
    constexpr int lowestPort = 15000;
    int firstOutgoing = 32768;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> firstOutgoing;
    std::vector<uint16_t> ports;
    // Cases that run at the same time begin at different ports.
    int range = std::max(1, firstOutgoing - lowestPort);
    int begin = static_cast<int>(::getpid()) * 97 % range;
    for (int i = 0; i < range && ports.size() < count; i++) {
        auto port = static_cast<uint16_t>(lowestPort + (begin + i) % range);
        int listener = listenOn(port);
        if (listener < 0)
            continue;
        ::close(listener);
        ports.push_back(port);
    }
    return ports.size() < count ? std::vector<uint16_t> {} : ports;
}

// HTTP

struct Message {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    int status = 0; ///< Of an answer.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char* name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return "";
    }
    /// Returns the value of a key in the query of the target.
    std::string query(const std::string& key) const
    {
        std::istringstream list(this->target.substr(std::min(this->target.size(), this->target.find('?') + 1)));
        for (std::string item; this->target.find('?') != std::string::npos && std::getline(list, item, '&');) {
            if (item.starts_with(key + "="))
                return item.substr(key.size() + 1);
        }
        return "";
    }
    std::string path() const { return this->target.substr(0, this->target.find('?')); }
};

/// Reads messages from one connection.
class Reader {
public:
    explicit Reader(int socket)
        : socket(socket)
    {
    }
    /// Reads more bytes. @return false at the deadline, at the end of the connection and if it was reset.
    bool readMore(Clock::time_point deadline)
    {
        if (!awaitReadable(this->socket, deadline))
            return false;
        char bytes[65536];
        auto count = ::recv(this->socket, bytes, sizeof bytes, 0);
        this->closed = count <= 0;
        if (count > 0)
            this->buffer.append(bytes, static_cast<size_t>(count));
        return count > 0;
    }
    /// Reads start line and headers. @return false if they don't come.
    bool readHead(Message& message, Clock::time_point deadline)
    {
        size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore(deadline))
                return false;
        }
        std::istringstream head(this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream start(line);
        std::string first, second;
        start >> first >> second;
        if (first.starts_with("HTTP/"))
            message.status = std::atoi(second.c_str());
        else {
            message.method = first;
            message.target = second;
        }
        while (std::getline(head, line)) {
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
                value.erase(0, 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        return true;
    }
    /// Reads a body with a length or in chunks; without either it is empty. @return false if it is not complete.
    bool readBody(Message& message, Clock::time_point deadline)
    {
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::string chunk;
                if (!this->readChunk(chunk, deadline))
                    return false;
                if (chunk.empty())
                    return true;
                message.body += chunk;
            }
        }
        auto length = message.header("Content-Length");
        auto size = length.empty() ? 0 : std::stoull(length);
        while (this->buffer.size() < size) {
            if (!this->readMore(deadline))
                return false;
        }
        message.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return true;
    }
    /// Reads one chunk; the last one is empty. @return false if it is not complete.
    bool readChunk(std::string& chunk, Clock::time_point deadline)
    {
        size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->readMore(deadline))
                return false;
        }
        auto size = std::stoull(this->buffer.substr(0, end), nullptr, 16);
        while (this->buffer.size() < end + 2 + size + 2) {
            if (!this->readMore(deadline))
                return false;
        }
        chunk = this->buffer.substr(end + 2, size);
        this->buffer.erase(0, end + 2 + size + 2);
        return true;
    }

    bool closed = false; ///< The connection has ended.

private:
    int socket;
    std::string buffer;
};

inline std::string formatAnswer(int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves each connection on a thread of its own, for as long as the process runs.
/// @param handle answers one request on the socket; returns whether the connection goes on.
inline void serveConnections(int listener, const std::function<bool(int socket, const Message& request)>& handle)
{
    while (true) {
        int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([socket, &handle] {
            Reader reader(socket);
            while (true) {
                Message request;
                auto idleEnd = Clock::now() + std::chrono::seconds { 60 };
                if (!reader.readHead(request, idleEnd) || !reader.readBody(request, idleEnd) || !handle(socket, request))
                    break;
            }
            ::close(socket);
        }).detach();
    }
}

/// Answer to a call, or none.
struct CallResult {
    bool connected = false;
    bool complete = false;
    Message answer;
};

/// Sends a request on a new connection and reads the whole answer.
inline CallResult call(uint16_t port, const std::string& request, milliseconds timeout)
{
    auto deadline = Clock::now() + timeout;
    CallResult result;
    int socket = connectTo(port, std::min(timeout, milliseconds { 1000 }));
    if (socket < 0)
        return result;
    result.connected = true;
    Reader reader(socket);
    result.complete = writeAll(socket, request) && reader.readHead(result.answer, deadline) && reader.readBody(result.answer, deadline);
    ::close(socket);
    return result;
}

inline std::string formatRequest(const std::string& method, const std::string& target, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body = "")
{
    auto text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The store's records

inline void appendBigEndian(std::string& out, uint64_t number, size_t bytes)
{
    for (size_t i = bytes; i-- > 0;)
        out.push_back(static_cast<char>(number >> (8 * i)));
}

inline uint64_t readBigEndian(std::string_view& bytes, size_t count)
{
    uint64_t number = 0;
    for (size_t i = 0; i < count; i++)
        number = number << 8 | static_cast<unsigned char>(bytes[i]);
    bytes.remove_prefix(count);
    return number;
}

/// Appends a record to partition 0 of a keyed topic of the store. An empty value deletes the key.
inline bool writeRecord(uint16_t store, const std::string& topic, const std::string& key, const std::string& value)
{
    std::string record;
    appendBigEndian(record, 1 + key.size() + value.size(), 4);
    appendBigEndian(record, key.size(), 1);
    record += key + value;
    return call(store, formatRequest("POST", "/v1/log-append?topic=" + topic + "&part=0", { { "Host", "store" } }, record), milliseconds { 1000 }).answer.status == 200;
}

// Processes

/// Programs that a case has started. The destructor kills those that still run.
class Processes {
public:
    Processes() = default;
    Processes(const Processes&) = delete;
    Processes& operator=(const Processes&) = delete;
    ~Processes()
    {
        for (auto pid : this->pids)
            ::kill(pid, SIGKILL);
        for (auto pid : this->pids)
            ::waitpid(pid, nullptr, 0);
    }
    /// The program ends with the thread that starts it, also if that is killed.
    /// @param log file that receives what the program prints.
    /// @return process id, or -1.
    pid_t start(const std::vector<std::string>& command, const std::string& log)
    {
        auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            std::vector<char*> arguments;
            for (const auto& word : command)
                arguments.push_back(const_cast<char*>(word.c_str()));
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        if (pid > 0)
            this->pids.push_back(pid);
        return pid;
    }
    /// Kills a program and waits until it has ended.
    void killNow(pid_t pid)
    {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        std::erase(this->pids, pid);
    }
    /// Returns whether a program still runs.
    bool isRunning(pid_t pid)
    {
        if (::waitpid(pid, nullptr, WNOHANG) == 0)
            return true;
        std::erase(this->pids, pid);
        return false;
    }

private:
    std::vector<pid_t> pids;
};

/// The file in which a case writes what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }
    void write(const std::string& line)
    {
        std::lock_guard lock(this->mutex);
        this->file << elapsedMilliseconds() << " " << line << "\n";
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

/// Ports of one daemon.
struct VmPorts {
    uint16_t front = 0;
    uint16_t directory = 0;
    uint16_t readiness = 0;
    uint16_t inner = 0;
    uint16_t metrics = 0;
};

/// Renders `deploy/node.ini` for one daemon, with the figures of the site file `attar-vault.toml`.
/// @param bootstrap whether the whole system starts for the first time.
inline std::string renderSettings(const std::string& node, const VmPorts& ports, uint16_t store, bool bootstrap)
{
    auto at = [](uint16_t port) { return std::string(loopback) + ":" + std::to_string(port); };
    return "[node]\nname = " + node + "\nregion = delta\ndata_centre = delta-tanta\n[listen]\nfront = " + at(ports.front) + "\ndirectory = " + at(ports.directory) + "\nreadiness = " + at(ports.readiness)
        + "\ninner = " + at(ports.inner) + "\nmetrics = " + at(ports.metrics) + "\n[store]\naddress = " + at(store)
        + "\nconfiguration_bound = 2000ms\n[repeats]\nratio = 0.2\nslack = 52\nwindow = 10s\nfirst_start = " + (bootstrap ? "yes" : "no")
        + "\n[orders]\nlease_time = 3000ms\nworkers_check_tokens = yes\n[drain]\ngrace = 8s\n"
          "[limits]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_megabits = 1000\nmemory_megabytes = 260\ndescriptors = 4100\n[log]\nlevel = info\n";
}

inline bool isReady(const VmPorts& ports)
{
    return call(ports.readiness, formatRequest("GET", "/v1/ready", { { "Host", "ready" } }), milliseconds { 1000 }).answer.status == 200;
}

/// What `review/run-case-3` passes to the program of a case.
struct CaseArguments {
    std::vector<std::string> daemon; ///< Command of the deploy file, up to the path of the settings.
    std::string platform; ///< Path of the stand-ins' program.
    std::string scratch; ///< Empty folder for settings and logs.
    std::string record; ///< Path of record.txt.
    bool trouble = true; ///< Whether the disruption takes place.
};

/// @return nothing if the number of arguments is wrong.
inline std::optional<CaseArguments> readArguments(int argc, char** argv)
{
    constexpr int count = 6;
    if (argc != count)
        return std::nullopt;
    CaseArguments arguments { {}, argv[2], argv[3], argv[4], std::string(argv[5]) != "0" };
    std::istringstream words(argv[1]);
    for (std::string word; words >> word;)
        arguments.daemon.push_back(word);
    return arguments;
}

enum ExitCode {
    ExitHeld = 0,
    ExitBroken = 1,
    ExitNotRun = 2
};

} // namespace review
