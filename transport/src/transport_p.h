/// Internal header of the transport library: Asio and Beast aliases, and functions that suspend fibers during I/O.
#pragma once

#define BOOST_ASIO_DISABLE_IO_URING
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/context/stack_context.hpp>
#include <boost/fiber/all.hpp>
#include <transport/transport.h>

namespace comfreypier::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Stream = beast::basic_stream<Tcp, asio::io_context::executor_type>;

/// Returns the io_context of the calling I/O thread, or null on other threads.
asio::io_context* currentContext();

/// Number of fibers resumed between two polls for I/O, so that ready fibers don't starve I/O.
constexpr unsigned defaultResumesPerPoll = 64;

/// Installs a fiber scheduler on the calling thread that runs `context` while no fiber is ready.
void installFiberScheduler(asio::io_context& context, unsigned resumesPerPoll = defaultResumesPerPoll);

/// Size of a fiber's stack. The pages that the fiber has used are resident.
constexpr size_t fiberStackBytes = 128 * 1024;

/// Allocates stacks of fibers apart from other memory.
class FiberStacks {
public:
    static boost::context::stack_context allocate();
    static void deallocate(boost::context::stack_context& context) noexcept;
};

/// Runs `task` on a new fiber of the calling thread.
template <class Task>
void startFiber(Task&& task)
{
    boost::fibers::fiber(std::allocator_arg, FiberStacks {}, std::forward<Task>(task)).detach();
}

/// Result of an Asio operation.
struct IoResult {
    ErrorCode error;
    std::size_t bytes = 0;
};

/// Starts an Asio operation and suspends the calling fiber until its handler has run.
/// The operation must complete on the io_context of the calling thread.
/// @param start starts the operation with the completion handler that it receives.
template <class Start>
IoResult awaitIo(Start&& start)
{
    IoResult result;
    bool done = false;
    bool suspended = false; // The handler must wake the fiber, as it did not run within `start`.
    auto* fiber = boost::fibers::context::active();
    start([&result, &done, &suspended, fiber](ErrorCode error, auto... rest) {
        result.error = error;
        // Reads and writes pass the number of bytes after the error. The added `int` makes element 0 exist if there is none.
        if constexpr (sizeof...(rest) == 1 && std::is_integral_v<std::tuple_element_t<0, std::tuple<decltype(rest)..., int>>>)
            result.bytes = std::get<0>(std::make_tuple(rest...));
        done = true;
        if (suspended)
            boost::fibers::context::active()->schedule(fiber);
    });
    if (!done) {
        suspended = true;
        fiber->suspend();
    }
    return result;
}

/// Bytes of a connection's buffer that its place in the `ConnectionBudget` includes.
constexpr size_t firstBufferBytes = 2048;

/// Size of one read of a message: the buffer's free space, within these bounds.
constexpr size_t minReadBytes = 512;
constexpr size_t maxReadBytes = 64 * 1024;

/// When `readMessage` returns.
enum class ReadUntil {
    Progress, ///< The parser has used some bytes.
    HeadEnd,
    Count
};

/// Passes buffered bytes to the parser. An exception of the parser becomes an error: `header_limit` for a field that is larger than
/// the parser can store, else `bad_value`.
/// @return `need_more` if the parser needs more bytes.
template <class Parser>
ErrorCode parseBuffered(beast::flat_buffer& buffer, Parser& parser)
{
    ErrorCode error;
    try {
        buffer.consume(parser.put(buffer.data(), error));
    } catch (const std::length_error&) {
        error = http::error::header_limit;
    } catch (const std::exception&) {
        error = http::error::bad_value;
    }
    return error;
}

