/// Daemon of one entry VM: replays the log, serves callers and coordinates the workers of its region.
#pragma once

#include <state/state.h>

namespace comfreypier::daemon {

/// One entry VM's node: owns its runtime, listeners, replicas and background tasks.
class Daemon {
public:
    /// Starts the I/O threads and opens the listener for RPC. `start` reports whether that succeeded.
    explicit Daemon(protocol::NodeSettings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Opens the listener for HTTP and starts the background tasks.
    /// @return false if the address of one of the listeners cannot be bound.
    bool start();
    /// Forwards new requests to peers, waits for open requests, releases the session and stops. Blocks the calling thread,
    /// which must not be an I/O thread.
    /// @return true if all requests completed within `NodeSettings::drainTimeout` of the call, false if some were cut off.
    bool drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace comfreypier::daemon
