/// HTTP/1.1 server over Boost.Beast: one listening socket that all I/O threads accept from, one fiber per connection.
#include "connection_pressure.h"
#include "send_watch.h"
#include "strict_parser.h"

#include <algorithm>
#include <malloc.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace comfreypier::transport {

namespace {

    /// Delay after a failed accept, for example when the process is out of file descriptors.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

    /// Time limit for reading the remaining bytes of a rejected request.
    constexpr std::chrono::milliseconds drainTimeout { 1000 };

    /// Size of the sockets' receive buffers if connections have a budget: what callers send ahead waits there.
    constexpr int receiveBufferBytes = 16 * 1024;
    /// Bytes that wait in the kernel for the window of a caller if connections have a budget; what else is to be sent waits at its handler. What
    /// fits into the window is not limited.
    constexpr int maxUnsentBytes = 16 * 1024;
    /// Bytes that callers may leave unacknowledged in the kernel for each place of the budget, on average: those that wait and some that are on their way. A
    /// caller that vanishes leaves a whole window.
    constexpr uint64_t unacknowledgedBytesPerPlace = maxUnsentBytes + 4 * 1024;
    /// Largest number of tries to get memory or a place that others are about to give back, and the delay between two.
    constexpr int roomTries = 10;
    constexpr std::chrono::milliseconds roomDelay { 2 };

    /// Interval at which a connection that is to be closed looks whether its caller has read the last answer.
    constexpr std::chrono::milliseconds unreadPollInterval { 25 };

    /// Shared with the pending wait, which may outlive the writer.
    struct DisconnectWatch {
        std::function<void()> onDisconnect; ///< Empty once it was called or the watch has ended.
    };

    struct Connection {
        Connection(asio::io_context& context, const void* server, BufferMemory* memory, ConnectionBudget* budget, SendWatch::Count unreadAnswers)
            : stream(Stream::executor_type { context.get_executor() })
            , sendWatch(this->stream.socket(), ConnectionSide::Caller, std::move(unreadAnswers))
            , timer(context)
            , server(server)
            , memory(memory)
            , budget(budget)
        {
        }
        ~Connection()
        {
            if (this->hasPlace)
                this->budget->giveServerPlaceBack();
        }
        Connection(const Connection&) = delete;
        Connection& operator=(const Connection&) = delete;

        /// Returns what the connection is doing. One that waits for a request while its caller still reads the last answer is not idle.
        ConnectionActivity currentActivity() const
        {
            if (this->activity.state != ConnectionState::Idle || !this->sendWatch.isWaiting())
                return this->activity;
            return { ConnectionState::Writing, this->activity.since, this->sendWatch.progressAt(), 0, std::nullopt };
        }

        Stream stream;
        SendWatch sendWatch;
        asio::steady_timer timer; ///< For waits between requests. Cancelled when the server ends all connections.
        const void* server; ///< The server that accepted it.
        BufferMemory* memory; ///< Memory for what it sends.
        ConnectionBudget* budget; ///< Null if it has none.
        beast::flat_buffer buffer; ///< Bytes that were received but not parsed yet.
        ConnectionActivity activity;
        std::weak_ptr<DisconnectWatch> watch; ///< Empty if the handler doesn't watch the caller.
        double minRate = 0; ///< Bytes a second from which a request or the reading of an answer has progress.
        bool hasPlace = false; ///< It has taken a place of the budget.
        bool closing = false; ///< Its socket was closed early: to make room, or because its caller reads too slowly.
        bool ending = false; ///< The server ends all connections, see `HttpServer::closeAll`.
        bool idle = true; ///< No request is being read or handled.
        bool served = false; ///< A request has been received.
    };

    /// Open connections of a thread, of all its servers. Each is owned by its fiber. The set is never destroyed: fibers that the thread ends last
    /// still use it.
    thread_local auto& threadConnections = *new std::set<Connection*>;
    /// Receives what connections of the thread send after an error response.
    thread_local std::array<char, 16 * 1024> discarded;
    /// A fiber of this thread runs `superviseConnections`.
    thread_local bool supervisorRunning = false;
    /// A connection of this thread got no memory in the current round of `superviseConnections`.
    thread_local bool memoryWasShort = false;
    /// Checks in each round of `superviseConnections`.
    constexpr int checksPerRound = 10;

    /// Closes the socket of a connection, and drops what its caller has not acknowledged: the kernel would keep that for minutes. Its fiber gives back
    /// the rest once its pending operation has failed.
    void closeEarly(Connection& connection, CutBy by)
    {
        connection.closing = true;
        connection.sendWatch.recordEnd(by);
        auto& socket = connection.stream.socket();
        ErrorCode ignored;
        if (unacknowledgedBytes(socket.native_handle()).value_or(0) > 0)
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        connection.stream.close();
        auto watch = connection.watch.lock();
        if (watch && watch->onDisconnect)
            std::exchange(watch->onDisconnect, nullptr)();
    }

