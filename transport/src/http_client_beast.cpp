/// HTTP/1.1 client over Boost.Beast with a pool of idle connections per thread.
#include "response_parser.h"
#include "send_watch.h"

#include <deque>
#include <map>
#include <netinet/tcp.h>
#include <optional>

namespace comfreypier::transport {

namespace {

    /// Maximum number of bytes returned by one read of a response body.
    constexpr size_t readChunkSize = 8 * 1024;

    std::atomic<uint64_t> nextConnectionNumber { 1 };

    struct ClientConnection {
        explicit ClientConnection(asio::io_context& context)
            : stream(Stream::executor_type { context.get_executor() })
            , sendWatch(this->stream.socket(), ConnectionSide::Endpoint, nullptr)
        {
        }
        ~ClientConnection()
        {
            this->sendWatch.recordEnd(CutBy::Self);
            if (this->place != nullptr)
                this->place->giveClientPlaceBack();
        }
        ClientConnection(const ClientConnection&) = delete;
        ClientConnection& operator=(const ClientConnection&) = delete;

        /// Closes the socket. The pending operations fail.
        void end(CutBy by)
        {
            this->sendWatch.recordEnd(by);
            this->stream.close();
        }

        ConnectionBudget* place = nullptr; ///< Budget of which it has a place; null if none.
        const uint64_t number = nextConnectionNumber++;
        std::deque<std::string> earlierIds; ///< Ids of the newest requests that were answered, see `CallLimits::idHeader`.
        Stream stream;
        SendWatch sendWatch;
        /// Bytes that were received but not parsed yet. A peer that sends a head, a chunk's head or trailers without end fills it.
        beast::flat_buffer buffer { maxUnparsedBytes };
        std::chrono::nanoseconds reusableUntil { 0 }; ///< Monotonic time after which a pooled connection is not used.
        std::chrono::nanoseconds idleSince { 0 }; ///< Monotonic time at which the last response was complete; 0 until the first is.
    };
    using ConnectionPtr = std::unique_ptr<ClientConnection>;

    /// Idle connections of one client on one thread.
    struct ConnectionPool {
        std::map<Endpoint, std::deque<ConnectionPtr>> idle; ///< By peer; the one that was pooled last is at the end.
        std::chrono::nanoseconds sweptAt { 0 }; ///< When unusable connections were last closed.
    };

    /// Pools of the calling thread, by the `HttpClient::Impl` of their client.
    thread_local std::map<const void*, ConnectionPool> threadPools;

    /// Returns how long a connection may stay in the pool: the timeout that the peer announced in its Keep-Alive header, minus
    /// `idleTimeoutMargin`, but at most `clientIdleTimeout`.
    std::chrono::milliseconds pooledIdleTime(std::string_view keepAlive)
    {
        constexpr std::string_view key = "timeout=";
        auto start = keepAlive.find(key);
        if (start == std::string_view::npos)
            return clientIdleTimeout;
        auto digits = keepAlive.substr(start + key.size());
        digits = digits.substr(0, digits.find_first_not_of("0123456789"));
        auto announced = parseForeignDuration(digits, std::chrono::seconds { 1 });
        return announced ? std::min(*announced - idleTimeoutMargin, clientIdleTimeout) : clientIdleTimeout;
    }

    /// The message refers to the body of `request`, which bodies of some megabytes would otherwise copy.
    http::request<http::span_body<const char>> toBeastRequest(const Endpoint& endpoint, const HttpRequest& request)
    {
        http::request<http::span_body<const char>> message;
        message.version(11); // HTTP/1.1.
        message.method_string(request.method);
        message.target(request.target);
        if (findHeader(request.headers, "Host").empty())
            message.set(http::field::host, toString(endpoint));
        for (const auto& header : request.headers)
            message.insert(header.name, header.value);
        message.body() = beast::span<const char>(request.body.data(), request.body.size());
        message.prepare_payload();
        return message;
    }

    /// Returns whether a peer that has closed its side of a connection has received all that was written, as far as is known, and has not reset the
    /// connection. The end of its side hides a reset from reads.
    bool hasReceivedAll(Stream::socket_type& socket)
    {
        int error = 0;
        socklen_t size = sizeof error;
        bool known = ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0;
        return known && error == 0 && unacknowledgedBytes(socket.native_handle()).value_or(0) == 0;
    }

