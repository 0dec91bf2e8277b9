/// HTTP/1.1 client over Boost.Beast with a pool of idle connections for each thread.
#include "transport_p.h"

#include <charconv>
#include <deque>
#include <map>
#include <netinet/tcp.h>

namespace comfreypier::transport {

namespace {

    /// Bytes read from a response body at a time.
    constexpr size_t readChunkSize = 8 * 1024;

    struct ClientConnection {
        explicit ClientConnection(asio::io_context& context)
            : stream(Stream::executor_type { context.get_executor() })
        {
        }
        Stream stream;
        beast::flat_buffer buffer;
        std::chrono::nanoseconds idleUntil { 0 };
        std::chrono::nanoseconds idleSince { 0 }; ///< 0 if it has carried no answer yet.
    };
    using ConnectionPtr = std::unique_ptr<ClientConnection>;

    /// Idle connections of one thread.
    struct Pool {
        std::map<Endpoint, std::deque<ConnectionPtr>> idle;
    };

    thread_local std::map<const void*, Pool> threadPools;

    /// Time for which the peer keeps the connection idle, less a margin, or the client's own limit if that is shorter.
    std::chrono::nanoseconds idleTime(std::string_view keepAlive)
    {
        constexpr std::string_view key = "timeout=";
        auto start = keepAlive.find(key);
        int64_t seconds = 0;
        if (start == std::string_view::npos)
            return clientIdleTimeout;
        auto digits = keepAlive.substr(start + key.size());
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        if (error != std::errc {})
            return clientIdleTimeout;
        std::chrono::nanoseconds announced = std::chrono::seconds { seconds } - idleTimeoutMargin;
        return std::min<std::chrono::nanoseconds>(announced, clientIdleTimeout);
    }

    http::request<http::string_body> toMessage(const Endpoint& endpoint, const HttpRequest& request)
    {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        if (findHeader(request.headers, "Host").empty())
            message.set(http::field::host, toString(endpoint));
        for (const auto& header : request.headers)
            message.insert(header.name, header.value);
        message.body() = request.body;
        message.prepare_payload();
        return message;
    }

    std::vector<Header> toHeaders(const http::fields& fields)
    {
        std::vector<Header> headers;
        for (const auto& field : fields)
            headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        return headers;
    }

} // namespace

/// Lets a `CancelToken` close one connection while this object lives.
class CancelRegistration {
public:
    CancelRegistration(CancelToken* cancel, ClientConnection& connection)
        : cancel(cancel)
    {
        if (cancel != nullptr)
            cancel->hook = [&connection] { connection.stream.close(); };
    }
    ~CancelRegistration() { this->release(); }
    CancelRegistration(const CancelRegistration&) = delete;
    CancelRegistration& operator=(const CancelRegistration&) = delete;
    void release()
    {
        if (this->cancel != nullptr)
            this->cancel->hook = nullptr;
        this->cancel = nullptr;
    }

private:
    CancelToken* cancel;
};

void CancelToken::cancel()
{
    this->cancelled = true;
    if (auto call = std::exchange(this->hook, nullptr))
        call();
}

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    ConnectionPtr takeIdle(const Endpoint& endpoint) const
    {
        auto& idle = threadPools[this].idle[endpoint];
        auto now = monotonicNow();
        auto limit = this->idleLimit(now);
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (now < connection->idleUntil && now - connection->idleSince < limit && this->isUsable(*connection))
                return connection;
        }
        return nullptr;
    }

    /// Idle time after which pooled connections are not used any more.
    std::chrono::nanoseconds idleLimit(std::chrono::nanoseconds now) const
    {
        std::lock_guard lock(this->mutex);
        return now < this->learnedUntil ? this->learnedLimit : clientIdleTimeout;
    }

    /// Notes that a connection which had rested for `rested` ended before a byte of the answer: peers may drop idle connections
    /// without a sign, and the next request on one is lost.
    void noteDroppedIdle(std::chrono::nanoseconds rested)
    {
        auto now = monotonicNow();
        auto limit = std::min(this->idleLimit(now), rested / 2);
        std::lock_guard lock(this->mutex);
        this->learnedLimit = std::max<std::chrono::nanoseconds>(minLearnedIdleTimeout, limit);
        this->learnedUntil = now + learnedIdleTimeoutLifetime;
    }

    /// A pooled connection is unusable once the peer has closed it or sent bytes nobody asked for.
    static bool isUsable(ClientConnection& connection)
    {
        char byte = 0;
        auto count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// Drops the pooled connections of an endpoint after one of them went silent.
    void renewPool(const Endpoint& endpoint) const
    {
        threadPools[this].idle[endpoint].clear();
    }

    void giveBack(const Endpoint& endpoint, ConnectionPtr connection) const
    {
        auto& idle = threadPools[this].idle[endpoint];
        connection->stream.expires_never();
        if (idle.size() < maxIdleConnectionsPerEndpoint)
            idle.push_back(std::move(connection));
    }

    mutable std::mutex mutex;
    std::chrono::nanoseconds learnedLimit { 0 }; ///< Guarded by `mutex`, like the next.
    std::chrono::nanoseconds learnedUntil { 0 };

    Result<ConnectionPtr, IoError> connect(const Endpoint& endpoint, const CallLimits& limits)
    {
        ErrorCode error;
        auto address = asio::ip::make_address(endpoint.address, error);
        if (error)
            return IoError::Refused;
        auto connection = std::make_unique<ClientConnection>(*currentContext());
        connection->stream.expires_after(limits.connect);
        CancelRegistration hook(limits.cancel, *connection);
        Tcp::endpoint peer(address, endpoint.port);
        auto outcome = awaitIo([&](auto handler) { connection->stream.async_connect(peer, std::move(handler)); });
        if (limits.cancel != nullptr && limits.cancel->isCancelled())
            return IoError::Cancelled;
        if (outcome.error == beast::error::timeout)
            return IoError::ConnectTimeout;
        if (outcome.error)
            return IoError::Refused;
        connection->stream.socket().set_option(Tcp::no_delay(true), error);
        setLivenessOptions(connection->stream.socket());
        return connection;
    }
};