    void closeToMakeRoom(Connection& connection, ClosedFor reason)
    {
        closeEarly(connection, CutBy::Pressure);
        if (connection.budget != nullptr)
            connection.budget->recordClosed(reason);
    }

    /// Closes connections of this thread that cost their callers least.
    /// @param mayClose returns whether closing a connection frees what is short.
    /// @param divisor the part of the connections that is closed at most; one at least.
    /// @return how many are closed.
    template <class MayClose>
    size_t makeRoom(MayClose&& mayClose, bool mayCloseIdle, uint64_t divisor)
    {
        std::vector<Connection*> connections;
        std::vector<ConnectionActivity> activities;
        double minRate = 0;
        for (auto* connection : threadConnections) {
            if (connection->closing || !mayClose(*connection))
                continue;
            connections.push_back(connection);
            activities.push_back(connection->currentActivity());
            minRate = std::max(minRate, connection->minRate);
        }
        auto chosen = chooseConnectionsToClose(activities, monotonicNow(), minRate, mayCloseIdle, connections.size() / divisor + 1);
        for (auto index : chosen) {
            auto state = activities[index].state;
            ErrorCode ignored;
            if (state == ConnectionState::Idle && connections[index]->stream.socket().available(ignored) > 0)
                continue; // Its next request has arrived.
            closeToMakeRoom(*connections[index], state == ConnectionState::Idle ? ClosedFor::Idle : state == ConnectionState::Reading ? ClosedFor::SlowRequest
                                                                                                                                      : ClosedFor::SlowReader);
        }
        return chosen.size();
    }

    /// Closes the connections of this thread that have sent most ahead, until the rest is within the budget.
    void closeThoseSentAhead(const ConnectionBudget& budget)
    {
        std::vector<std::pair<size_t, Connection*>> unread;
        uint64_t sum = 0;
        for (auto* connection : threadConnections) {
            ErrorCode ignored;
            // Those of other servers have other budgets.
            auto bytes = connection->budget == &budget && !connection->closing ? connection->stream.socket().available(ignored) : 0;
            sum += bytes;
            bool beyondRequest = connection->activity.state == ConnectionState::Handling || connection->activity.state == ConnectionState::Writing;
            if (bytes > 0 && beyondRequest)
                unread.emplace_back(bytes, connection);
        }
        std::sort(unread.rbegin(), unread.rend());
        for (size_t i = 0; i < unread.size() && sum > budget.unreadCapacity; i++) {
            sum -= unread[i].first;
            closeToMakeRoom(*unread[i].second, ClosedFor::SentAhead);
        }
    }

    /// Closes the connections of this thread whose callers have acknowledged nothing for longest, until what the others leave unacknowledged in the
    /// kernel is within their part.
    void closeThoseUnacknowledged(const ConnectionBudget& budget)
    {
        auto now = monotonicNow();
        std::vector<std::pair<std::chrono::nanoseconds, Connection*>> stalled;
        uint64_t sum = 0;
        for (auto* connection : threadConnections) {
            auto bytes = connection->budget == &budget && !connection->closing ? connection->sendWatch.lastUnacknowledgedBytes() : 0;
            sum += bytes;
            // Others may just have sent it.
            if (bytes > 0 && now - connection->sendWatch.progressAt() >= progressWindow)
                stalled.emplace_back(connection->sendWatch.progressAt(), connection);
        }
        std::sort(stalled.begin(), stalled.end());
        for (size_t i = 0; i < stalled.size() && sum > budget.serverCapacity * unacknowledgedBytesPerPlace; i++) {
            sum -= stalled[i].second->sendWatch.lastUnacknowledgedBytes();
            closeToMakeRoom(*stalled[i].second, ClosedFor::SlowReader);
        }
    }

    /// Number of a thread's connections from which they are supervised.
    size_t supervisedConnections(const ConnectionBudget& budget)
    {
        return std::min(budget.unreadCapacity / receiveBufferBytes, budget.serverCapacity / 4);
    }

    /// Runs while this thread has many connections or memory is short. Then gives free memory back to the system.
    void superviseConnections(const ConnectionBudget& budget)
    {
        do {
            memoryWasShort = false;
            for (int i = 0; i < checksPerRound; i++) {
                sleepFor(unreadCheckInterval);
                closeThoseSentAhead(budget);
                closeThoseUnacknowledged(budget);
            }
        } while (memoryWasShort || threadConnections.size() > supervisedConnections(budget) / 2);
        ::malloc_trim(0);
        supervisorRunning = false;
    }