    std::vector<Header> toHeaders(const http::fields& fields)
    {
        std::vector<Header> headers;
        for (const auto& field : fields)
            headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        return headers;
    }

} // namespace

/// While it exists, cancelling the token closes the connection.
class CancelRegistration {
public:
    CancelRegistration(CancelToken* cancel, ClientConnection& connection)
        : connection(connection)
    {
        this->attach(cancel);
    }
    ~CancelRegistration() { this->release(); }
    CancelRegistration(const CancelRegistration&) = delete;
    CancelRegistration& operator=(const CancelRegistration&) = delete;
    /// Replaces the token. Closes the connection if the new one is cancelled already.
    /// @param next may be null.
    void attach(CancelToken* next)
    {
        this->release();
        this->cancel = next;
        if (next == nullptr)
            return;
        next->registrations.insert(this);
        if (next->isCancelled())
            this->closeConnection();
    }
    void release()
    {
        if (this->cancel != nullptr)
            this->cancel->registrations.erase(this);
        this->cancel = nullptr;
    }
    void closeConnection() { this->connection.stream.close(); }

private:
    CancelToken* cancel = nullptr;
    ClientConnection& connection;
};

void CancelToken::cancel()
{
    this->cancelled = true;
    for (auto* registration : this->registrations)
        registration->closeConnection();
}

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    Impl(BrokenAnswerHandler onBrokenAnswer, BufferMemory* memory)
        : onBrokenAnswer(std::move(onBrokenAnswer))
        , memory(memory == nullptr ? this->unlimitedMemory : *memory)
    {
    }

    /// Returns the most recently pooled connection that is still usable, or null. Closes the unusable ones that it finds.
    /// @param avoided numbers of connections that stay in the pool; null if there are none.
    ConnectionPtr takeIdleConnection(const Endpoint& endpoint, const std::set<uint64_t>* avoided) const
    {
        auto& idle = threadPools[this].idle[endpoint];
        auto now = monotonicNow();
        auto limit = this->currentIdleTimeout(now);
        for (auto i = idle.size(); i-- > 0;) {
            if (avoided != nullptr && avoided->contains(idle[i]->number))
                continue;
            auto connection = std::move(idle[i]);
            idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
            if (isReusable(*connection, now, limit))
                return connection;
        }
        return nullptr;
    }

    /// Returns the idle time after which pooled connections are no longer used.
    std::chrono::nanoseconds currentIdleTimeout(std::chrono::nanoseconds now) const
    {
        std::lock_guard lock(this->mutex);
        return now < this->learnedIdleTimeoutEnd ? this->learnedIdleTimeout : clientIdleTimeout;
    }

    /// Records that a pooled connection which had been idle for `idleDuration` still served a request.
    void recordReuse(std::chrono::nanoseconds idleDuration)
    {
        auto now = monotonicNow();
        std::lock_guard lock(this->mutex);
        if (now - this->provenIdleAt < provenIdleLifetime && idleDuration < this->provenIdle)
            return;
        this->provenIdle = idleDuration;
        this->provenIdleAt = now;
    }

    /// Shortens the idle timeout of pooled connections after one of them was closed before the first byte of the response. A
    /// peer may drop idle connections without closing them, and the next request on such a connection is lost. While connections
    /// that were idle for longer serve requests, the cause is another one, such as a crash of the peer.
    /// @param idleDuration how long the connection had been idle.
    void learnIdleTimeout(std::chrono::nanoseconds idleDuration)
    {
        auto now = monotonicNow();
        auto limit = std::min(this->currentIdleTimeout(now), idleDuration / 2);
        std::lock_guard lock(this->mutex);
        if (now - this->provenIdleAt < provenIdleLifetime && idleDuration <= this->provenIdle)
            return;
        this->learnedIdleTimeout = std::max<std::chrono::nanoseconds>(minLearnedIdleTimeout, limit);
        this->learnedIdleTimeoutEnd = now + learnedIdleTimeoutLifetime;
    }

