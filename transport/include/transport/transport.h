/// Transport layer: fibers on I/O threads, HTTP/1.1 server and client, UDP sockets, logging and metrics.
///
/// Independent of models and workers. I/O errors are returned as values of `IoError`, not thrown.
#pragma once

#include <array>
#include <atomic>
#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <charconv>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypier {

/// Holds a value of type `T` or an error of type `E`. Reading the one that is not set terminates the process.
template <class T, class E>
using Result = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

} // namespace comfreypier

namespace comfreypier::transport {

// Limits and defaults

/// Maximum size of a message head (start line and header fields).
constexpr uint32_t defaultMaxHeaderBytes = 16 * 1024;
/// Maximum size of a message body.
constexpr uint64_t defaultMaxBodyBytes = 4 * 1024 * 1024;
/// Time limit for a caller to send one complete request.
constexpr std::chrono::milliseconds defaultReadTimeout { 10000 };
/// Time after which the server closes an idle keep-alive connection.
constexpr std::chrono::milliseconds defaultIdleTimeout { 60000 };
/// Maximum number of open connections of one server.
constexpr uint32_t defaultMaxConnections = 8192;
/// Maximum number of bytes of a head, a chunk's head or trailers that are buffered before they are complete; a server's limit of a
/// head applies if it is larger.
constexpr size_t maxUnparsedBytes = 64 * 1024;
/// Time after which the server closes the connection of a caller that has acknowledged nothing while bytes for it wait. The largest time limit
/// that callers set is below it, so it ends no answer that is still of use.
constexpr std::chrono::milliseconds defaultWriteTimeout { 20000 };
/// Maximum number of idle connections that the client pools per thread and endpoint.
constexpr uint32_t maxIdleConnectionsPerEndpoint = 64;
/// Time after which the client stops using an idle pooled connection.
constexpr std::chrono::milliseconds clientIdleTimeout { 20000 };
/// Minimum interval between two searches of a thread's pool for connections that it no longer uses. They are closed.
constexpr std::chrono::milliseconds idleSweepInterval { 1000 };
/// Lower bound of the learned idle timeout. When a peer has dropped a pooled connection, the client learns half of the time
/// that this connection was idle as the idle timeout of all pooled connections.
constexpr std::chrono::milliseconds minLearnedIdleTimeout { 50 };
/// Time for which a reuse shows that peers keep connections that are idle as long. Shorter than the shortest disturbance in which
/// peers drop them sooner.
constexpr std::chrono::milliseconds provenIdleLifetime { 1000 };
/// Time for which a learned idle timeout applies; `clientIdleTimeout` applies again afterwards.
constexpr std::chrono::seconds learnedIdleTimeoutLifetime { 60 };
/// Number of earlier requests of a connection whose answers are recognized if they come again.
constexpr size_t maxRecognizedRequests = 8;
/// Maximum number and size of late copies that are skipped before an answer.
constexpr int maxLateCopies = 3;
constexpr size_t maxLateCopyBytes = 1024 * 1024;
/// Maximum number of interim responses (status 1xx) before a response.
constexpr int maxInterimResponses = 8;
/// Time limit for establishing a TCP connection.
constexpr std::chrono::milliseconds defaultConnectTimeout { 1000 };
/// A pooled connection is retired this long before the idle timeout that the peer announced in its Keep-Alive header, to allow
/// for network latency and timer inaccuracy.
constexpr std::chrono::milliseconds idleTimeoutMargin { 200 };
/// Time for which an endpoint answers nothing until it counts as unreachable.
constexpr std::chrono::milliseconds unreachableTimeout { 3000 };
/// TCP_KEEPIDLE, TCP_KEEPINTVL and TCP_KEEPCNT of connections to endpoints: time without anything from the peer before the kernel probes a connection
/// on which nothing is unacknowledged, time between probes, and number of unanswered probes after which it closes the connection.
constexpr std::chrono::seconds tcpKeepAliveIdle { 1 };
constexpr std::chrono::seconds tcpKeepAliveInterval { 1 };
constexpr int tcpKeepAliveCount = 2;
static_assert(tcpKeepAliveIdle + tcpKeepAliveCount * tcpKeepAliveInterval == unreachableTimeout);

// Errors

/// Why an I/O operation failed.
enum class IoError {
    Refused, ///< The peer refused the connection. No byte was sent.
    NotConnected, ///< The connection could not be established for another reason, such as a lack of descriptors. No byte was sent.
    ConnectTimeout, ///< The connection was not established in time. No byte was sent.
    Timeout, ///< The peer did not answer in time.
    Closed, ///< The peer closed the connection, or the connection failed.
    Malformed, ///< The received bytes are not valid HTTP, or not a status from 100 to 599.
    TooLarge, ///< Head or body exceeds a limit, or there is no memory for it.
    Cancelled, ///< Cancelled through `CancelToken`.
    Withdrawn, ///< `CallLimits::maySend` returned false. No byte was sent.
    NoPlace, ///< `CallLimits::connections` has no place for a connection, which says nothing about the peer. No byte was sent.
    Count
};

/// Returns the lower-case name of `error`. The names are stable.
const char* name(IoError error);

/// Returns true if the connection was never established. The peer has then received no byte of the request.
bool isConnectError(IoError error);

// Numbers and names of others

/// Longest duration that another party may name; a longer one counts as this one. Sums with times of any clock don't overflow.
constexpr std::chrono::hours maxForeignDuration { 24 };

/// Reads a number that another party sent as text.
/// @return nothing unless the whole text is a number that the type can hold.
template <std::integral Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Reads a decimal number that another party sent as text.
/// @return nothing unless the whole text is a finite number from 0.
std::optional<double> parseDecimal(std::string_view text, std::chars_format format = std::chars_format::general);

/// Reads a duration that another party sent as text, from 0 to `maxForeignDuration`.
/// @param unit of the number in the text.
/// @return nothing unless the whole text is a whole number.
std::optional<std::chrono::milliseconds> parseForeignDuration(std::string_view text, std::chrono::milliseconds unit);

/// Maximum number of bytes of a name in a log line.
constexpr size_t maxLoggedNameBytes = 160;

/// Returns a name that another party chose as one word of a log line: other bytes than visible ASCII become `\xHH`, as do backslashes
/// and quotes; the rest of a long name becomes `...`.
std::string escapeForLog(std::string_view name);

// Runtime: I/O threads, fibers, clocks and signals

/// IP address and port of a listener.
struct Endpoint {
    std::string address; ///< IPv4 or IPv6 address in text form.
    uint16_t port = 0; ///< 1 to 65535.
    auto operator<=>(const Endpoint&) const = default;
};

/// Formats `endpoint` as `address:port`, without brackets around an IPv6 address.
std::string toString(const Endpoint& endpoint);

/// Parses `address:port`.
/// @return the endpoint, or `IoError::Malformed` if the address or the port is invalid.
Result<Endpoint, IoError> parseEndpoint(std::string_view text);

/// I/O threads, each with an io_context and a fiber scheduler.
class Runtime {
public:
    /// Starts `threads` I/O threads.
    /// @param threads number of threads, 1 to 64.
    explicit Runtime(unsigned threads);
    /// Joins the threads. Terminates the process if a fiber that `liveFibers` counts is still running.
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    /// Runs `task` on a new fiber. Threads are picked round-robin.
    void spawn(std::function<void()> task);
    /// Runs `task` on every thread, on a new fiber each.
    void spawnOnEach(const std::function<void()>& task);
    /// Returns the number of I/O threads.
    unsigned threadCount() const;
    /// Returns the number of running fibers that `spawn` and `spawnOnEach` started.
    uint64_t liveFibers() const;
    /// Waits until all fibers that `liveFibers` counts have ended, then joins the threads.
    /// @return false if such fibers were still running after `limit`; the threads then keep running.
    bool stop(std::chrono::milliseconds limit);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Runs `task` on a new fiber of the calling I/O thread. `Runtime::liveFibers` does not count it.
void spawnOnCurrentThread(std::function<void()> task);

/// Auto-reset event that fibers of any thread can wait for.
class Event {
public:
    Event();
    ~Event();
    /// Sets the event. The wait that it wakes, or the next one if no fiber is waiting, resets it.
    void signal();
    /// Suspends the calling fiber until the event is set or `limit` has passed, and resets the event.
    /// @return true if the event was set.
    bool waitFor(std::chrono::nanoseconds limit);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Suspends the calling fiber for `duration`.
void sleepFor(std::chrono::nanoseconds duration);

/// Returns the time of the monotonic clock, which has an arbitrary start.
std::chrono::nanoseconds monotonicNow();

/// Returns the wall-clock time since the Unix epoch.
std::chrono::milliseconds wallNow();

/// Returns the time since the machine booted, including the time that it was suspended (CLOCK_BOOTTIME).
std::chrono::nanoseconds bootTimeNow();

/// Result of `waitForSignal`.
enum class ProcessSignal {
    Terminate, ///< SIGTERM or SIGINT.
    Reload, ///< SIGHUP.
    None, ///< The time limit passed.
    Count
};
/// Blocks the calling thread, which must not run fibers, until a signal arrives or `limit` has passed.
/// `blockTerminationSignals` must have been called before any thread was started.
ProcessSignal waitForSignal(std::chrono::milliseconds limit);
/// Raises the limit of open file descriptors of this process to its hard limit.
void raiseDescriptorLimit();
/// Returns the number of file descriptors that this process may have open.
uint64_t descriptorLimit();
/// Size from which a block of memory is mapped by itself, so that it goes back to the system when it is freed.
constexpr int separateBlockBytes = 32 * 1024;
/// Makes the allocator map blocks from `separateBlockBytes` by themselves. By default it raises the size whenever such a block is freed.
void keepLargeBlocksApart();
/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and all threads that it starts from now on, and ignores SIGPIPE.
void blockTerminationSignals();

// Buffers

/// Largest share of the free buffer memory that one request may hold. Requests that fill their buffers without end leave free memory
/// for the others: `n` of them hold at most `n * share / (1 + n * share)` of the whole.
constexpr double maxBufferShare = 0.5;

/// Memory of a process for what requests have received: bodies, whole answers that can't be forwarded yet, and stream events without
/// their end. Thread-safe.
class BufferMemory {
public:
    /// @param capacity bytes of all requests together.
    explicit BufferMemory(uint64_t capacity);
    /// Changes what a request holds from `held` to `wanted` bytes. Less than before is always granted.
    /// @return false if `wanted` exceeds `limit`; the request then still holds `held` bytes.
    bool tryResize(uint64_t held, uint64_t wanted);
    /// Returns the number of bytes that a request which holds `held` bytes now may hold.
    uint64_t limit(uint64_t held) const;
    /// Returns whether a request could hold this many bytes if there were no others.
    bool couldHold(uint64_t bytes) const;

private:
    const uint64_t capacity;
    std::atomic<uint64_t> used { 0 };
};

/// What one request holds of the buffer memory. Released at the end of its lifetime.
class BufferReservation {
public:
    /// @param memory must outlive the reservation.
    explicit BufferReservation(BufferMemory& memory);
    ~BufferReservation();
    BufferReservation(const BufferReservation&) = delete;
    BufferReservation& operator=(const BufferReservation&) = delete;
    /// Changes the number of bytes that the request holds.
    /// @return false if there is not enough memory; the request then holds as much as before.
    bool tryHold(uint64_t bytes);

private:
    BufferMemory& memory;
    uint64_t held = 0;
};

// Connections

/// Memory of one connection that sends nothing: its fiber's stack, its state and its first buffer.
constexpr uint64_t connectionBytes = 16 * 1024;
/// Memory of one header field beside its bytes, while it is parsed, copied for the handler and sent on.
constexpr uint64_t headerFieldBytes = 256;
/// Largest part of the connections, as a divisor, that is closed at once to make room: further callers then need not wait.
constexpr uint64_t closedAtOnceDivisor = 64;
/// Interval between two measurements of what busy connections have received and not read.
constexpr std::chrono::milliseconds unreadCheckInterval { 100 };
/// Minimum interval between two log lines about closed connections.
constexpr std::chrono::seconds pressureLogInterval { 1 };

/// Why a server closed a connection, or did not accept it.
enum class ClosedFor {
    Idle, ///< It was idle, and another needed its place.
    SlowRequest, ///< Its request arrived without progress, and memory or places were short.
    SlowReader, ///< The caller read its answer without progress.
    SentAhead, ///< The caller sent too much beyond the request that is being handled.
    NoPlace, ///< It was not accepted: all others have progress.
    Count
};

/// Returns the lower-case name of `reason`. The names are stable.
const char* name(ClosedFor reason);

/// Connections that all servers of a process may have together, and with them those that the client opens for their requests. Thread-safe.
class ConnectionBudget {
public:
    /// @param capacity number of connections of both kinds.
    /// @param serverCapacity number of connections of the servers, at most `capacity`.
    /// @param unreadCapacity bytes that the servers' connections may have received beyond the requests that are being handled.
    ConnectionBudget(uint64_t capacity, uint64_t serverCapacity, uint64_t unreadCapacity);
    /// Takes a place for a connection of a server. Threads that do so at the same time may exceed the capacity.
    /// @return false if there is none.
    bool tryTakeServerPlace();
    void giveServerPlaceBack() { this->serverConnections--; }
    /// Takes a place for a connection of the client. @return false if there is none.
    bool tryTakeClientPlace();
    void giveClientPlaceBack() { this->clientConnections--; }
    /// Counts a connection of a server that was closed or not accepted.
    void recordClosed(ClosedFor reason);