    void startSupervisor(const ConnectionBudget* budget)
    {
        bool needed = budget != nullptr && (memoryWasShort || threadConnections.size() > supervisedConnections(*budget));
        if (needed && !std::exchange(supervisorRunning, true))
            spawnOnCurrentThread([budget] { superviseConnections(*budget); });
    }

    /// State of a server on one I/O thread. `acceptor` and `connections` are used only on that thread.
    struct ServerThread {
        explicit ServerThread(asio::io_context& context)
            : context(context)
            , acceptor(context)
        {
        }
        asio::io_context& context;
        Tcp::acceptor acceptor;
        std::set<Connection*> connections; ///< Open connections of this server. Each is owned by its fiber.
    };

    /// Returns a request without its body.
    HttpRequest toRequestHead(const http::request<http::string_body>& message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        return request;
    }

    /// Returns whether every reader finds the end of a request at the same place: it has one length, or chunks and no other coding.
    /// @param version of HTTP, 10 or 11.
    bool isFramingClear(const http::fields& fields, unsigned version)
    {
        auto lengths = fields.count(http::field::content_length);
        if (fields.count(http::field::transfer_encoding) > 0)
            return lengths == 0 && isOnlyCodingChunked(fields, version);
        return lengths == 0 || (lengths == 1 && fields[http::field::content_length].find(',') == std::string_view::npos);
    }

    /// Parser that also refuses what other readers may take for something else: unclear framing, lines that continue the line before,
    /// and chunk heads and trailers beyond the limit of a head.
    class RequestParser : public StrictParser<true, http::string_body> {
    public:
        explicit RequestParser(const ServerLimits& limits)
            : maxHeaderBytes(limits.maxHeaderBytes)
        {
            this->header_limit(limits.maxHeaderBytes);
            this->body_limit(limits.maxBodyBytes);
        }

        /// Returns the memory of the body in bytes, with the copy that is sent on.
        uint64_t bodyBytes() const
        {
            // A body in chunks grows by copies to larger blocks.
            auto length = this->content_length();
            return length ? 2 * *length : 3 * this->get().body().size();
        }

        /// Hides `StrictParser::put`.
        size_t put(asio::const_buffer buffer, ErrorCode& error)
        {
            bool inHead = !this->is_header_done();
            auto used = StrictParser::put(buffer, error);
            if (this->inChunkHead && (error == http::error::need_more ? buffer.size() : used) > this->maxHeaderBytes)
                error = http::error::bad_chunk;
            if (error && error != http::error::need_more)
                return used;
            if ((inHead || this->inChunkHead) && hasContinuedLine({ static_cast<const char*>(buffer.data()), used }))
                error = http::error::bad_field;
            else if (inHead && this->is_header_done() && !isFramingClear(this->get(), this->get().version()))
                error = http::error::bad_transfer_encoding;
            return used;
        }

    private:
        static bool hasContinuedLine(std::string_view lines)
        {
            return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
        }

        size_t maxHeaderBytes;
    };

    /// A request while it is received and handled. Its memory is freed before the reservation for it ends.
    struct IncomingRequest {
        IncomingRequest(BufferMemory& memory, const ServerLimits& limits)
            : reservation(memory)
            , parser(limits)
        {
        }
        BufferReservation reservation;
        RequestParser parser;
        HttpRequest request;
    };

    /// Returns false for 204 (No Content) and 304 (Not Modified), whose responses have no body.
    bool allowsBody(unsigned status)
    {
        return status != 204 && status != 304;
    }

    class BeastWriter : public ResponseWriter {
    public:
        BeastWriter(Connection& connection, bool keepAlive, const std::atomic<bool>& closeAnnounced)
            : connection(connection)
            , closeAnnounced(closeAnnounced)
            , keepAlive(keepAlive)
        {
        }

        bool send(const HttpResponse& response) override
        {
            this->keepAlive = this->keepAlive && !this->closeAnnounced;
            auto head = this->makeHead(response.status, response.headers);
            if (allowsBody(response.status))
                head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
            head += "\r\n";
            this->responseStarted = true;
            return this->write(head, response.body);
        }

