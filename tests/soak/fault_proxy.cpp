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

    constexpr milliseconds holdPollInterval { 10 };
    constexpr size_t chunkSize = 16 * 1024;

    tcp::endpoint loopback(uint16_t port)
    {
        return { asio::ip::address_v4::loopback(), port };
    }

} // namespace

struct FaultProxy::Connection : std::enable_shared_from_this<FaultProxy::Connection> {
    /// State of forwarding in one direction.
    struct Direction {
        tcp::socket& from;
        tcp::socket& to;
        std::atomic<bool>& hold;
        asio::steady_timer timer;
        std::array<char, chunkSize> bytes {};
    };

    Connection(FaultProxy& proxy, tcp::socket accepted)
        : proxy(proxy)
        , caller(std::move(accepted))
        , target(proxy.context)
        , requests { this->caller, this->target, proxy.faults.holdRequests, asio::steady_timer(proxy.context), {} }
        , responses { this->target, this->caller, proxy.faults.holdResponses, asio::steady_timer(proxy.context), {} }
    {
    }

    void start()
    {
        this->target.async_connect(loopback(this->proxy.target), [self = this->shared_from_this()](error_code error) {
            if (error)
                return self->reset();
            self->readNext(self->requests);
            self->readNext(self->responses);
        });
    }

    void readNext(Direction& direction)
    {
        direction.from.async_read_some(asio::buffer(direction.bytes), [self = this->shared_from_this(), &direction](error_code error, size_t byteCount) {
            if (error && error != asio::error::eof)
                return self->reset();
            self->forwardWhenReleased(direction, byteCount, milliseconds { self->proxy.faults.delayMs });
        });
    }

    /// Forwards a chunk after the delay, as soon as nothing holds it back. An empty chunk shuts down sending.
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
    bool silenced = false;
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
