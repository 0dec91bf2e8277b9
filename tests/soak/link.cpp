/// TCP forwarder with faults.
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

    constexpr milliseconds holdStep { 10 };
    constexpr size_t pieceSize = 16 * 1024;

    tcp::endpoint local(uint16_t port)
    {
        return { asio::ip::address_v4::loopback(), port };
    }

} // namespace

struct Link::Connection : std::enable_shared_from_this<Link::Connection> {
    /// Bytes in one direction.
    struct Way {
        tcp::socket& from;
        tcp::socket& to;
        std::atomic<bool>& held;
        asio::steady_timer timer;
        std::array<char, pieceSize> bytes {};
    };

    Connection(Link& link, tcp::socket accepted)
        : link(link)
        , caller(std::move(accepted))
        , target(link.context)
        , up { this->caller, this->target, link.faults.holdsRequests, asio::steady_timer(link.context), {} }
        , down { this->target, this->caller, link.faults.holdsAnswers, asio::steady_timer(link.context), {} }
    {
    }

    void start()
    {
        this->target.async_connect(local(this->link.target), [self = this->shared_from_this()](error_code error) {
            if (error)
                return self->reset();
            self->pump(self->up);
            self->pump(self->down);
        });
    }

    void pump(Way& way)
    {
        way.from.async_read_some(asio::buffer(way.bytes), [self = this->shared_from_this(), &way](error_code error, size_t count) {
            if (error && error != asio::error::eof)
                return self->reset();
            self->waitAndPass(way, count, milliseconds { self->link.faults.delayMs });
        });
    }

    /// Passes a piece on, or the end if it is empty, once nothing holds it.
    void waitAndPass(Way& way, size_t count, milliseconds delay)
    {
        bool held = this->silent || way.held;
        if (!held && delay <= milliseconds { 0 })
            return this->pass(way, count);
        way.timer.expires_after(held ? holdStep : delay);
        way.timer.async_wait([self = this->shared_from_this(), &way, count, delay, held](error_code error) {
            if (!error)
                self->waitAndPass(way, count, held ? delay : milliseconds { 0 });
        });
    }

    void pass(Way& way, size_t count)
    {
        if (count == 0) {
            error_code ignored; // The other side may be gone already.
            way.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(way.to, asio::buffer(way.bytes, count), [self = this->shared_from_this(), &way](error_code error, size_t) {
            if (error)
                return self->reset();
            self->pump(way);
        });
    }

    void reset()
    {
        error_code ignored; // Sockets that are closed already stay so.
        this->caller.set_option(asio::socket_base::linger(true, 0), ignored);
        this->target.set_option(asio::socket_base::linger(true, 0), ignored);
        this->caller.close(ignored);
        this->target.close(ignored);
        this->up.timer.cancel();
        this->down.timer.cancel();
    }

    Link& link;
    tcp::socket caller;
    tcp::socket target;
    Way up;
    Way down;
    bool silent = false;
};

Link::Link(asio::io_context& context, uint16_t from, uint16_t to)
    : context(context)
    , acceptor(context, local(from))
    , target(to)
{
    this->accept();
}

void Link::accept()
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

void Link::reset()
{
    asio::post(this->context, [this] {
        for (const auto& connection : this->connections) {
            if (auto open = connection.lock())
                open->reset();
        }
    });
}

void Link::silence()
{
    asio::post(this->context, [this] {
        for (const auto& connection : this->connections) {
            if (auto open = connection.lock())
                open->silent = true;
        }
    });
}

} // namespace comfreypier::soak