/// Reads and parses a message. Beast's own operations parse in I/O handlers, where an exception of the parser ends the process; this
/// function parses on the calling fiber.
/// @param source socket or stream. Its timeouts end the read with their errors.
/// @param buffer bytes that are received but not parsed. `buffer_overflow` if the parser needs more of them than its maximum size.
/// @param parser not done yet.
/// @param mayHold called before each use of the parser and each read, with the number of bytes that are about to be received. If it returns
/// false, the result is `no_buffer_space`.
/// @param onReceived called with the number of bytes that were received.
template <class Source, class Parser, class MayHold, class OnReceived>
IoResult readMessage(Source& source, beast::flat_buffer& buffer, Parser& parser, ReadUntil until, MayHold&& mayHold, OnReceived&& onReceived)
{
    while (true) {
        if (!mayHold(size_t { 0 }))
            return { asio::error::no_buffer_space };
        auto error = buffer.size() > 0 ? parseBuffered(buffer, parser) : ErrorCode(http::error::need_more);
        if (error != http::error::need_more) {
            if (error || until == ReadUntil::Progress || parser.is_header_done())
                return { error };
            continue;
        }
        if (buffer.size() >= buffer.max_size())
            return { http::error::buffer_overflow };
        auto size = std::min(std::clamp(buffer.capacity() - buffer.size(), minReadBytes, maxReadBytes), buffer.max_size() - buffer.size());
        if (!mayHold(size))
            return { asio::error::no_buffer_space };
        auto received = awaitIo([&](auto handler) { source.async_read_some(buffer.prepare(size), std::move(handler)); });
        buffer.commit(received.bytes);
        onReceived(received.bytes);
        if (received.error == asio::error::eof) {
            if (!parser.got_some())
                return { http::error::end_of_stream };
            // Completes a body without a length.
            ErrorCode incomplete;
            parser.put_eof(incomplete);
            return { incomplete };
        }
        if (received.error)
            return received;
    }
}

/// Returns the memory of a connection's buffer in bytes, beyond what its place includes.
/// @param further bytes that are about to be received into it.
inline uint64_t heldBufferBytes(const beast::flat_buffer& buffer, size_t further)
{
    // A buffer that grows is copied to one of twice its size.
    auto capacity = buffer.size() + further > buffer.capacity() ? 3 * (buffer.size() + further) : buffer.capacity();
    return capacity > firstBufferBytes ? capacity : 0;
}

/// Returns the bytes that are received but not parsed.
inline std::string_view unparsedBytes(const beast::flat_buffer& buffer)
{
    return { static_cast<const char*>(buffer.data().data()), buffer.size() };
}

struct DeadlineTable;

/// Cancels the reads of a socket at a deadline. The socket stays open, so that a response can still be sent.
class ReadDeadline {
public:
    /// Must be created and destroyed on the I/O thread of the socket.
    ReadDeadline(Stream::socket_type& socket, std::chrono::milliseconds timeout);
    ~ReadDeadline();
    ReadDeadline(const ReadDeadline&) = delete;
    ReadDeadline& operator=(const ReadDeadline&) = delete;
    /// Returns true if the deadline has expired and the reads were cancelled.
    bool hasExpired() const { return this->expired; }
    /// Cancels the reads if `now` is at or after the deadline.
    /// @param late the thread did not run for some time. What has arrived meanwhile is then read first.
    void cancelIfExpired(std::chrono::nanoseconds now, bool late);

private:
    Stream::socket_type& socket;
    std::chrono::nanoseconds expiresAt;
    const std::shared_ptr<DeadlineTable> table; ///< Of the thread. Fibers that the thread ends last still use it.
    bool expired = false;
};

/// Makes the kernel close a connection whose peer has become unreachable without closing it, while nothing that was sent to the peer is
/// unacknowledged.
void setTcpKeepAlive(Stream::socket_type& socket);

/// Sets an option of <netinet/tcp.h>. One that the kernel does not know has no effect.
void setTcpOption(Stream::socket_type& socket, int option, int value);

/// Maps an Asio or Beast error to `IoError`. Errors that are neither a timeout nor from the HTTP parser become `Closed`.
IoError toIoError(const ErrorCode& error);

} // namespace comfreypier::transport