namespace {

    /// Sends the request on one connection and reads the body of the answer piece by piece.
    class BeastResponseStream : public ResponseStream {
    public:
        using GiveBack = std::function<void(ConnectionPtr)>;

        BeastResponseStream(ConnectionPtr connection, GiveBack giveBack, CancelToken* cancel)
            : connection(std::move(connection))
            , giveBack(std::move(giveBack))
            , cancel(cancel)
            , hook(cancel, *this->connection)
        {
        }

        ~BeastResponseStream() override
        {
            this->hook.release();
            // Bytes after a complete answer belong to no request: such a connection is not used again.
            bool clean = this->connection->buffer.size() == 0 && !this->isCancelled();
            if (!clean || !this->parser.is_done() || !this->parser.get().keep_alive())
                return;
            this->connection->idleSince = monotonicNow();
            this->connection->idleUntil = this->connection->idleSince + idleTime(this->parser.get()[http::field::keep_alive]);
            this->giveBack(std::move(this->connection));
        }

        /// Sends the request and waits for the head of the answer.
        AwaitedIo exchange(http::request<http::string_body>& message, const CallLimits& limits)
        {
            auto& stream = this->connection->stream;
            this->parser.body_limit(limits.maxBodyBytes);
            stream.expires_after(limits.response);
            auto sent = awaitIo([&](auto handler) { http::async_write(stream, message, std::move(handler)); });
            if (sent.error)
                return sent;
            return awaitIo([&](auto handler) { http::async_read_header(stream, this->connection->buffer, this->parser, std::move(handler)); });
        }

        bool isCancelled() const { return this->cancel != nullptr && this->cancel->isCancelled(); }
        void headRead() { this->fields = toHeaders(this->parser.get()); }
        unsigned status() const override { return this->parser.get().result_int(); }
        const std::vector<Header>& headers() const override { return this->fields; }

