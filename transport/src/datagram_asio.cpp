/// UDP socket over Asio: one receiving fiber, non-blocking sends.
#include "transport_p.h"

#include <boost/asio/ip/udp.hpp>

namespace comfreypier::transport {

namespace {

    using Udp = asio::ip::udp;

} // namespace

struct DatagramSocket::Impl : std::enable_shared_from_this<DatagramSocket::Impl> {
    Impl(Runtime& runtime, Endpoint listen, Receiver receiver)
        : runtime(runtime)
        , listen(std::move(listen))
        , receiver(std::move(receiver))
    {
    }

    /// Opens and binds the socket on the calling I/O thread.
    /// @return false on failure.
    bool open()
    {
        ErrorCode error;
        auto address = asio::ip::make_address(this->listen.address, error);
        if (error)
            return false;
        this->socket = std::make_unique<Udp::socket>(*currentContext());
        Udp::endpoint endpoint(address, this->listen.port);
        this->socket->open(endpoint.protocol(), error);
        if (!error)
            this->socket->bind(endpoint, error);
        if (!error)
            this->socket->non_blocking(true, error);
        return !error;
    }

    void receiveLoop()
    {
        std::vector<char> buffer(maxDatagramBytes);
        Udp::endpoint sender;
        while (!this->stopping) {
            auto received = awaitIo([&](auto handler) { this->socket->async_receive_from(asio::buffer(buffer), sender, std::move(handler)); });
            if (received.error)
                continue;
            try {
                this->receiver(std::string_view(buffer.data(), received.bytes));
            } catch (const std::exception& exception) {
                this->log.error("event=unexpected_error datagram_bytes=" + std::to_string(received.bytes) + " error=\"" + exception.what() + "\"");
            }
        }
    }

    Runtime& runtime;
    Endpoint listen;
    Receiver receiver;
    std::unique_ptr<Udp::socket> socket; ///< Null until `open`.
    std::atomic<bool> stopping { false };
    Log log { "datagrams" };
};

DatagramSocket::DatagramSocket(Runtime& runtime, Endpoint listen, Receiver receiver)
    : impl(std::make_shared<Impl>(runtime, std::move(listen), std::move(receiver)))
{
}

DatagramSocket::~DatagramSocket()
{
    this->stop();
}

bool DatagramSocket::start()
{
    std::atomic<int> bindResult { -1 }; // -1: pending, 0: failed, 1: bound.
    this->impl->runtime.spawn([impl = this->impl, &bindResult] {
        bool opened = impl->open();
        bindResult = opened ? 1 : 0;
        if (opened)
            impl->receiveLoop();
    });
    while (bindResult < 0)
        std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
    return bindResult == 1;
}

bool DatagramSocket::send(const Endpoint& to, std::string_view bytes)
{
    ErrorCode error;
    auto address = asio::ip::make_address(to.address, error);
    if (error || bytes.size() > maxDatagramBytes)
        return false;
    this->impl->socket->send_to(asio::buffer(bytes.data(), bytes.size()), Udp::endpoint(address, to.port), 0, error);
    return !error;
}

void DatagramSocket::stop()
{
    if (this->impl->stopping.exchange(true) || !this->impl->socket)
        return;
    // The socket is closed on its I/O thread, where the receiving fiber uses it.
    asio::post(this->impl->socket->get_executor(), [impl = this->impl] {
        ErrorCode ignored;
        impl->socket->close(ignored);
    });
}

} // namespace comfreypier::transport
