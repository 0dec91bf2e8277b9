/// TCP proxy that injects connection faults.
#include "soak.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace comfreypier::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    /// Interval at which a held chunk checks whether it may be forwarded.
    constexpr milliseconds holdPollInterval { 10 };
    /// Maximum number of bytes that are read and delayed together.
    constexpr size_t chunkSize = 16 * 1024;

    tcp::endpoint loopback(uint16_t port)
    {
        return { asio::ip::address_v4::loopback(), port };
    }

} // namespace

/// One forwarded connection. Its pending operations keep it alive. It is used only by the context's thread.
struct FaultProxy::Connection : std::enable_shared_from_this<FaultProxy::Connection> {
    /// State of forwarding in one direction.
    struct Direction {
        tcp::socket& from;
        tcp::socket& to;
        std::atomic<bool>& hold; ///< The proxy's fault that holds back this direction.
        asio::steady_timer timer; ///< For the delay of a chunk and for polling `hold`.
        std::array<char, chunkSize> bytes {}; ///< The chunk that was read last.
    };

    Connection(FaultProxy& proxy, tcp::socket accepted)
        : proxy(proxy)
        , caller(std::move(accepted))
        , target(proxy.context)
        , requests { this->caller, this->target, proxy.faults.holdRequests, asio::steady_timer(proxy.context), {} }
        , responses { this->target, this->caller, proxy.faults.holdResponses, asio::steady_timer(proxy.context), {} }
    {
    }

    /// Connects to the target and forwards in both directions. Resets the caller's connection if that fails.
    void start()
    {
        this->target.async_connect(loopback(this->proxy.target), [self = this->shared_from_this()](error_code error) {
            if (error)
                return self->reset();
            self->readNext(self->requests);
            self->readNext(self->responses);
        });
    }

    /// Reads the next chunk, which is empty at the end of the stream, and forwards it.
    void readNext(Direction& direction)
    {
        direction.from.async_read_some(asio::buffer(direction.bytes), [self = this->shared_from_this(), &direction](error_code error, size_t byteCount) {
            if (error && error != asio::error::eof)
                return self->reset();
            self->forwardWhenReleased(direction, byteCount, milliseconds { self->proxy.faults.delayMs });
        });
    }

    /// Forwards a chunk after the delay, as soon as nothing holds it back. The delay begins when the hold ends.
    void forwardWhenReleased(Direction& direction, size_t byteCount, milliseconds delay)
    {
        bool isHeld = this->silenced || direction.hold;
        if (!isHeld && delay <= milliseconds { 0 })
            return this->forward(direction, byteCount);
        direction.timer.expires_after(isHeld ? holdPollInterval : delay);
        direction.timer.async_wait([self = this->shared_from_this(), &direction, byteCount, delay, isHeld](error_code error) {
            if (!error)
                self->forwardWhenReleased(direction, byteCount, isHeld ? delay : milliseconds { 0 });
        });
    }

    /// Forwards a chunk at once and then reads the next one. An empty chunk shuts down sending.
    void forward(Direction& direction, size_t byteCount)
    {
        if (byteCount == 0) {
            error_code ignored; // The other side may have closed already.
            direction.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(direction.to, asio::buffer(direction.bytes, byteCount), [self = this->shared_from_this(), &direction](error_code error, size_t) {
            if (error)
                return self->reset();
            self->readNext(direction);
        });
    }

    /// Closes both connections with a TCP reset, which a linger time of 0 causes.
    void reset()
    {
        error_code ignored; // A socket may be closed already.
        this->caller.set_option(asio::socket_base::linger(true, 0), ignored);
        this->target.set_option(asio::socket_base::linger(true, 0), ignored);
        this->caller.close(ignored);
        this->target.close(ignored);
        this->requests.timer.cancel();
        this->responses.timer.cancel();
    }

    FaultProxy& proxy;
    tcp::socket caller;
    tcp::socket target;
    Direction requests;
    Direction responses;
    bool silenced = false; ///< Nothing is forwarded any more.
};

FaultProxy::FaultProxy(asio::io_context& context, uint16_t from, uint16_t to)
    : context(context)
    , acceptor(context, loopback(from))
    , target(to)
{
    this->accept();
}

void FaultProxy::accept()
{
    this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error)
            return;
        std::erase_if(this->connections, [](const auto& connection) { return connection.expired(); });
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        if (this->faults.refusing)
            connection->reset();
        else {
            this->connections.push_back(connection);
            connection->start();
        }
        this->accept();
    });
}

void FaultProxy::reset()
{
    asio::post(this->context, [this] {
        for (const auto& connection : this->connections) {
            if (auto open = connection.lock())
                open->reset();
        }
    });
}

void FaultProxy::silence()
{
    asio::post(this->context, [this] {
        for (const auto& connection : this->connections) {
            if (auto open = connection.lock())
                open->silenced = true;
        }
    });
}

} // namespace comfreypier::soak