    /// Returns false if the peer has closed the pooled connection or sent bytes outside of a response.
    static bool isUsable(ClientConnection& connection)
    {
        char byte = 0;
        auto count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// See `HttpClient::closeIdleConnections`.
    void closeIdleConnections(const Endpoint& endpoint) const
    {
        threadPools[this].idle.erase(endpoint);
    }

    /// Adds a connection to the pool of the calling thread, or closes it if the pool is full.
    void returnToPool(const Endpoint& endpoint, ConnectionPtr connection) const
    {
        auto& idle = threadPools[this].idle[endpoint];
        connection->stream.expires_never();
        if (idle.size() < maxIdleConnectionsPerEndpoint)
            idle.push_back(std::move(connection));
        this->closeUnusableConnections(threadPools[this]);
    }

    /// Closes the pooled connections that are too old for `takeIdleConnection` or that their peers have closed.
    void closeUnusableConnections(ConnectionPool& pool) const
    {
        auto now = monotonicNow();
        if (now - pool.sweptAt < idleSweepInterval)
            return;
        pool.sweptAt = now;
        auto limit = this->currentIdleTimeout(now);
        for (auto& [endpoint, idle] : pool.idle)
            std::erase_if(idle, [&](const auto& connection) { return !isReusable(*connection, now, limit); });
        std::erase_if(pool.idle, [](const auto& item) { return item.second.empty(); });
    }

    /// @param limit result of `currentIdleTimeout`.
    static bool isReusable(ClientConnection& connection, std::chrono::nanoseconds now, std::chrono::nanoseconds limit)
    {
        // A peer that has not read the last request would not read the next one either.
        return now < connection.reusableUntil && now - connection.idleSince < limit && isUsable(connection) && !connection.sendWatch.isWaiting();
    }

    const BrokenAnswerHandler onBrokenAnswer; ///< May be empty.
    BufferMemory unlimitedMemory { std::numeric_limits<uint64_t>::max() };
    BufferMemory& memory; ///< For what answers hold while they are read.
    mutable std::mutex mutex;
    std::chrono::nanoseconds learnedIdleTimeout { 0 }; ///< Guarded by `mutex`. Applies before `learnedIdleTimeoutEnd`.
    std::chrono::nanoseconds learnedIdleTimeoutEnd { 0 }; ///< Monotonic time; 0 if none was learned. Guarded by `mutex`.
    std::chrono::nanoseconds provenIdle { 0 }; ///< Longest recent idle time after which a connection served. Guarded by `mutex`.
    std::chrono::nanoseconds provenIdleAt { -std::chrono::hours { 1 } }; ///< When it served. Guarded by `mutex`.

    /// Takes a place for a connection. If there is none, closes the pooled connections of this thread.
    bool tryTakePlace(ConnectionBudget& budget) const
    {
        if (budget.tryTakeClientPlace())
            return true;
        threadPools[this].idle.clear();
        return budget.tryTakeClientPlace();
    }

    /// Opens a new connection.
    Result<ConnectionPtr, IoError> connect(const Endpoint& endpoint, const CallLimits& limits)
    {
        ErrorCode error;
        auto address = asio::ip::make_address(endpoint.address, error);
        if (error)
            return IoError::NotConnected;
        auto connection = std::make_unique<ClientConnection>(*currentContext());
        if (limits.connections != nullptr) {
            if (!this->tryTakePlace(*limits.connections))
                return IoError::NoPlace;
            connection->place = limits.connections;
        }
        connection->stream.expires_after(limits.connect);
        CancelRegistration cancelRegistration(limits.cancel, *connection);
        Tcp::endpoint peer(address, endpoint.port);
        auto result = awaitIo([&](auto handler) { connection->stream.async_connect(peer, std::move(handler)); });
        if (limits.cancel != nullptr && limits.cancel->isCancelled())
            return IoError::Cancelled;
        if (result.error == beast::error::timeout)
            return IoError::ConnectTimeout;
        if (result.error == asio::error::connection_refused || result.error == asio::error::connection_reset)
            return IoError::Refused;
        if (result.error)
            return IoError::NotConnected;
        connection->stream.socket().set_option(Tcp::no_delay(true), error);
        setTcpKeepAlive(connection->stream.socket());
        connection->sendWatch.setProbe([peer, budget = limits.connections] { return PeerProbe::share(peer, budget); }, [raw = connection.get()] { raw->end(CutBy::Unreachable); });
        return connection;
    }
};

namespace {

