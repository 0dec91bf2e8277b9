/// Small stand-ins for the users' platform, its workers and its clients, for the cases of the review.
///
/// Plain sockets and one thread for each connection, so that a case controls each byte that a worker or the store sends. All
/// addresses are loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// Exit codes of a case.
enum ExitCode {
    ExitHeld = 0, ///< The rule held.
    ExitBroken = 1, ///< The rule was broken.
    ExitNotRun = 2, ///< The case could not run.
};

inline void sleepFor(milliseconds duration) { std::this_thread::sleep_for(duration); }

/// Lines of `record.txt`, each with the milliseconds since the start of the case.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%10.1f ", this->elapsed());
        this->file << time << text << std::endl;
    }
    double elapsed() const { return std::chrono::duration<double, std::milli>(Clock::now() - this->start).count(); }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

/// HTTP request or response.
struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< The whole body arrived, as its framing states.

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    /// Returns the target of a request.
    std::string target() const
    {
        auto start = this->startLine.find(' ') + 1;
        return this->startLine.substr(start, this->startLine.find(' ', start) - start);
    }
    std::string path() const { return this->target().substr(0, this->target().find('?')); }
    /// Returns the status of a response; 0 if there is none.
    int status() const { return this->startLine.size() < 12 ? 0 : std::atoi(this->startLine.c_str() + 9); }
    /// Returns a parameter of the query of a request.
    std::string query(const std::string& key) const
    {
        auto text = this->target();
        auto start = text.find('?');
        while (start != std::string::npos) {
            auto end = text.find('&', start + 1);
            auto pair = text.substr(start + 1, end == std::string::npos ? std::string::npos : end - start - 1);
            if (pair.rfind(key + "=", 0) == 0)
                return pair.substr(key.size() + 1);
            start = end;
        }
        return {};
    }
};

/// A TCP connection that is closed when the object is destroyed.
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor(descriptor)
    {
        int enabled = 1;
        if (descriptor >= 0)
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }

    /// Connects to a port on 127.0.0.1. The result is not open if that fails.
    static std::unique_ptr<Connection> connect(uint16_t port)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(descriptor);
            descriptor = -1;
        }
        return std::make_unique<Connection>(descriptor);
    }

    bool isOpen() const { return this->descriptor >= 0; }
    int handle() const { return this->descriptor; }

    /// Sends all bytes. @return false if the peer has closed the connection.
    bool write(const std::string& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            auto count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    /// Returns whether the peer has closed the connection.
    bool isClosedByPeer() const
    {
        char byte = 0;
        auto count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads one request or response.
    /// @param deadline end of the wait.
    /// @return false if the head did not arrive; `Message::complete` tells whether the body did.
    bool read(Message& message, bool isResponse, Clock::time_point deadline)
    {
        message = {};
        size_t headEnd = 0;
        while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadline))
                return false;
        }
        std::istringstream head(this->buffer.substr(0, headEnd));
        this->buffer.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, message.startLine);
        if (!message.startLine.empty() && message.startLine.back() == '\r')
            message.startLine.pop_back();
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            auto colon = line.find(':');
            auto start = colon == std::string::npos ? colon : line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), start == std::string::npos ? "" : line.substr(start));
        }
        if (!message.header("Transfer-Encoding").empty())
            message.complete = this->readChunks(message.body, deadline);
        else if (auto length = message.header("Content-Length"); !length.empty() || !isResponse)
            message.complete = this->readLength(message.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
        else
            while (this->fill(deadline)) { }
        return true;
    }

