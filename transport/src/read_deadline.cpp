/// Deadlines of reads. A sweep over all of a thread costs less than a timer for each token.
#include "transport_p.h"

#include <set>

namespace comfreypier::transport {

namespace {

    /// Time between two looks at the deadlines of reads.
    constexpr std::chrono::milliseconds sweepInterval { 50 };

    /// Deadlines of one thread's reads.
    struct DeadlineTable {
        std::set<ReadDeadline*> open;
        bool sweeping = false;
    };

    thread_local DeadlineTable threadDeadlines;

    void sweepDeadlines()
    {
        while (!threadDeadlines.open.empty()) {
            sleepFor(sweepInterval);
            auto now = monotonicNow();
            for (auto* deadline : threadDeadlines.open)
                deadline->cancelIfPassed(now);
        }
        threadDeadlines.sweeping = false;
    }

} // namespace

ReadDeadline::ReadDeadline(Stream::socket_type& socket, std::chrono::milliseconds timeout)
    : socket(socket)
    , until(monotonicNow() + timeout)
{
    threadDeadlines.open.insert(this);
    if (!std::exchange(threadDeadlines.sweeping, true))
        spawnOnCurrentThread(sweepDeadlines);
}

ReadDeadline::~ReadDeadline()
{
    threadDeadlines.open.erase(this);
}

void ReadDeadline::cancelIfPassed(std::chrono::nanoseconds now)
{
    if (now < this->until)
        return;
    this->passed = true;
    ErrorCode ignored;
    this->socket.cancel(ignored);
}

} // namespace comfreypier::transport