    /// Sends a request on one connection and reads the body of the response incrementally.
    class BeastResponseStream : public ResponseStream {
    public:
        using ReturnToPool = std::function<void(ConnectionPtr)>;
        /// @param faulty see `BrokenAnswer::bytes`.
        using OnBroken = std::function<void(const ErrorCode& error, std::string faulty)>;

        /// @param returnToPool empty if the connection is not reused.
        /// @param onBroken called if the answer turns out not to be a valid one. May be empty.
        /// @param memory for what the answer holds while it is read. Must outlive the stream.
        BeastResponseStream(ConnectionPtr connection, ReturnToPool returnToPool, const CallLimits& limits, OnBroken onBroken, BufferMemory& memory)
            : reservation(memory)
            , connection(std::move(connection))
            , returnToPool(std::move(returnToPool))
            , onBroken(std::move(onBroken))
            , cancel(limits.cancel)
            , cancelRegistration(limits.cancel, *this->connection)
            , firstOnConnection(this->connection->idleSince.count() == 0)
            , maxBodyBytes(limits.maxBodyBytes)
            , deadline(monotonicNow() + limits.response)
        {
        }

        ~BeastResponseStream() override
        {
            this->cancelRegistration.release();
            if (!this->isReusable())
                return;
            // The connection's place includes no larger buffer.
            if (this->connection->buffer.capacity() > firstBufferBytes)
                this->connection->buffer.shrink_to_fit();
            this->connection->idleSince = monotonicNow();
            this->connection->reusableUntil = this->connection->idleSince + pooledIdleTime(this->parser->get()[http::field::keep_alive]);
            this->returnToPool(std::move(this->connection));
        }

        /// Sends the request and waits for the response head.
        IoResult sendAndReadHead(http::request<http::span_body<const char>>& message)
        {
            auto& stream = this->connection->stream;
            stream.expires_after(this->deadline - monotonicNow());
            http::request_serializer<http::span_body<const char>> serializer(message);
            this->connection->sendWatch.beginMessage();
            while (!serializer.is_done()) {
                auto sent = awaitIo([&](auto handler) { http::async_write_some(stream, serializer, std::move(handler)); });
                this->connection->sendWatch.recordWritten(sent.bytes);
                if (sent.error) {
                    this->connection->sendWatch.recordEnd(sent.error);
                    return sent;
                }
            }
            return this->readHead();
        }

        /// Skips late copies of the answers to earlier requests on the connection, and records the id of this request.
        /// @param id of this request; the header `idHeader` of its answer holds it.
        IoResult skipLateCopies(std::string_view idHeader, std::string_view id)
        {
            auto& earlierIds = this->connection->earlierIds;
            for (int skipped = 0;; skipped++) {
                auto echoed = std::string(this->parser->get()[idHeader]);
                if (echoed == id || std::find(earlierIds.begin(), earlierIds.end(), echoed) == earlierIds.end())
                    break;
                // More may follow.
                this->returnToPool = nullptr;
                if (skipped == maxLateCopies)
                    return { http::error::bad_value };
                if (auto result = this->skipBody(); result.error)
                    return result;
                if (auto result = this->readHead(); result.error)
                    return result;
            }
            earlierIds.emplace_back(id);
            if (earlierIds.size() > maxRecognizedRequests)
                earlierIds.pop_front();
            return {};
        }

        /// Reserves memory for bytes of the body that the caller keeps until the stream ends.
        /// @return false if there is not enough; the answer then counts as broken.
        bool tryKeep(uint64_t bytes)
        {
            this->keptBytes = bytes;
            if (this->tryHold(0))
                return true;
            this->reportBroken(asio::error::no_buffer_space);
            return false;
        }

        bool isCancelled() const { return this->cancel != nullptr && this->cancel->isCancelled(); }
        void storeHeaders() { this->responseHeaders = toHeaders(this->parser->get()); }
        void setCancelToken(CancelToken* token) override
        {
            this->cancel = token;
            this->cancelRegistration.attach(token);
        }
        unsigned status() const override { return this->parser->get().result_int(); }
        const std::vector<Header>& headers() const override { return this->responseHeaders; }
        uint64_t connectionNumber() const override { return this->connection->number; }
        bool isFirstOnConnection() const override { return this->firstOnConnection; }