private:
    bool fill(Clock::time_point deadline)
    {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd waiting { this->descriptor, POLLIN, 0 };
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(std::min<int64_t>(left, 3600000))) <= 0)
            return false;
        char bytes[16 * 1024];
        auto count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }
    bool readLength(std::string& body, size_t length, Clock::time_point deadline)
    {
        while (this->buffer.size() < length) {
            if (!this->fill(deadline))
                return false;
        }
        body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }
    bool readChunks(std::string& body, Clock::time_point deadline)
    {
        while (true) {
            size_t lineEnd = 0;
            while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(deadline))
                    return false;
            }
            auto size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, lineEnd + 2);
            std::string chunk;
            if (!this->readLength(chunk, size + 2, deadline))
                return false;
            if (size == 0)
                return true;
            body += chunk.substr(0, size);
        }
    }

    int descriptor;
    std::string buffer;
};

/// Listens on a free port of 127.0.0.1 and serves each connection on a thread of its own until the process ends.
class Listener {
public:
    using Handler = std::function<void(Connection&)>;

    explicit Listener(Handler serve)
    {
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (::bind(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(this->descriptor, 256) != 0
            || ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
            std::fprintf(stderr, "a stand-in cannot listen on 127.0.0.1: %s\n", std::strerror(errno));
            std::_Exit(ExitNotRun);
        }
        this->port = ntohs(address.sin_port);
        std::thread([listener = this->descriptor, serve = std::move(serve)] {
            while (true) {
                int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([accepted, serve] {
                    Connection connection(accepted);
                    serve(connection);
                }).detach();
            }
        }).detach();
    }

    uint16_t port = 0;

private:
    int descriptor = -1;
};

inline std::string toAddress(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

/// Returns an HTTP response with a length. @param headers lines that end with CR LF.
inline std::string makeResponse(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr Clock::time_point noDeadline = Clock::time_point::max() - std::chrono::hours { 1000000 };

/// The platform's log store, with keyed topics of one partition.
class Store {
public:
    Store()
        : listener([this](Connection& connection) { this->serve(connection); })
    {
    }

    uint16_t port() const { return this->listener.port; }
    /// Sets whether the store is silent: it never answers the calls that arrive meanwhile. It answers those that wait already.
    void setSilent(bool value) { this->silent = value; }
    /// Appends a record, as the operator and the workers do. An empty value drops the key.
    void write(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(this->mutex);
        this->topics[topic].push_back({ key, value });
        this->changed.notify_all();
    }

private:
    struct Entry {
        std::string key;
        std::string value;
    };

    static void appendBigEndian(std::string& out, uint64_t number, int bytes)
    {
        for (int i = bytes; i-- > 0;)
            out.push_back(static_cast<char>(number >> (8 * i)));
    }
    static uint64_t readBigEndian(const std::string& bytes, size_t at, size_t count)
    {
        uint64_t number = 0;
        for (size_t i = 0; i < count; i++)
            number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
        return number;
    }
    static std::string encodeBase64(const std::string& text)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (size_t i = 0; i < text.size(); i += 3) {
            uint32_t group = 0;
            for (size_t j = 0; j < 3; j++)
                group = group << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
            for (size_t j = 0; j < 4; j++)
                out.push_back(i + j > text.size() ? '=' : digits[group >> (18 - 6 * j) & 63]);
        }
        return out;
    }

    void serve(Connection& connection)
    {
        Message request;
        while (connection.read(request, false, noDeadline) && request.complete) {
            if (this->silent) {
                // The channel returns nothing further.
                while (!connection.isClosedByPeer())
                    sleepFor(milliseconds { 50 });
                return;
            }
            auto topic = request.query("topic");
            std::string response;
            if (request.path() == "/v1/log-append")
                response = this->append(topic, request);
            else if (request.path() == "/v1/log-read")
                response = this->readFrom(topic, request);
            else if (request.path() == "/v1/log-newest")
                response = this->readNewest(topic);
            else
                response = makeResponse(404, "", "");
            if (!connection.write(response))
                return;
        }
    }

    std::string append(const std::string& topic, const Message& request)
    {
        std::lock_guard lock(this->mutex);
        auto& entries = this->topics[topic];
        auto at = request.query("at");
        auto offset = entries.size();
        int status = 200;
        if (!at.empty() && std::stoull(at) != entries.size())
            status = 412;
        else {
            for (size_t start = 0; start + 4 < request.body.size();) {
                auto length = readBigEndian(request.body, start, 4);
                auto keyLength = readBigEndian(request.body, start + 4, 1);
                entries.push_back({ request.body.substr(start + 5, keyLength), request.body.substr(start + 5 + keyLength, length - 1 - keyLength) });
                start += 4 + length;
            }
            this->changed.notify_all();
        }
        return makeResponse(status, "Content-Type: application/json\r\n", "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(entries.size()) + "}");
    }

    std::string readFrom(const std::string& topic, const Message& request)
    {
        auto from = std::stoull(request.query("from"));
        auto wait = request.query("max-wait-ms");
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, milliseconds { wait.empty() ? 0 : std::stoll(wait) }, [&] { return this->topics[topic].size() > from; });
        const auto& entries = this->topics[topic];
        std::string body;
        appendBigEndian(body, entries.size(), 8);
        appendBigEndian(body, 0, 8);
        for (auto i = from; i < entries.size(); i++) {
            appendBigEndian(body, 1 + entries[i].key.size() + entries[i].value.size(), 4);
            appendBigEndian(body, entries[i].key.size(), 1);
            body += entries[i].key + entries[i].value;
        }
        return makeResponse(200, "Content-Type: application/octet-stream\r\n", body);
    }

    std::string readNewest(const std::string& topic)
    {
        std::lock_guard lock(this->mutex);
        const auto& entries = this->topics[topic];
        std::map<std::string, size_t> newest;
        for (size_t i = 0; i < entries.size(); i++)
            newest[entries[i].key] = i;
        std::string items;
        for (const auto& [key, offset] : newest) {
            if (!entries[offset].value.empty())
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" + encodeBase64(entries[offset].value) + "\",\"offset\":" + std::to_string(offset) + "}";
        }
        return makeResponse(200, "Content-Type: application/json\r\n", "{\"items\":[" + items + "],\"has-more\":false,\"end\":" + std::to_string(entries.size()) + "}");
    }

    std::atomic<bool> silent { false };
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<Entry>> topics;
    Listener listener;
};

/// Registers a worker in the store and renews its entry every ping interval.
class Registration {
public:
    /// @param fields further fields of the entry, as JSON, each preceded by a comma.
    Registration(Store& store, std::string id, std::string service, uint16_t port, std::string zone, int slots, std::string fields)
    {
        std::thread([=, &store] {
            constexpr milliseconds pingInterval { 1200 };
            for (int sequence = 1;; sequence++) {
                store.write("keyed.servers", id,
                    "{\"service\":\"" + service + "\",\"addr\":\"" + toAddress(port) + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
                        + ",\"state\":\"ready\",\"cold-left-ms\":0,\"born\":1700000000000,\"seq\":" + std::to_string(sequence) + fields + "}");
                sleepFor(pingInterval);
            }
        }).detach();
    }
};

/// Returns whether a TCP and a UDP socket can be bound to the port.
inline bool isPortFree(uint16_t port)
{
    bool free = true;
    for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
        int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        free = free && ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
    }
    return free;
}

