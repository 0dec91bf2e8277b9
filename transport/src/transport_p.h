/// Shared inside the transport library: Asio, Beast and the fiber wait helper.
#pragma once

#define BOOST_ASIO_DISABLE_IO_URING
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/all.hpp>
#include <transport/transport.h>

namespace comfreypier::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Stream = beast::basic_stream<Tcp, asio::io_context::executor_type>;

/// The io_context of the calling I/O thread. Null on other threads.
asio::io_context* currentContext();

/// Installs the fiber scheduler that runs `context` while no fiber is ready.
void installFiberScheduler(asio::io_context& context);

/// Outcome of one awaited Asio operation.
struct AwaitedIo {
    ErrorCode error;
    std::size_t bytes = 0;
};

/// Starts an Asio operation and suspends the calling fiber until its handler has run.
/// The operation must complete on the io_context of the calling thread.
/// @param start receives the completion handler.
template <class Start>
AwaitedIo awaitIo(Start&& start)
{
    AwaitedIo outcome;
    bool done = false;
    bool suspended = false;
    auto* fiber = boost::fibers::context::active();
    start([&outcome, &done, &suspended, fiber](ErrorCode error, auto... rest) {
        outcome.error = error;
        if constexpr (sizeof...(rest) == 1 && std::is_integral_v<std::tuple_element_t<0, std::tuple<decltype(rest)..., int>>>)
            outcome.bytes = std::get<0>(std::make_tuple(rest...));
        done = true;
        if (suspended)
            boost::fibers::context::active()->schedule(fiber);
    });
    if (!done) {
        suspended = true;
        fiber->suspend();
    }
    return outcome;
}

/// Cancels a socket's reads at a deadline. The socket stays open, so that an answer can still be sent.
class ReadDeadline {
public:
    /// Must be made and destroyed on the socket's I/O thread.
    ReadDeadline(Stream::socket_type& socket, std::chrono::milliseconds timeout);
    ~ReadDeadline();
    ReadDeadline(const ReadDeadline&) = delete;
    ReadDeadline& operator=(const ReadDeadline&) = delete;
    /// Tells whether the deadline has cancelled a read.
    bool hasPassed() const { return this->passed; }
    /// Cancels the reads if the deadline has come.
    void cancelIfPassed(std::chrono::nanoseconds now);

private:
    Stream::socket_type& socket;
    std::chrono::nanoseconds until;
    bool passed = false;
};

/// Makes the system end a connection whose peer has silently gone.
void setLivenessOptions(Stream::socket_type& socket);

/// Maps an Asio or Beast error to `IoError`.
IoError toIoError(const ErrorCode& error);

} // namespace comfreypier::transport