        Result<std::string_view, IoError> read(std::chrono::milliseconds timeout) override
        {
            while (!this->parser->is_done()) {
                auto& body = this->parser->get().body();
                this->chunk.resize(readChunkSize);
                body.data = this->chunk.data();
                body.size = this->chunk.size();
                auto& socket = this->connection->stream.socket();
                ReadDeadline deadline(socket, timeout);
                auto result = this->readParts(socket, ReadUntil::Progress);
                if (this->isCancelled())
                    return IoError::Cancelled;
                // A peer that ends its connection while the request is still written may have failed just as well.
                if (!result.error && this->parser->is_done() && this->parser->need_eof() && !hasReceivedAll(socket))
                    result.error = http::error::partial_message;
                // Bytes that arrived just before the deadline are returned. After a timeout the caller can continue to read.
                // `need_buffer` is no failure: `chunk` is full.
                if (result.error && result.error != http::error::need_buffer) {
                    if (deadline.hasExpired())
                        return IoError::Timeout;
                    this->reportBroken(result.error);
                    return toIoError(result.error);
                }
                auto length = readChunkSize - body.size; // The parser reduces `body.size` by what it has written.
                if (length > 0)
                    return std::string_view(this->chunk.data(), length);
            }
            return std::string_view {};
        }

    private:
        /// Returns whether the connection can serve another request.
        bool isReusable() const
        {
            // There is no parser if the request could not be sent.
            if (!this->returnToPool || !this->parser || this->isCancelled())
                return false;
            // Bytes after a complete response belong to no request.
            return this->parser->is_done() && this->parser->get().keep_alive() && this->connection->buffer.size() == 0;
        }

        /// Reads the head of the response and skips the interim ones before it. One that switches protocols was not asked for.
        IoResult readHead()
        {
            for (int interim = 0; interim <= maxInterimResponses; interim++) {
                this->parser.emplace();
                this->parser->body_limit(this->maxBodyBytes);
                this->connection->stream.expires_after(this->deadline - monotonicNow());
                auto result = this->readParts(this->connection->stream, ReadUntil::HeadEnd);
                auto status = this->parser->get().result_int();
                if (result.error) {
                    this->reportBroken(result.error);
                    return result;
                }
                if (http::to_status_class(status) != http::status_class::informational)
                    return result;
                if (status == static_cast<unsigned>(http::status::switching_protocols))
                    break;
            }
            // A protocol that was not asked for, or interim answers without end.
            this->reportBroken(http::error::bad_status);
            return { http::error::bad_status };
        }

        /// Reads and parses the next parts of the answer.
        /// @param source the connection's socket or stream.
        /// @return `no_buffer_space` if there is not enough memory for them.
        template <class Source>
        IoResult readParts(Source& source, ReadUntil until)
        {
            auto mayHold = [this](size_t further) { return this->tryHold(further); };
            auto result = readMessage(source, this->connection->buffer, *this->parser, until, mayHold, [](size_t) {});
            bool failed = result.error && result.error.category() == boost::system::system_category();
            // A read that was cancelled at its deadline can be continued.
            if (failed && result.error != asio::error::operation_aborted)
                this->connection->sendWatch.recordEnd(result.error);
            return result;
        }

        /// Reserves memory for what the answer holds.
        /// @param further bytes that are about to be received.
        bool tryHold(size_t further)
        {
            const auto& buffer = this->connection->buffer;
            return this->reservation.tryHold(heldBufferBytes(buffer, further) + this->parser->fieldBytes(unparsedBytes(buffer)) + this->keptBytes);
        }

        /// Reports an answer that has begun and is not valid. Its connection is not used again.
        void reportBroken(const ErrorCode& error)
        {
            this->returnToPool = nullptr;
            auto bytes = unparsedBytes(this->connection->buffer);
            bool begun = this->parser->got_some() || !bytes.empty();
            if (begun && !this->isCancelled() && this->onBroken)
                this->onBroken(error, this->parser->faultyPart(error, bytes));
        }

        /// Reads the body of a response that is not wanted.
        IoResult skipBody()
        {
            size_t skipped = 0;
            while (true) {
                auto bytes = this->read(std::chrono::duration_cast<std::chrono::milliseconds>(this->deadline - monotonicNow()));
                if (!bytes)
                    return { bytes.error() == IoError::Timeout ? ErrorCode(beast::error::timeout) : ErrorCode(http::error::partial_message) };
                if (bytes.value().empty())
                    return {};
                skipped += bytes.value().size();
                if (skipped > maxLateCopyBytes)
                    return { http::error::body_limit };
            }
        }