/// Returns a port that was free just now. Each port is returned once. The ports lie below those that the kernel gives to outgoing
/// connections, so that none takes the port of a daemon while that starts again.
inline uint16_t freePort()
{
    constexpr int firstPort = 10000;
    constexpr int portCount = 9000;
    static int next = static_cast<int>(::getpid()) * 37 % portCount;
    while (true) {
        auto port = static_cast<uint16_t>(firstPort + next);
        next = (next + 1) % portCount;
        if (isPortFree(port))
            return port;
    }
}

/// One edge machine: the project's daemon as a process of its own, with the settings of a small deployment. The process is killed
/// when the object is destroyed or when this process ends.
class Daemon {
public:
    /// @param program path of comfreypierd.
    /// @param folder folder for the settings file and the output.
    Daemon(const std::string& program, const std::string& folder, const std::string& name, const std::string& zone, uint16_t storePort)
        : front(freePort())
        , ready(freePort())
        , program(program)
        , settings(folder + "/" + name + ".ini")
        , output(folder + "/" + name + ".log")
    {
        std::ofstream(this->settings) << "[node]\nname = " << name << "\nregion = delta\ndata_centre = " << zone << "\n[listen]\nfront = " << toAddress(this->front)
                                      << "\ndirectory = " << toAddress(freePort()) << "\nreadiness = " << toAddress(this->ready) << "\ninner = " << toAddress(freePort())
                                      << "\nmetrics = " << toAddress(freePort()) << "\n[store]\naddress = " << toAddress(storePort)
                                      << "\n[repeats]\nratio = 0.2\nslack = 52\nwindow = 10s\nfirst_start = yes\n[orders]\nlease_time = 3000ms\nworkers_check_tokens = yes\n"
                                         "[drain]\ngrace = 8s\n[limits]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_megabits = 1000\n[log]\nlevel = info\n";
        this->start();
    }
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;
    ~Daemon() { this->kill(); }