        Result<std::string_view, IoError> read(std::chrono::milliseconds timeout) override
        {
            while (!this->parser.is_done()) {
                auto& body = this->parser.get().body();
                this->chunk.resize(readChunkSize);
                body.data = this->chunk.data();
                body.size = this->chunk.size();
                auto& socket = this->connection->stream.socket();
                ReadDeadline deadline(socket, timeout);
                auto outcome = awaitIo([&](auto handler) { http::async_read_some(socket, this->connection->buffer, this->parser, std::move(handler)); });
                if (this->isCancelled())
                    return IoError::Cancelled;
                // Bytes that came just before the deadline are not lost: the caller may read on after a time-out.
                if (outcome.error && outcome.error != http::error::need_buffer)
                    return deadline.hasPassed() ? IoError::Timeout : toIoError(outcome.error);
                auto length = readChunkSize - body.size;
                if (length > 0)
                    return std::string_view(this->chunk.data(), length);
            }
            return std::string_view {};
        }

    private:
        ConnectionPtr connection;
        GiveBack giveBack;
        CancelToken* cancel;
        CancelRegistration hook;
        http::response_parser<http::buffer_body> parser;
        std::vector<Header> fields;
        std::vector<char> chunk;
    };

} // namespace

HttpClient::HttpClient()
    : impl(std::make_shared<Impl>())
{
}

HttpClient::~HttpClient() = default;

Result<std::unique_ptr<ResponseStream>, IoError> HttpClient::open(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits)
{
    if (limits.cancel != nullptr && limits.cancel->isCancelled())
        return IoError::Cancelled;
    auto connection = limits.freshConnection ? nullptr : this->impl->takeIdle(endpoint);
    if (!connection) {
        auto connected = this->impl->connect(endpoint, limits);
        if (!connected)
            return connected.error();
        connection = std::move(connected.value());
    }
    auto idleSince = connection->idleSince;
    auto sentAt = monotonicNow();
    auto giveBack = [impl = this->impl, endpoint](ConnectionPtr idle) { impl->giveBack(endpoint, std::move(idle)); };
    auto stream = std::make_unique<BeastResponseStream>(std::move(connection), giveBack, limits.cancel);
    auto message = toMessage(endpoint, request);
    auto outcome = stream->exchange(message, limits);
    if (stream->isCancelled())
        return IoError::Cancelled;
    if (outcome.error == beast::error::timeout)
        this->impl->renewPool(endpoint);
    if (outcome.error) {
        auto error = toIoError(outcome.error);
        if (error == IoError::Closed && idleSince.count() > 0)
            this->impl->noteDroppedIdle(sentAt - idleSince);
        return error;
    }
    stream->headRead();
    return std::unique_ptr<ResponseStream>(std::move(stream));
}

Result<HttpResponse, IoError> HttpClient::call(const Endpoint& endpoint, const HttpRequest& request, const CallLimits& limits)
{
    auto opened = this->open(endpoint, request, limits);
    if (!opened)
        return opened.error();
    auto stream = std::move(opened.value());
    HttpResponse response;
    response.status = stream->status();
    response.headers = stream->headers();
    while (true) {
        auto piece = stream->read(limits.response);
        if (!piece)
            return piece.error();
        if (piece.value().empty())
            return response;
        response.body.append(piece.value());
    }
}

// ---------------------------------------------------------------- helpers of the public header

const char* name(IoError error)
{
    constexpr std::array<const char*, static_cast<size_t>(IoError::Count)> names {
        "refused", "connect_timeout", "timeout", "closed", "malformed", "too_large", "cancelled"
    };
    return names[static_cast<size_t>(error)];
}

bool isConnectError(IoError error)
{
    return error == IoError::Refused || error == IoError::ConnectTimeout;
}

void setLivenessOptions(Stream::socket_type& socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    auto set = [&socket](int option, int value) { ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value); };
    set(TCP_KEEPIDLE, static_cast<int>(tcpKeepAliveIdle.count()));
    set(TCP_KEEPINTVL, static_cast<int>(tcpKeepAliveInterval.count()));
    set(TCP_KEEPCNT, tcpKeepAliveCount);
    set(TCP_USER_TIMEOUT, static_cast<int>(tcpUserTimeout.count()));
}

IoError toIoError(const ErrorCode& error)
{
    if (error == beast::error::timeout)
        return IoError::Timeout;
    if (error == http::error::header_limit || error == http::error::body_limit || error == http::error::buffer_overflow)
        return IoError::TooLarge;
    if (error == http::error::end_of_stream || error == http::error::partial_message)
        return IoError::Closed;
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
    auto port = text.substr(colon + 1);
    auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (error != std::errc {} || end != port.data() + port.size() || endpoint.port == 0)
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