        BufferReservation reservation;
        uint64_t keptBytes = 0; ///< Of the body, by the caller.
        ConnectionPtr connection;
        ReturnToPool returnToPool;
        OnBroken onBroken;
        CancelToken* cancel;
        CancelRegistration cancelRegistration;
        bool firstOnConnection;
        uint64_t maxBodyBytes;
        std::chrono::nanoseconds deadline; ///< For sending the request and receiving the head.
        std::optional<ResponseParser> parser; ///< Writes the body into `chunk`. Set before the first read.
        std::vector<Header> responseHeaders;
        std::vector<char> chunk; ///< The result of `read` points into it.
    };

} // namespace

HttpClient::HttpClient(BrokenAnswerHandler onBrokenAnswer, BufferMemory* memory)
    : impl(std::make_shared<Impl>(std::move(onBrokenAnswer), memory))
{
}

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<ResponseStream>, IoError> HttpClient::open(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits)
{
    if (limits.cancel != nullptr && limits.cancel->isCancelled())
        return IoError::Cancelled;
    auto connection = limits.freshConnection ? nullptr : this->impl->takeIdleConnection(endpoint, limits.avoidedConnections);
    if (!connection) {
        auto connected = this->impl->connect(endpoint, limits);
        if (!connected)
            return connected.error();
        connection = std::move(connected.value());
    }
    auto idleSince = connection->idleSince; // 0 for a new connection.
    if (limits.maySend && !limits.maySend()) {
        if (idleSince.count() > 0)
            this->impl->returnToPool(endpoint, std::move(connection));
        return IoError::Withdrawn;
    }
    auto sentAt = monotonicNow();
    BeastResponseStream::ReturnToPool returnToPool;
    if (!limits.freshConnection)
        returnToPool = [impl = this->impl, endpoint](ConnectionPtr idle) { impl->returnToPool(endpoint, std::move(idle)); };
    BeastResponseStream::OnBroken onBroken;
    if (this->impl->onBrokenAnswer) {
        auto id = limits.idHeader.empty() ? std::string_view {} : findHeader(request.headers, limits.idHeader);
        onBroken = [impl = this->impl, answer = BrokenAnswer { endpoint, request.method + " " + request.target, std::string(id), {}, {}, {} }](const ErrorCode& error, std::string faulty) mutable {
            answer.error = toIoError(error);
            answer.fault = error.message();
            answer.bytes = std::move(faulty);
            impl->onBrokenAnswer(answer);
        };
    }
    auto stream = std::make_unique<BeastResponseStream>(std::move(connection), std::move(returnToPool), limits, std::move(onBroken), limits.memory == nullptr ? this->impl->memory : *limits.memory);
    auto message = toBeastRequest(endpoint, request);
    auto result = stream->sendAndReadHead(message);
    if (!result.error && !limits.idHeader.empty())
        result = stream->skipLateCopies(limits.idHeader, findHeader(request.headers, limits.idHeader));
    if (stream->isCancelled())
        return IoError::Cancelled;
    // Other connections may be dead too.
    if (result.error == beast::error::timeout)
        this->impl->closeIdleConnections(endpoint);
    if (result.error) {
        auto error = toIoError(result.error);
        if (error == IoError::Closed && idleSince.count() > 0)
            this->impl->learnIdleTimeout(sentAt - idleSince);
        return error;
    }
    if (idleSince.count() > 0)
        this->impl->recordReuse(sentAt - idleSince);
    stream->storeHeaders();
    return std::unique_ptr<ResponseStream>(std::move(stream));
}

Result<HttpResponse, IoError> HttpClient::call(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits)
{
    auto opened = this->open(endpoint, request, limits);
    if (!opened)
        return opened.error();
    auto& stream = static_cast<BeastResponseStream&>(*opened.value());
    HttpResponse response;
    response.status = stream.status();
    response.headers = stream.headers();
    // For the body as a whole: a peer that sends a byte now and then must not keep the caller waiting.
    auto end = monotonicNow() + limits.body.value_or(limits.response);
    while (true) {
        auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(end - monotonicNow());
        if (remaining <= std::chrono::milliseconds { 0 })
            return IoError::Timeout;
        auto bytes = stream.read(remaining);
        if (!bytes)
            return bytes.error();
        if (bytes.value().empty())
            return response;
        if (!stream.tryKeep(response.body.size() + bytes.value().size()))
            return IoError::TooLarge;
        response.body.append(bytes.value());
    }
}

void HttpClient::closeIdleConnections(const Endpoint& endpoint)
{
    this->impl->closeIdleConnections(endpoint);
}

std::string formatForLog(const BrokenAnswer& answer)
{
    auto text = "peer=" + toString(answer.peer) + " call=" + escapeForLog(answer.call) + " id=" + (answer.id.empty() ? "-" : escapeForLog(answer.id)) + " reason=" + name(answer.error) + " fault=\"" + answer.fault + "\"";
    return answer.bytes.empty() ? text : text + " bytes=" + escapeForLog(answer.bytes);
}

const char* name(IoError error)
{
    constexpr std::array<const char*, static_cast<size_t>(IoError::Count)> names {
        "refused", "not_connected", "connect_timeout", "timeout", "closed", "malformed", "too_large", "cancelled", "withdrawn", "no_place"
    };
    return names[static_cast<size_t>(error)];
}

bool isConnectError(IoError error)
{
    return error == IoError::Refused || error == IoError::NotConnected || error == IoError::ConnectTimeout || error == IoError::NoPlace;
}

void setTcpKeepAlive(Stream::socket_type& socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setTcpOption(socket, TCP_KEEPIDLE, static_cast<int>(tcpKeepAliveIdle.count()));
    setTcpOption(socket, TCP_KEEPINTVL, static_cast<int>(tcpKeepAliveInterval.count()));
    setTcpOption(socket, TCP_KEEPCNT, tcpKeepAliveCount);
}

void setTcpOption(Stream::socket_type& socket, int option, int value)
{
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
}

IoError toIoError(const ErrorCode& error)
{
    if (error == beast::error::timeout)
        return IoError::Timeout;
    if (error == http::error::header_limit || error == http::error::body_limit || error == http::error::buffer_overflow || error == asio::error::no_buffer_space)
        return IoError::TooLarge;
    if (error == http::error::end_of_stream || error == http::error::partial_message)
        return IoError::Closed;
    // Any other error of the HTTP parser.
    if (error.category() == http::make_error_code(http::error::end_of_stream).category())
        return IoError::Malformed;
    return IoError::Closed;
}

std::string toString(const Endpoint& endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

Result<Endpoint, IoError> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return IoError::Malformed;
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    endpoint.port = parseNumber<uint16_t>(text.substr(colon + 1)).value_or(0);
    if (endpoint.port == 0)
        return IoError::Malformed;
    ErrorCode addressError;
    asio::ip::make_address(endpoint.address, addressError);
    if (addressError)
        return IoError::Malformed;
    return endpoint;
}

std::string_view findHeader(const std::vector<Header>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (beast::iequals(header.name, name))
            return header.value;
    }
    return {};
}