    /// Starts the process, on the same ports each time. Must be called on the main thread: the process ends with the thread. Its output is appended to the one of earlier starts.
    void start()
    {
        this->pid = ::fork();
        if (this->pid != 0)
            return;
        // Only calls that are safe between fork and exec in a process with several threads.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = ::open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (log < 0 || ::dup2(log, STDOUT_FILENO) < 0 || ::dup2(log, STDERR_FILENO) < 0)
            ::_exit(127);
        ::execl(this->program.c_str(), this->program.c_str(), "edge", "--config", this->settings.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    /// Kills the process and waits for its end.
    void kill()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
    /// Sends SIGTERM, as before planned work on the machine.
    void terminate() const { ::kill(this->pid, SIGTERM); }
    /// Returns whether the process runs; false from the first call after its end.
    bool isRunning()
    {
        if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) != 0)
            this->pid = -1;
        return this->pid > 0;
    }
    /// Returns the resident memory in megabytes.
    double residentMegabytes() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    }
    /// Returns whether the machine says that it is ready.
    bool isReady() const
    {
        auto connection = Connection::connect(this->ready);
        Message response;
        return connection->isOpen() && connection->write("GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n") && connection->read(response, true, Clock::now() + milliseconds { 1000 }) && response.status() == 200;
    }

    uint16_t front;
    uint16_t ready;

private:
    std::string program;
    std::string settings;
    std::string output;
    pid_t pid = -1;
};

/// Waits until all machines are ready. @return false if one is not ready after 15 s.
inline bool waitUntilReady(const std::vector<std::unique_ptr<Daemon>>& daemons)
{
    for (const auto& daemon : daemons) {
        auto deadline = Clock::now() + milliseconds { 15000 };
        while (!daemon->isReady()) {
            if (Clock::now() > deadline)
                return false;
            sleepFor(milliseconds { 50 });
        }
    }
    return true;
}

/// Arguments of a case: the daemon's program, a temporary folder, the folder of the case, and TROUBLE of the environment.
struct CaseArguments {
    std::string program;
    std::string temporary;
    std::string folder;
    bool trouble = true;
};

inline CaseArguments parseArguments(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s COMFREYPIERD TEMPORARY_FOLDER CASE_FOLDER\n", argv[0]);
        std::_Exit(ExitNotRun);
    }
    const char* trouble = std::getenv("TROUBLE");
    return { argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0" };
}

/// Ends the case after its machines were killed. The threads of the stand-ins end with the process.
[[noreturn]] inline void endCase(std::vector<std::unique_ptr<Daemon>>& daemons, Record& record, ExitCode code, const std::string& verdict)
{
    for (auto& daemon : daemons)
        daemon->kill();
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace review
