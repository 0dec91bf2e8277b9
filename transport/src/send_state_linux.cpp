/// Reads the state of sent bytes from Linux.
#include "send_state.h"

#include <cstddef>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace comfreypier::transport {

namespace {

    /// TCP_CLOSE of the kernel's states.
    constexpr unsigned closedState = 7;

} // namespace

std::optional<uint64_t> unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? std::optional<uint64_t>(bytes) : std::nullopt;
}

SendState readSendState(int socket)
{
    SendState state;
    state.unacknowledgedBytes = unacknowledgedBytes(socket);
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < sizeof info.tcpi_state)
        return state;
    state.connected = info.tcpi_state != closedState;
    // Where no segments are counted, the other fields that describe the peer are empty as well. Older kernels end the structure earlier.
    if (size < offsetof(tcp_info, tcpi_snd_wnd) + sizeof info.tcpi_snd_wnd || info.tcpi_segs_in == 0)
        return state;
    state.segmentsInFlight = info.tcpi_unacked;
    state.sinceLastAck = std::chrono::milliseconds { info.tcpi_last_ack_recv };
    state.windowBytes = info.tcpi_snd_wnd;
    state.retransmissions = info.tcpi_retransmits;
    state.unansweredProbes = info.tcpi_probes;
    return state;
}

} // namespace comfreypier::transport