std::vector<Header> endToEndHeaders(const std::vector<Header>& headers)
{
    constexpr std::array<std::string_view, 10> hopByHopHeaders {
        "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"
    };
    std::vector<std::string> connectionOptions;
    for (const auto& header : headers) {
        if (!beast::iequals(header.name, "Connection"))
            continue;
        for (auto option : http::token_list(header.value))
            connectionOptions.emplace_back(option);
    }
    auto contains = [](const auto& names, std::string_view name) { return std::any_of(names.begin(), names.end(), [name](std::string_view entry) { return beast::iequals(entry, name); }); };
    std::vector<Header> forwarded;
    for (const auto& header : headers) {
        if (!contains(hopByHopHeaders, header.name) && !contains(connectionOptions, header.name))
            forwarded.push_back(header);
    }
    return forwarded;
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view key)
{
    auto start = target.find('?');
    if (start == std::string_view::npos)
        return {};
    auto query = target.substr(start + 1);
    while (!query.empty()) {
        auto end = query.find('&');
        auto pair = query.substr(0, end);
        auto equals = pair.find('=');
        if (pair.substr(0, equals) == key)
            return equals == std::string_view::npos ? std::string {} : std::string(pair.substr(equals + 1));
        if (end == std::string_view::npos)
            break;
        query.remove_prefix(end + 1);
    }
    return {};
}

} // namespace comfreypier::transport
