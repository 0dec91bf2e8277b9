/// Transport layer: fibers on I/O threads, HTTP/1.1 server and client, logging and metrics.
///
/// Knows nothing of models or workers. Errors are values of `IoError`.
#pragma once

#include <array>
#include <atomic>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypier {

/// Result value: holds `T` or the typed error `E`. Reading the wrong side stops the process.
template <class T, class E>
using Result = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

} // namespace comfreypier

namespace comfreypier::transport {

// ---------------------------------------------------------------- limits and defaults

/// Largest accepted message head, in bytes.
constexpr uint32_t defaultMaxHeaderBytes = 16 * 1024;
/// Largest accepted message body, in bytes.
constexpr uint64_t defaultMaxBodyBytes = 4 * 1024 * 1024;
/// Longest time for a peer to send one whole request.
constexpr std::chrono::milliseconds defaultReadTimeout { 10000 };
/// Longest time a keep-alive connection stays idle at the server.
constexpr std::chrono::milliseconds defaultIdleTimeout { 60000 };
/// Most connections that one server serves at a time.
constexpr uint32_t defaultMaxConnections = 8192;
/// Longest time one write to a slow peer may take.
constexpr std::chrono::milliseconds defaultWriteTimeout { 20000 };
/// Most idle connections that the client keeps per thread and endpoint.
constexpr uint32_t maxIdleConnectionsPerEndpoint = 64;
/// Longest time the client keeps a connection idle.
constexpr std::chrono::milliseconds clientIdleTimeout { 20000 };
/// After a pooled connection was found dropped by its peer, others rest at most half as long as it did, but this long at least,
constexpr std::chrono::milliseconds minLearnedIdleTimeout { 50 };
/// for this time.
constexpr std::chrono::seconds learnedIdleTimeoutLifetime { 60 };
/// Time limit for opening a TCP connection.
constexpr std::chrono::milliseconds defaultConnectTimeout { 1000 };
/// Time by which a pooled connection is retired before the peer's announced idle limit; covers a slow network and timers.
constexpr std::chrono::milliseconds idleTimeoutMargin { 500 };
/// Longest time that sent bytes stay unacknowledged before the system gives a connection up.
constexpr std::chrono::milliseconds tcpUserTimeout { 3000 };
/// Idle time before the system probes a connection, time between probes, and probes without an answer that end it.
constexpr std::chrono::seconds tcpKeepAliveIdle { 2 };
constexpr std::chrono::seconds tcpKeepAliveInterval { 1 };
constexpr int tcpKeepAliveCount = 3;

// ---------------------------------------------------------------- errors

/// Why an I/O operation failed.
enum class IoError {
    Refused, ///< The connection could not be opened: no byte was sent.
    ConnectTimeout, ///< The connection was not open in time: no byte was sent.
    Timeout, ///< The peer did not answer in time.
    Closed, ///< The peer closed the connection.
    Malformed, ///< The peer's bytes are not valid HTTP.
    TooLarge, ///< Head or body is larger than the limit.
    Cancelled, ///< The call's owner cancelled it.
    Count
};

/// Returns the stable lower-case name of `error`.
const char* name(IoError error);

/// Tells whether `error` proves that no byte of the request reached the peer.
bool isConnectError(IoError error);

// ---------------------------------------------------------------- runtime

/// IP number and TCP port of one listener.
struct Endpoint {
    std::string address; ///< IPv4 or IPv6 number.
    uint16_t port = 0; ///< TCP port, 1 to 65535.
    auto operator<=>(const Endpoint&) const = default;
};

/// Formats `endpoint` as `address:port`.
std::string toString(const Endpoint& endpoint);

/// Parses `address:port`.
/// @return the endpoint, or false as second value of the pair when `text` has another form.
Result<Endpoint, IoError> parseEndpoint(std::string_view text);

/// Threads that each run one io_context and one fiber scheduler.
class Runtime {
public:
    /// Starts `threads` I/O threads.
    /// @param threads number of threads, 1 to 64.
    explicit Runtime(unsigned threads);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    /// Runs `task` on a new fiber of the next thread, round robin.
    void spawn(std::function<void()> task);
    /// Runs `task` on a new fiber of every thread.
    void spawnOnEach(const std::function<void()>& task);
    /// Number of I/O threads.
    unsigned threadCount() const;
    /// Fibers started through this runtime that have not ended.
    uint64_t liveFibers() const;
    /// Ends the threads once their fibers have ended, or after `limit`.
    /// @return true if all fibers ended in time.
    bool stop(std::chrono::milliseconds limit);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Runs `task` on a new fiber of the calling I/O thread.
void spawnOnCurrentThread(std::function<void()> task);

/// Wakes fibers of any thread.
class Event {
public:
    Event();
    ~Event();
    /// Wakes all waiting fibers, or the next one to wait.
    void signal();
    /// Suspends the calling fiber until a signal came since the last wait, or `limit` has passed.
    /// @return true if signalled.
    bool waitFor(std::chrono::nanoseconds limit);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Suspends the calling fiber for `duration`.
void sleepFor(std::chrono::nanoseconds duration);

/// Returns the monotonic time since an arbitrary start.
std::chrono::nanoseconds monotonicNow();

/// Returns the wall-clock time since the Unix epoch.
std::chrono::milliseconds wallNow();

/// Returns the time since the machine started, with the time for which it was suspended.
std::chrono::nanoseconds bootTimeNow();

/// Why `waitForSignal` returned.
enum class ProcessSignal {
    Terminate, ///< SIGTERM or SIGINT.
    Reload, ///< SIGHUP.
    None, ///< The time limit passed.
    Count
};
/// Blocks the calling (non-fiber) thread until a signal arrives or `limit` has passed.
/// Signals must have been blocked by `blockTerminationSignals` before any thread started.
ProcessSignal waitForSignal(std::chrono::milliseconds limit);
/// Raises this process's limit of open descriptors to the most that the system allows.
void raiseDescriptorLimit();
/// Blocks SIGTERM, SIGINT and SIGHUP in this and all later threads and ignores SIGPIPE.
void blockTerminationSignals();

// ---------------------------------------------------------------- HTTP

/// One HTTP header field.
struct Header {
    std::string name;
    std::string value;
};

/// One whole HTTP request.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;
};

/// One whole HTTP response.
struct HttpResponse {
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
};

/// Returns the value of the first field called `name` (any case), or an empty view.
std::string_view findHeader(const std::vector<Header>& headers, std::string_view name);

/// Returns the part of `target` before `?`.
std::string_view targetPath(std::string_view target);

/// Returns the value of query parameter `key` in `target`, or an empty string.
std::string queryValue(std::string_view target, std::string_view key);

/// Answers one request. All functions return false once the caller has gone.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;
    /// Sends a whole response.
    virtual bool send(const HttpResponse& response) = 0;
    /// Sends a head and starts a chunked body.
    virtual bool startStream(unsigned status, const std::vector<Header>& headers) = 0;
    /// Sends one chunk of the body.
    virtual bool writeChunk(std::string_view bytes) = 0;
    /// Ends the chunked body.
    virtual bool finishStream() = 0;
    /// Closes the connection without ending the body, so that the caller sees the cut.
    virtual void abort() = 0;
    /// Tells whether the caller has closed its side.
    virtual bool isCallerGone() = 0;
    /// Calls `onGone` once on this I/O thread when the caller closes its side, until `unwatchCaller`.
    virtual void watchCaller(std::function<void()> onGone) = 0;
    /// Ends the watch. Must be called before the handler returns.
    virtual void unwatchCaller() = 0;
};

/// Handles one request on its own fiber.
using HttpHandler = std::function<void(const HttpRequest&, ResponseWriter&)>;

/// Makes the body of the answer to a request that the server itself refuses.
using ErrorResponseFactory = std::function<HttpResponse(unsigned status, std::string_view reason)>;

/// Limits of one HTTP server.
struct ServerLimits {
    uint32_t maxHeaderBytes = defaultMaxHeaderBytes; ///< Bytes.
    uint64_t maxBodyBytes = defaultMaxBodyBytes; ///< Bytes.
    std::chrono::milliseconds readTimeout = defaultReadTimeout;
    std::chrono::milliseconds idleTimeout = defaultIdleTimeout;
    std::chrono::milliseconds writeTimeout = defaultWriteTimeout;
    uint32_t connectionLimit = defaultMaxConnections;
};

/// Counters of one HTTP server.
struct ServerStats {
    uint64_t connections = 0; ///< Open now.
    uint64_t activeRequests = 0; ///< In a handler now.
    uint64_t requests = 0; ///< Handled since the start.
    uint64_t malformed = 0; ///< Refused before a handler saw them.
    uint64_t overLimit = 0; ///< Connections closed because of `connectionLimit`.
};

/// HTTP/1.1 server with one listener per I/O thread.
class HttpServer {
public:
    HttpServer(Runtime& runtime, Endpoint listen, ServerLimits limits, HttpHandler handler, ErrorResponseFactory errorBody);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Opens the listeners.
    /// @return false if the address can't be bound.
    bool start();
    /// Replaces the limits; requests that are being read keep the old ones.
    void setLimits(const ServerLimits& limits);
    /// From now on each answer asks the caller to close its connection; the listeners stay open.
    void announceClose();
    /// Closes the listeners; open requests go on, idle connections close.
    void stopAccepting();
    /// Closes every connection at once; does nothing a second time, so that the runtime may end before the server.
    void closeAll();
    /// Current counters.
    ServerStats stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

/// Cancels one call from another fiber of the same I/O thread.
class CancelToken {
public:
    /// Ends the call at its current wait with `IoError::Cancelled`; later calls with this object fail at once.
    void cancel();
    bool isCancelled() const { return this->cancelled; }

private:
    friend class CancelRegistration;
    std::function<void()> hook;
    bool cancelled = false;
};

/// Time limits of one client call.
struct CallLimits {
    std::chrono::milliseconds connect = defaultConnectTimeout;
    std::chrono::milliseconds response { 10000 }; ///< Until the head of the answer.
    uint64_t maxBodyBytes = defaultMaxBodyBytes; ///< Bytes.
    CancelToken* cancel = nullptr; ///< Must outlive the call and its response stream.
    bool freshConnection = false; ///< Opens a new connection in place of a pooled one, which may have gone silent.
};

/// Body of a response that arrives piece by piece.
class ResponseStream {
public:
    virtual ~ResponseStream() = default;
    virtual unsigned status() const = 0;
    virtual const std::vector<Header>& headers() const = 0;
    /// Waits for the next bytes. An empty view is the end of the body.
    /// @param timeout longest time to wait; after `IoError::Timeout` the caller may read on.
    virtual Result<std::string_view, IoError> read(std::chrono::milliseconds timeout) = 0;
};

/// HTTP/1.1 client with a pool of idle connections for each thread.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends `request` and reads the whole answer. Must run on a fiber of a `Runtime`.
    Result<HttpResponse, IoError> call(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits);
    /// Sends `request` and returns once the head of the answer is there. Destroying the stream cancels it.
    /// A `Host` field of the request goes before the endpoint's address.
    Result<std::unique_ptr<ResponseStream>, IoError> open(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

// ---------------------------------------------------------------- datagrams

/// Largest datagram that is sent or received, in bytes.
constexpr size_t maxDatagramBytes = 60 * 1024;

/// UDP socket of one I/O thread. Datagrams may be lost, doubled or overtake each other.
class DatagramSocket {
public:
    /// Handles one datagram on a fiber.
    using Receiver = std::function<void(std::string_view bytes)>;

    DatagramSocket(Runtime& runtime, Endpoint listen, Receiver receiver);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    /// Binds the address and receives from then on.
    /// @return false if the address can't be bound.
    bool start();
    /// Sends without waiting; a datagram that does not fit the socket's buffer is dropped.
    void send(const Endpoint& to, std::string_view bytes);
    /// Ends the receiving fiber.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

// ---------------------------------------------------------------- logging

/// Severity of a log line.
enum class LogLevel { Debug,
    Info,
    Warn,
    Error,
    Count };

/// Most log lines that a process prints a second on average, and at once; more are dropped and counted.
constexpr double maxLogLinesPerSecond = 400;
constexpr double maxLogLineBurst = 2000;

/// Sets up logging to standard output. A line that would block or exceeds the rate is dropped and counted.
/// @param level lowest level that is printed, for parts without their own level.
/// @param parts lowest level for each named part.
struct PartLevel {
    std::string part;
    LogLevel level = LogLevel::Info;
};
void setUpLogging(LogLevel level, const std::vector<PartLevel>& parts);

/// Lines dropped since the start because the reader was slow or the rate too high.
uint64_t droppedLogLines();

/// Parses `debug`, `info`, `warn` or `error`.
bool parseLogLevel(std::string_view text, LogLevel& level);

/// Writes log lines with the fixed prefix of one part.
class Log {
public:
    explicit Log(const char* part);
    void debug(const std::string& text) const;
    void info(const std::string& text) const;
    void warn(const std::string& text) const;
    void error(const std::string& text) const;

private:
    std::string part;
};

// ---------------------------------------------------------------- metrics

/// Number of independently locked shards of one distribution.
constexpr unsigned distributionShardCount = 8;

/// Quantiles and mean of recorded durations.
struct DistributionStats {
    uint64_t count = 0;
    std::chrono::nanoseconds mean { 0 };
    std::chrono::nanoseconds p50 { 0 };
    std::chrono::nanoseconds p99 { 0 };
    std::chrono::nanoseconds max { 0 };
};

/// Streaming distribution of durations, safe to use from several threads.
class Distribution {
public:
    Distribution();
    ~Distribution();
    /// Adds one duration.
    void record(std::chrono::nanoseconds value);
    /// Merged figures; the quantiles are the count-weighted mean over shards.
    DistributionStats stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Processor time that this process has used.
std::chrono::nanoseconds processCpuTime();

/// Resident memory of this process, in bytes.
uint64_t residentBytes();

} // namespace comfreypier::transport