    const uint64_t capacity;
    const uint64_t serverCapacity;
    const uint64_t unreadCapacity;
    std::atomic<uint64_t> serverConnections { 0 };
    std::atomic<uint64_t> clientConnections { 0 };
    std::atomic<uint64_t> refusedClientConnections { 0 }; ///< Not opened because there was no place.
    std::array<std::atomic<uint64_t>, static_cast<size_t>(ClosedFor::Count)> closed {};

private:
    std::atomic<std::chrono::nanoseconds> loggedAt { std::chrono::nanoseconds { 0 } };
};

/// Side on which a connection was opened.
enum class ConnectionSide {
    Caller, ///< By a caller, to a server of this process.
    Endpoint, ///< By a client of this process.
    Count
};

/// Returns the lower-case name of `side`. The names are stable.
const char* name(ConnectionSide side);

/// Who ended a connection while its peer had not acknowledged all that was sent on it.
enum class CutBy {
    Peer, ///< The peer closed or reset it.
    Unreachable, ///< The client or the kernel: the peer answered nothing in time.
    WriteTimeout, ///< The server: the peer read nothing for `ServerLimits::writeTimeout`.
    Pressure, ///< The server, see `ClosedFor`.
    Self, ///< This process for another reason: a time limit, a cancelled call, a stop.
    Count
};

/// Returns the lower-case name of `by`. The names are stable.
const char* name(CutBy by);

/// Returns the number of connections of the process that were ended so.
uint64_t cutConnections(ConnectionSide side, CutBy by);

/// Formats all numbers of `cutConnections` as lines of metrics.
std::string formatCutConnections();

// HTTP

/// HTTP header field.
struct Header {
    std::string name;
    std::string value;
};

/// HTTP request with its complete body.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;
};

/// HTTP response with its complete body.
struct HttpResponse {
    unsigned status = 200;
    std::vector<Header> headers;
    std::string body;
};

/// Returns the value of the first header field `name`, ignoring case, or an empty view if there is none.
std::string_view findHeader(const std::vector<Header>& headers, std::string_view name);

/// Returns the headers of a message that are forwarded with it: all but those that apply to its connection alone (hop-by-hop headers and what
/// `Connection` lists) and `Content-Length`, which the sender of the forwarded message sets.
std::vector<Header> endToEndHeaders(const std::vector<Header>& headers);

/// Returns the path of a request target, without its query string.
std::string_view targetPath(std::string_view target);

/// Returns the value of the query parameter `key` as sent (not percent-decoded), or an empty string if there is none.
std::string queryValue(std::string_view target, std::string_view key);

/// Sends the response to one request. The functions that send return false once a write has failed, `watchCaller` has noticed a
/// disconnect, or `abort` was called. If the handler returns without a response, the connection is closed.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;
    /// Sends a complete response.
    virtual bool send(const HttpResponse& response) = 0;
    /// Sends the response head and starts a chunked body.
    virtual bool startStream(unsigned status, const std::vector<Header>& headers) = 0;
    /// Sends one chunk of the body.
    virtual bool writeChunk(std::string_view bytes) = 0;
    /// Ends the chunked body.
    virtual bool finishStream() = 0;
    /// Makes the server close the connection without the final chunk when the handler returns, so that the caller detects the
    /// truncated body.
    virtual void abort() = 0;
    /// Returns true if the caller has closed its side of the connection, a write has failed, or `abort` was called.
    virtual bool isCallerGone() = 0;
    /// Calls `onDisconnect` once, on the I/O thread of the connection, if the caller closes its side of the connection before
    /// `unwatchCaller`. `onDisconnect` must not suspend. The watch ends unnoticed if the caller sends further bytes first.
    virtual void watchCaller(std::function<void()> onDisconnect) = 0;
    /// Stops watching. Must be called before the handler returns.
    virtual void unwatchCaller() = 0;
};

/// Handles one request. Runs on the fiber of the connection.
using HttpHandler = std::function<void(const HttpRequest&, ResponseWriter&)>;

/// Makes the response to a request that the server rejects before it reaches the handler. `reason` is the name of the cause, such
/// as `header_too_large`.
using ErrorResponseFactory = std::function<HttpResponse(unsigned status, std::string_view reason)>;

/// Limits of an HTTP server. The constants that hold the default values explain them.
struct ServerLimits {
    uint32_t maxHeaderBytes = defaultMaxHeaderBytes;
    uint64_t maxBodyBytes = defaultMaxBodyBytes;
    std::chrono::milliseconds readTimeout = defaultReadTimeout;
    std::chrono::milliseconds idleTimeout = defaultIdleTimeout;
    std::chrono::milliseconds writeTimeout = defaultWriteTimeout;
    uint32_t connectionLimit = defaultMaxConnections;
};

/// Counters of an HTTP server.
struct ServerStats {
    uint64_t connections = 0; ///< Currently open.
    uint64_t accepted = 0; ///< Connections accepted since the start, without those over the limit.
    uint64_t activeRequests = 0; ///< Currently in the handler.
    uint64_t unreadAnswers = 0; ///< Connections on which something was sent that the caller may not have read yet.
    uint64_t requests = 0; ///< Passed to the handler since the start.
    uint64_t malformed = 0; ///< Requests rejected before the handler: invalid, too large or not sent in time.
    uint64_t overLimit = 0; ///< Connections closed on accept because `connectionLimit` or the budget was reached.
};

/// HTTP/1.1 server. All I/O threads accept connections from the same listening socket.
class HttpServer {
public:
    /// @param memory for the heads and bodies of requests; one for which it does not suffice gets 503. Must outlive the server. Null for no limit.
    /// @param connections places of connections, shared with other servers. Must outlive the server. Null for no limit but that of `limits`.
    HttpServer(Runtime& runtime, Endpoint listen, ServerLimits limits, HttpHandler handler, ErrorResponseFactory makeErrorResponse, BufferMemory* memory = nullptr, ConnectionBudget* connections = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds the address and starts accepting connections. Blocks until all I/O threads have tried to, so it must not be called
    /// on one of them.
    /// @return false if the address can't be bound or an I/O thread can't accept.
    bool start();
    /// Replaces the limits. Requests that are already being read keep the old ones.
    void setLimits(const ServerLimits& limits);
    /// Closes connections of the calling I/O thread whose callers read their answers without progress, the slowest first: a part of all at most.
    /// Their handlers then give back the memory of the answers.
    /// @return how many are closed.
    size_t closeSlowReaders();
    /// Adds `Connection: close` to all further responses. The server still accepts connections.
    void announceClose();
    /// Stops accepting connections and closes idle ones, once their callers have read the last answer. Requests in progress are completed.
    void stopAccepting();
    /// Stops accepting and cancels the pending reads and writes of all connections, so that their fibers close them. Further calls
    /// do nothing, so the runtime may stop before the server is destroyed.
    void closeAll();
    /// Returns the current counters.
    ServerStats stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

class CancelRegistration;

/// Cancels client calls from another fiber of the same I/O thread.
class CancelToken {
public:
    /// Makes the running calls fail with `IoError::Cancelled`. Later calls with this token fail immediately.
    void cancel();
    bool isCancelled() const { return this->cancelled; }

private:
    friend class CancelRegistration;
    std::set<CancelRegistration*> registrations; ///< Of the running calls.
    bool cancelled = false;
};

/// Limits and options of one client call.
struct CallLimits {
    std::chrono::milliseconds connect = defaultConnectTimeout; ///< Time to establish a connection.
    /// Time to send the request and receive the response head.
    std::chrono::milliseconds response { 10000 };
    /// Time that `HttpClient::call` allows for the whole body; by default that for the head.
    std::optional<std::chrono::milliseconds> body = std::nullopt;
    uint64_t maxBodyBytes = defaultMaxBodyBytes; ///< A larger response body fails with `IoError::TooLarge`.
    BufferMemory* memory = nullptr; ///< For the answer, in place of that of the client. Optional. Must outlive the response stream.
    CancelToken* cancel = nullptr; ///< Optional. Must outlive the call and its response stream.
    /// Asked once there is a connection, before the first byte is written: opening it may take long. If it returns false, the call fails with
    /// `IoError::Withdrawn`. Optional.
    std::function<bool()> maySend;
    /// Uses a new connection for this call only: the peer of a pooled one may have become unreachable, and may answer an earlier call
    /// once more.
    bool freshConnection = false;
    /// Name of the header with the request's id, which the peer echoes. A late second copy of the answer to an earlier request on the same
    /// connection is then skipped. If empty, answers are not matched.
    std::string_view idHeader;
    /// Places for a new connection. Without one the call fails with `IoError::NoPlace`. Optional; must outlive the client.
    ConnectionBudget* connections = nullptr;
    /// Numbers of connections that are not used, see `ResponseStream::connectionNumber`. Optional.
    const std::set<uint64_t>* avoidedConnections = nullptr;
};

/// Response whose body is read incrementally.
class ResponseStream {
public:
    virtual ~ResponseStream() = default;
    virtual unsigned status() const = 0;
    virtual const std::vector<Header>& headers() const = 0;
    /// Returns the number of the connection, which no other connection of this process has.
    virtual uint64_t connectionNumber() const = 0;
    /// Returns whether the request was the first one on its connection. Only then is the answer certainly not that of an earlier request.
    virtual bool isFirstOnConnection() const = 0;
    /// Replaces `CallLimits::cancel` for the rest of the response.
    /// @param token may be null; else it must outlive the stream.
    virtual void setCancelToken(CancelToken* token) = 0;
    /// Waits for the next bytes of the body. An empty view marks its end.
    /// @param timeout maximum time to wait. No bytes are lost on `IoError::Timeout`: the next call continues the body.
    virtual Result<std::string_view, IoError> read(std::chrono::milliseconds timeout) = 0;
};

/// An answer that has begun and is not valid HTTP, exceeds a limit or the memory for it, or has ended early.
struct BrokenAnswer {
    Endpoint peer;
    std::string call; ///< Method and target of the request.
    std::string id; ///< Id of the request, see `CallLimits::idHeader`; empty if it has none.
    IoError error = IoError::Malformed; ///< With which the call or the read fails.
    std::string fault; ///< What is wrong.
    std::string bytes; ///< Part of the answer that is wrong, as received; what was not parsed of it if it has ended early, or empty.
};
using BrokenAnswerHandler = std::function<void(const BrokenAnswer&)>;

/// Formats a broken answer as words of a log line, with what others chose escaped.
std::string formatForLog(const BrokenAnswer& answer);

/// HTTP/1.1 client with a pool of idle connections per thread. Fails calls whose answers are not valid, with `IoError::Malformed` or
/// `IoError::TooLarge`, and does not use their connections again.
class HttpClient {
public:
    /// @param onBrokenAnswer called on the fiber of the call for each answer that is not valid. Must not suspend. May be empty.
    /// @param memory for heads, unparsed bytes and the bodies that `call` reads; an answer for which it does not suffice is too large. Must
    /// outlive the client and its response streams. Null for no limit but those of the call.
    explicit HttpClient(BrokenAnswerHandler onBrokenAnswer = {}, BufferMemory* memory = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends `request` and reads the complete response. `CallLimits::response` also limits each wait for further bytes of the body.
    /// Must run on a fiber of a `Runtime`.
    Result<HttpResponse, IoError> call(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits);
    /// Sends `request` and returns when the response head has arrived. Destroying the stream before its end closes the
    /// connection. The `Host` field is the endpoint unless the request sets it. Must run on a fiber of a `Runtime`, as must all uses
    /// of the stream, on the same thread.
    Result<std::unique_ptr<ResponseStream>, IoError> open(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits);
    /// Closes the pooled connections of the calling thread to an endpoint, which may be dead.
    void closeIdleConnections(const Endpoint& endpoint);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

// Datagrams

/// Maximum size of a sent or received datagram. Larger ones are not sent, and truncated when received.
constexpr size_t maxDatagramBytes = 60 * 1024;

/// UDP socket on one I/O thread. Datagrams may be lost, duplicated or reordered.
class DatagramSocket {
public:
    /// Handles one datagram. Runs on the receiving fiber.
    using Receiver = std::function<void(std::string_view bytes)>;

    DatagramSocket(Runtime& runtime, Endpoint listen, Receiver receiver);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    /// Binds the address and starts the receiving fiber. Blocks until the address is bound, so it must not be called on an I/O thread.
    /// @return false if the address can't be bound.
    bool start();
    /// Sends without waiting. `start` must have succeeded before.
    /// @return false if the datagram was dropped: it is larger than `maxDatagramBytes`, the socket's send buffer is full, or the system
    /// refused it.
    [[nodiscard]] bool send(const Endpoint& to, std::string_view bytes);
    /// Closes the socket and ends the receiving fiber.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

// Logging

/// Severity of a log line.
enum class LogLevel { Debug,
    Info,
    Warn,
    Error,
    Count };

/// Token bucket that limits the log lines of the process. Lines beyond the rate and burst are dropped and counted.
constexpr double maxLogLinesPerSecond = 400;
constexpr double maxLogLineBurst = 2000;

/// Lowest level that a part of the program prints.
struct PartLevel {
    std::string part;
    LogLevel level = LogLevel::Info;
};
/// Sets up logging to standard output. A line that would block or exceeds the rate limit is dropped and counted.
/// @param level lowest printed level of parts that are not in `parts`.
/// @param parts lowest printed level of single parts.
void setUpLogging(LogLevel level, const std::vector<PartLevel>& parts);

/// Returns the number of lines dropped since the start because standard output was blocked or the rate limit was exceeded.
uint64_t droppedLogLines();

/// Parses `debug`, `info`, `warn` or `error` into `level`.
/// @return false if `text` is none of these; `level` is then unchanged.
bool parseLogLevel(std::string_view text, LogLevel& level);

/// Writes log lines with the name of a part as prefix. Control characters become `\xHH`.
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

// Metrics

/// Number of independently locked shards of one distribution.
constexpr unsigned distributionShardCount = 8;

/// Count, mean, quantiles and maximum of recorded durations.
struct DistributionStats {
    uint64_t count = 0;
    std::chrono::nanoseconds mean { 0 };
    std::chrono::nanoseconds p50 { 0 };
    std::chrono::nanoseconds p99 { 0 };
    std::chrono::nanoseconds max { 0 };
};

/// Streaming distribution of durations. Thread-safe.
class Distribution {
public:
    Distribution();
    ~Distribution();
    /// Adds a duration.
    void record(std::chrono::nanoseconds value);
    /// Returns the statistics over all shards. The quantiles are approximate: the count-weighted mean of the shards' quantiles.
    DistributionStats stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// Returns the CPU time that this process has used, in user and kernel mode.
std::chrono::nanoseconds processCpuTime();

/// Returns the resident memory of this process in bytes.
uint64_t residentBytes();

} // namespace comfreypier::transport