        bool startStream(unsigned status, const std::vector<Header>& headers) override
        {
            this->responseStarted = true;
            this->keepAlive = this->keepAlive && !this->closeAnnounced;
            return this->write(this->makeHead(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
        }

        bool writeChunk(std::string_view bytes) override
        {
            if (bytes.empty())
                return !this->failed;
            char size[20];
            auto length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
            this->chunkBuffer.assign(size, static_cast<size_t>(length));
            this->chunkBuffer.append(bytes);
            this->chunkBuffer.append("\r\n");
            return this->write(this->chunkBuffer);
        }

        bool finishStream() override
        {
            return this->write("0\r\n\r\n");
        }

        void abort() override
        {
            this->failed = true;
            this->keepAlive = false;
        }

        bool isCallerGone() override
        {
            if (this->failed || this->connection.closing)
                return true;
            char byte = 0;
            auto count = ::recv(this->connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
                return false;
            // The error is reported once only.
            this->connection.sendWatch.recordEnd(count == 0 ? ErrorCode(asio::error::eof) : ErrorCode(errno, boost::system::system_category()));
            return true;
        }

        void watchCaller(std::function<void()> onDisconnect) override
        {
            this->watch = std::make_shared<DisconnectWatch>(DisconnectWatch { std::move(onDisconnect) });
            this->connection.watch = this->watch;
            this->connection.stream.socket().async_wait(Tcp::socket::wait_read, [this, watch = this->watch](ErrorCode error) {
                // After `unwatchCaller` the callback is empty, and this writer may no longer exist.
                if (error || !watch->onDisconnect || !this->isCallerGone())
                    return;
                auto callback = std::exchange(watch->onDisconnect, nullptr);
                this->failed = true;
                callback();
            });
        }

        void unwatchCaller() override
        {
            if (!this->watch)
                return;
            this->watch->onDisconnect = nullptr;
            this->watch.reset();
            ErrorCode ignored;
            this->connection.stream.socket().cancel(ignored);
        }

        bool hasResponded() const { return this->responseStarted; }
        bool canReuseConnection() const { return this->keepAlive && !this->failed && this->responseStarted; }

    private:
        /// Returns status line and headers without the blank line that ends them.
        std::string makeHead(unsigned status, const std::vector<Header>& headers) const
        {
            std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
            head += http::obsolete_reason(static_cast<http::status>(status));
            head += "\r\n";
            for (const auto& header : headers)
                head += header.name + ": " + header.value + "\r\n";
            if (!this->keepAlive)
                head += "Connection: close\r\n";
            return head;
        }

        /// Writes all of `bytes`, then all of `moreBytes`, without a copy of either. Suspends the fiber only if the socket's send buffer is
        /// full.
        /// @return false if the write failed, the caller read nothing for `ServerLimits::writeTimeout`, or `failed` was already set.
        bool write(std::string_view bytes, std::string_view moreBytes = {})
        {
            if (this->failed || this->connection.closing)
                return false;
            auto& socket = this->connection.stream.socket();
            beast::buffers_suffix remaining(std::array { asio::buffer(bytes.data(), bytes.size()), asio::buffer(moreBytes.data(), moreBytes.size()) });
            ErrorCode error;
            auto sent = socket.write_some(remaining, error);
            this->connection.sendWatch.recordWritten(error ? 0 : sent);
            if (!error && sent == bytes.size() + moreBytes.size())
                return true;
            if (error && error != asio::error::would_block) {
                this->connection.sendWatch.recordEnd(error);
                return !(this->failed = true);
            }
            // On `would_block` nothing was sent.
            remaining.consume(error ? 0 : sent);
            return this->writeRest(remaining);
        }

        template <class Buffers>
        bool writeRest(Buffers& remaining)
        {
            beginState(this->connection.activity, ConnectionState::Writing, monotonicNow());
            this->connection.sendWatch.setWriteWaiting(true);
            while (!this->failed && asio::buffer_size(remaining) > 0) {
                auto result = awaitIo([&](auto handler) { this->connection.stream.async_write_some(remaining, std::move(handler)); });
                remaining.consume(result.bytes);
                this->connection.sendWatch.recordWritten(result.bytes);
                if (result.error)
                    this->connection.sendWatch.recordEnd(result.error);
                recordProgress(this->connection.activity, result.bytes, monotonicNow());
                this->failed = result.error || this->connection.closing;
            }
            this->connection.sendWatch.setWriteWaiting(false);
            beginState(this->connection.activity, ConnectionState::Handling, monotonicNow());
            return !this->failed;
        }

        Connection& connection;
        const std::atomic<bool>& closeAnnounced; ///< If set, responses carry `Connection: close`.
        std::shared_ptr<DisconnectWatch> watch; ///< Null if the caller is not watched.
        bool keepAlive; ///< If not set, the response carries `Connection: close`.
        bool responseStarted = false;
        bool failed = false; ///< A write failed, the caller disconnected, or `abort` was called. Nothing more is sent.
        std::string chunkBuffer; ///< Reused by `writeChunk`.
    };

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(Runtime& runtime, Endpoint listen, ServerLimits limits, HttpHandler handler, ErrorResponseFactory makeErrorResponse, BufferMemory* memory, ConnectionBudget* connectionBudget)
        : runtime(runtime)
        , listen(std::move(listen))
        , limits(limits)
        , handler(std::move(handler))
        , makeErrorResponse(std::move(makeErrorResponse))
        , memory(memory == nullptr ? this->unlimitedMemory : *memory)
        , connectionBudget(connectionBudget)
    {
    }

    Runtime& runtime;
    Endpoint listen;
    ServerLimits limits;
    HttpHandler handler;
    ErrorResponseFactory makeErrorResponse;
    BufferMemory unlimitedMemory { UINT64_MAX };
    BufferMemory& memory; ///< For the heads and bodies of requests.
    ConnectionBudget* connectionBudget; ///< Null if there is none.
    std::atomic<bool> accepting { true }; ///< Cleared by `stopAccepting`; connections then close after their current request.
    std::atomic<bool> closeAnnounced { false }; ///< Set by `announceClose`.
    std::atomic<uint64_t> connectionCount { 0 };
    std::atomic<uint64_t> acceptedCount { 0 };
    std::atomic<uint64_t> activeRequests { 0 };
    const SendWatch::Count unreadAnswers = std::make_shared<std::atomic<uint64_t>>(0);
    Log log { "http" };
    std::atomic<uint64_t> requests { 0 };
    std::atomic<uint64_t> malformed { 0 };
    std::atomic<uint64_t> overLimit { 0 };
    mutable std::mutex mutex; ///< Protects `limits` and `threads`.
    std::vector<std::shared_ptr<ServerThread>> threads; ///< Threads that accept connections. Empty after `closeAll`.

    ServerLimits currentLimits() const
    {
        std::lock_guard lock(this->mutex);
        return this->limits;
    }

    /// Opens the listening socket.
    /// @return the descriptor, or -1 on failure.
    int openListener() const
    {
        ErrorCode error;
        auto address = asio::ip::make_address(this->listen.address, error);
        if (error)
            return -1;
        Tcp::endpoint endpoint(address, this->listen.port);
        asio::io_context context;
        Tcp::acceptor acceptor(context);
        acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor.bind(endpoint, error);
        // Accepted sockets inherit it.
        if (!error && this->connectionBudget != nullptr)
            acceptor.set_option(Tcp::acceptor::receive_buffer_size(receiveBufferBytes), error);
        if (!error)
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        return error ? -1 : acceptor.release(error);
    }

    /// Makes the thread accept from a duplicate of the listening socket: each acceptor owns and closes its descriptor.
    ErrorCode attachListener(ServerThread& thread, int listener) const
    {
        ErrorCode error;
        auto isV6 = this->listen.address.find(':') != std::string::npos;
        thread.acceptor.assign(isV6 ? Tcp::v6() : Tcp::v4(), ::dup(listener), error);
        if (!error)
            thread.acceptor.non_blocking(true, error);
        return error;
    }

    std::shared_ptr<Connection> makeConnection(const ServerThread& thread) const
    {
        return std::make_shared<Connection>(thread.context, this, &this->memory, this->connectionBudget, this->unreadAnswers);
    }

    /// Takes a place for a connection. If there is none, closes others that cost their callers less and waits for their places.
    /// @return false if there is still none.
    bool tryTakePlace(Connection& connection) const
    {
        if (this->connectionBudget == nullptr)
            return this->connectionCount < this->currentLimits().connectionLimit;
        for (int i = 0; i < roomTries; i++) {
            bool serverIsFull = this->connectionCount >= this->currentLimits().connectionLimit;
            connection.hasPlace = !serverIsFull && this->connectionBudget->tryTakeServerPlace();
            if (connection.hasPlace)
                return true;
            // Connections that are being closed give their places back before others are closed.
            auto mayClose = [&](const Connection& other) { return serverIsFull ? other.server == this : other.budget == this->connectionBudget; };
            bool awaited = std::any_of(threadConnections.begin(), threadConnections.end(), [&](const auto* other) { return other->closing && mayClose(*other); });
            if (!awaited && makeRoom(mayClose, true, closedAtOnceDivisor) == 0)
                return false;
            sleepFor(roomDelay);
        }
        return false;
    }

    /// Accepts connections on one thread until `stopAccepting`. Connections over the limit are closed at once.
    void acceptLoop(const std::shared_ptr<ServerThread>& thread)
    {
        while (this->accepting) {
            auto connection = this->makeConnection(*thread);
            auto accepted = awaitIo([&](auto handler) { thread->acceptor.async_accept(connection->stream.socket(), std::move(handler)); });
            if (accepted.error) {
                if (this->accepting)
                    sleepFor(acceptRetryDelay);
                continue;
            }
            if (!this->tryTakePlace(*connection)) {
                this->overLimit++;
                if (this->connectionBudget != nullptr)
                    this->connectionBudget->recordClosed(ClosedFor::NoPlace);
                continue;
            }
            this->startConnection(thread, connection);
        }
    }

    /// Accepts the connections that wait in the listening socket: closing it would reset them, with the requests they carry.
    void acceptWaiting(const std::shared_ptr<ServerThread>& thread)
    {
        while (thread->acceptor.is_open()) {
            ErrorCode error;
            auto connection = this->makeConnection(*thread);
            thread->acceptor.accept(connection->stream.socket(), error);
            if (error)
                return;
            this->startConnection(thread, connection);
        }
    }

    /// Starts the fiber that serves the requests of a connection one after the other, and then closes it.
    void startConnection(const std::shared_ptr<ServerThread>& thread, const std::shared_ptr<Connection>& connection)
    {
        this->connectionCount++;
        this->acceptedCount++;
        ErrorCode ignored;
        connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
        connection->stream.socket().non_blocking(true, ignored);
        // No keep-alive and no limit of the kernel's: the write timeout, the idle timeout and the time limits of requests end these connections.
        if (this->connectionBudget != nullptr)
            setTcpOption(connection->stream.socket(), TCP_NOTSENT_LOWAT, maxUnsentBytes);
        spawnOnCurrentThread([self = this->shared_from_this(), thread, connection] {
            thread->connections.insert(connection.get());
            threadConnections.insert(connection.get());
            startSupervisor(self->connectionBudget);
            while (!connection->closing && self->serveRequest(*connection)) { }
            awaitReader(*connection);
            threadConnections.erase(connection.get());
            thread->connections.erase(connection.get());
            connection->sendWatch.recordEnd(CutBy::Self);
            connection->stream.close();
            self->connectionCount--;
        });
    }

    /// Ends the sending side, and waits until the caller has read the last answer, within the limits of the watch. Closing the socket at once would
    /// leave the answer to a kernel that gives a closed window little time, or discard it if there is unread input.
    static void awaitReader(Connection& connection)
    {
        ErrorCode ignored;
        bool waits = connection.sendWatch.isWaiting();
        connection.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        if (!waits)
            return;
        beginState(connection.activity, ConnectionState::Idle, monotonicNow());
        while (!connection.ending && discardInput(connection) && connection.sendWatch.isWaiting()) {
            connection.timer.expires_after(unreadPollInterval);
            awaitIo([&](auto handler) { connection.timer.async_wait(std::move(handler)); });
        }
    }

    /// Discards what has arrived on a connection that is to be closed.
    /// @return false if the connection has failed, or its caller has closed it and more is not known.
    static bool discardInput(Connection& connection)
    {
        auto socket = connection.stream.socket().native_handle();
        auto count = ::recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
        if (count == 0)
            return unacknowledgedBytes(socket).has_value();
        if (count > 0 || errno == EAGAIN || errno == EWOULDBLOCK)
            return true;
        connection.sendWatch.recordEnd(ErrorCode(errno, boost::system::system_category()));
        return false;
    }

    /// Reads and handles one request.
    /// @return true if the connection can be reused for another request.
    bool serveRequest(Connection& connection)
    {
        beginState(connection.activity, ConnectionState::Idle, monotonicNow());
        if (!this->waitForRequest(connection))
            return false;
        beginState(connection.activity, ConnectionState::Reading, monotonicNow());
        recordProgress(connection.activity, connection.buffer.size(), monotonicNow());
        connection.idle = false;
        connection.served = true;
        auto limits = this->currentLimits();
        connection.sendWatch.setLimit(limits.writeTimeout, [&connection] { closeEarly(connection, CutBy::WriteTimeout); });
        auto incoming = std::make_optional<IncomingRequest>(this->memory, limits);
        // A head of the largest size has progress if it is complete within the read timeout.
        connection.minRate = limits.maxHeaderBytes / std::chrono::duration<double>(limits.readTimeout).count();
        connection.buffer.max_size(std::max<size_t>(limits.maxHeaderBytes, maxUnparsedBytes));
        auto& socket = connection.stream.socket();
        auto deadline = std::make_optional<ReadDeadline>(socket, limits.readTimeout);
        auto read = this->readRequest(connection, *incoming);
        // A read that was cancelled at its deadline ends with another error.
        if (deadline->hasExpired())
            read.error = beast::error::timeout;
        deadline.reset();
        if (read.error) {
            connection.buffer.clear();
            connection.buffer.shrink_to_fit();
            // A string that an empty one is assigned to would keep its memory.
            incoming.reset();
            this->rejectRequest(connection, read.error);
            return false;
        }
        bool keepAlive = incoming->parser.keep_alive() && this->accepting;
        beginState(connection.activity, ConnectionState::Handling, monotonicNow());
        BeastWriter writer(connection, keepAlive, this->closeAnnounced);
        this->activeRequests++;
        this->requests++;
        bool handled = this->callHandler(incoming->request, writer);
        this->activeRequests--;
        connection.idle = true;
        if (connection.buffer.size() == 0 && connection.buffer.capacity() > firstBufferBytes)
            connection.buffer.shrink_to_fit();
        return handled && writer.canReuseConnection() && this->accepting;
    }

    /// Reserves memory. If there is not enough, closes connections whose requests arrive without progress and waits for what they hold.
    /// @return false if there is still not enough.
    bool tryHold(const Connection& connection, BufferReservation& reservation, uint64_t bytes) const
    {
        if (reservation.tryHold(bytes))
            return true;
        memoryWasShort = true;
        startSupervisor(this->connectionBudget);
        auto mayClose = [&](const Connection& other) { return &other != &connection && other.memory == &this->memory && other.activity.state != ConnectionState::Idle; };
        for (int i = 0; i < roomTries && !connection.closing; i++) {
            if (makeRoom(mayClose, false, closedAtOnceDivisor) == 0)
                return false;
            sleepFor(roomDelay);
            if (reservation.tryHold(bytes))
                return true;
        }
        return false;
    }

    /// Reads one request. Its trailers are left out.
    /// @return `no_buffer_space` if there is not enough memory for it.
    IoResult readRequest(Connection& connection, IncomingRequest& incoming) const
    {
        auto& parser = incoming.parser;
        auto& request = incoming.request;
        auto& socket = connection.stream.socket();
        auto& buffer = connection.buffer;
        auto mayHold = [&](size_t further) {
            auto bytes = heldBufferBytes(buffer, further) + parser.fieldBytes(unparsedBytes(buffer));
            // A body with a length gets its memory at once: bodies that grow at the same time would all fail.
            if (parser.is_header_done())
                bytes += parser.bodyBytes();
            return this->tryHold(connection, incoming.reservation, bytes);
        };
        auto onReceived = [&](size_t bytes) { recordProgress(connection.activity, bytes, monotonicNow()); };
        auto read = readMessage(socket, buffer, parser, ReadUntil::HeadEnd, mayHold, onReceived);
        if (!read.error) {
            request = toRequestHead(parser.get());
            parser.get().clear();
        }
        while (!read.error && !parser.is_done())
            read = readMessage(socket, buffer, parser, ReadUntil::Progress, mayHold, onReceived);
        if (connection.closing)
            return { asio::error::operation_aborted };
        request.body = std::move(parser.get().body());
        return read;
    }

    /// Calls the handler. An unexpected error closes the connection of this request, not those of others.
    /// @return false if the handler ended with an exception.
    bool callHandler(const HttpRequest& request, BeastWriter& writer)
    {
        try {
            this->handler(request, writer);
            return true;
        } catch (const std::exception& exception) {
            this->log.error(std::string("event=unexpected_error method=") + request.method + " path=" + escapeForLog(targetPath(request.target)) + " error=\"" + exception.what() + "\"");
            writer.abort();
            return false;
        }
    }

    /// Reads what arrives within `timeout`, and leaves the socket open if nothing does. The timers of `Stream` close it.
    template <class Buffers>
    static IoResult readIdle(Connection& connection, const Buffers& space, std::chrono::milliseconds timeout)
    {
        auto waits = std::make_shared<bool>(true); // The timer's handler may run after the read has ended.
        connection.timer.expires_after(timeout);
        connection.timer.async_wait([&connection, waits](ErrorCode error) {
            if (error || !std::exchange(*waits, false))
                return;
            ErrorCode ignored;
            connection.stream.socket().cancel(ignored);
        });
        auto received = awaitIo([&](auto handler) { connection.stream.socket().async_read_some(space, std::move(handler)); });
        bool expired = !std::exchange(*waits, false);
        connection.timer.cancel();
        if (expired && received.error == asio::error::operation_aborted)
            received.error = beast::error::timeout;
        return received;
    }

    /// Waits for the first bytes of the next request, unless some were received with the last one. Reads up to 2 KiB; `serveRequest`
    /// reads the rest.
    /// @return false if the connection was closed or stayed idle for too long.
    bool waitForRequest(Connection& connection) const
    {
        if (connection.buffer.size() > 0)
            return true;
        auto space = connection.buffer.prepare(firstBufferBytes);
        IoResult received;
        // A caller that still reads the last answer has not gone quiet.
        do
            received = readIdle(connection, space, this->currentLimits().idleTimeout);
        while (received.error == beast::error::timeout && connection.sendWatch.isWaiting());
        connection.buffer.commit(received.bytes);
        // A caller that ends its sending side may still read, and a wait that was cancelled leaves the connection open.
        if (received.error && received.error != asio::error::eof && received.error != asio::error::operation_aborted)
            connection.sendWatch.recordEnd(received.error);
        return !received.error && !connection.closing;
    }

    /// Sends an error response for a request that could not be read, unless the peer has closed the connection.
    void rejectRequest(Connection& connection, const ErrorCode& error)
    {
        unsigned status = 400;
        std::string_view reason = "malformed_http";
        if (error == http::error::header_limit || error == http::error::buffer_overflow) {
            status = 431;
            reason = "header_too_large";
        } else if (error == http::error::body_limit) {
            status = 413;
            reason = "body_too_large";
        } else if (error == asio::error::no_buffer_space) {
            status = 503;
            reason = "no_memory";
        } else if (error == beast::error::timeout) {
            status = 408;
            reason = "request_too_slow";
        } else if (error == http::error::end_of_stream || toIoError(error) == IoError::Closed) {
            return;
        }
        this->malformed++;
        beginState(connection.activity, ConnectionState::Handling, monotonicNow());
        BeastWriter writer(connection, false, this->closeAnnounced);
        writer.send(this->makeErrorResponse(status, reason));
        this->drainInput(connection);
    }

    /// Discards further input after an error response. Closing a socket with unread bytes would reset the connection, and the
    /// caller could lose the response.
    static void drainInput(Connection& connection)
    {
        ErrorCode ignored;
        auto& socket = connection.stream.socket();
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
        beginState(connection.activity, ConnectionState::Idle, monotonicNow());
        const ReadDeadline deadline(socket, drainTimeout);
        bool open = !connection.closing;
        while (open) {
            auto read = awaitIo([&](auto handler) { socket.async_read_some(asio::buffer(discarded), std::move(handler)); });
            open = !read.error && read.bytes > 0 && !connection.closing;
        }
    }
};

HttpServer::HttpServer(Runtime& runtime, Endpoint listen, ServerLimits limits, HttpHandler handler, ErrorResponseFactory makeErrorResponse, BufferMemory* memory, ConnectionBudget* connections)
    : impl(std::make_shared<Impl>(runtime, std::move(listen), limits, std::move(handler), std::move(makeErrorResponse), memory, connections))
{
}

HttpServer::~HttpServer()
{
    this->closeAll();
}

bool HttpServer::start()
{
    std::atomic<unsigned> finishedThreads { 0 }; // Threads that have attached the listener or failed to.
    std::atomic<bool> failed { false };
    auto listener = this->impl->openListener();
    if (listener < 0)
        return false;
    this->impl->runtime.spawnOnEach([impl = this->impl, listener, &finishedThreads, &failed] {
        auto thread = std::make_shared<ServerThread>(*currentContext());
        bool attached = !impl->attachListener(*thread, listener);
        if (attached) {
            std::lock_guard lock(impl->mutex);
            impl->threads.push_back(thread);
        } else
            failed = true;
        finishedThreads++;
        if (attached)
            impl->acceptLoop(thread);
    });
    while (finishedThreads < this->impl->runtime.threadCount())
        std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
    ::close(listener);
    return !failed;
}

void HttpServer::setLimits(const ServerLimits& limits)
{
    std::lock_guard lock(this->impl->mutex);
    this->impl->limits = limits;
}

size_t HttpServer::closeSlowReaders()
{
    auto mayClose = [this](const Connection& connection) { return connection.server == this->impl.get() && connection.activity.state == ConnectionState::Writing; };
    return makeRoom(mayClose, false, closedAtOnceDivisor);
}

void HttpServer::announceClose()
{
    this->impl->closeAnnounced = true;
}

void HttpServer::stopAccepting()
{
    this->impl->accepting = false;
    std::lock_guard lock(this->impl->mutex);
    for (auto& thread : this->impl->threads) {
        asio::post(thread->context, [thread, impl = this->impl] {
            impl->acceptWaiting(thread);
            ErrorCode ignored;
            thread->acceptor.close(ignored);
            for (auto* connection : thread->connections) {
                // The request of a connection that has just been accepted may still be on its way.
                bool mayHaveRequest = !connection->served || connection->stream.socket().available(ignored) > 0;
                if (connection->idle && !mayHaveRequest)
                    connection->stream.cancel();
            }
        });
    }
}

void HttpServer::closeAll()
{
    this->stopAccepting();
    std::lock_guard lock(this->impl->mutex);
    for (auto& thread : this->impl->threads) {
        asio::post(thread->context, [thread] {
            for (auto* connection : thread->connections) {
                connection->ending = true;
                connection->timer.cancel();
                connection->stream.cancel();
            }
        });
    }
    // Later calls have no thread left to post to.
    this->impl->threads.clear();
}

ServerStats HttpServer::stats() const
{
    ServerStats stats;
    stats.connections = this->impl->connectionCount;
    stats.accepted = this->impl->acceptedCount;
    stats.activeRequests = this->impl->activeRequests;
    stats.unreadAnswers = *this->impl->unreadAnswers;
    stats.requests = this->impl->requests;
    stats.malformed = this->impl->malformed;
    stats.overLimit = this->impl->overLimit;
    return stats;
}

} // namespace comfreypier::transport
