/// The entry VM daemon: puts the layers together.
#pragma once

#include <state/state.h>

namespace comfreypier::daemon {

/// One running daemon.
class Daemon {
public:
    explicit Daemon(protocol::NodeSettings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Opens the listeners and starts all duties.
    /// @return false if an address can't be bound.
    bool start();
    /// Leaves the view, lets every open request end and releases the session.
    /// @return true if nothing was cut off within the drain limit.
    bool drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace comfreypier::daemon
