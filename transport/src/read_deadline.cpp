/// Read deadlines. Checking all deadlines of a thread periodically costs less than a timer per streamed token.
#include "transport_p.h"

#include <set>

namespace comfreypier::transport {

namespace {

    /// Time between two checks of the deadlines. A read may exceed its deadline by up to this much.
    constexpr std::chrono::milliseconds sweepInterval { 50 };

    /// Deadlines of the pending reads on one thread.
    struct DeadlineTable {
        std::set<ReadDeadline*> active;
        bool sweeperRunning = false; ///< A fiber of this thread runs `sweepDeadlines`.
    };

    thread_local DeadlineTable threadDeadlines;

    /// Cancels expired reads of this thread every `sweepInterval`, until no read is pending.
    void sweepDeadlines()
    {
        while (!threadDeadlines.active.empty()) {
            sleepFor(sweepInterval);
            auto now = monotonicNow();
            for (auto* deadline : threadDeadlines.active)
                deadline->cancelIfExpired(now);
        }
        threadDeadlines.sweeperRunning = false;
    }

} // namespace

ReadDeadline::ReadDeadline(Stream::socket_type& socket, std::chrono::milliseconds timeout)
    : socket(socket)
    , expiresAt(monotonicNow() + timeout)
{
    threadDeadlines.active.insert(this);
    if (!std::exchange(threadDeadlines.sweeperRunning, true))
        spawnOnCurrentThread(sweepDeadlines);
}

ReadDeadline::~ReadDeadline()
{
    threadDeadlines.active.erase(this);
}

void ReadDeadline::cancelIfExpired(std::chrono::nanoseconds now)
{
    if (now < this->expiresAt)
        return;
    this->expired = true;
    ErrorCode ignored;
    this->socket.cancel(ignored);
}

} // namespace comfreypier::transport
