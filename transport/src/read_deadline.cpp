/// Read deadlines. Checking all deadlines of a thread periodically costs less than a timer per streamed token.
#include "transport_p.h"

#include <set>

namespace comfreypier::transport {

namespace {

    /// Time between two checks of the deadlines. A read may exceed its deadline by up to this much.
    constexpr std::chrono::milliseconds sweepInterval { 50 };

} // namespace

/// Deadlines of the pending reads on one thread.
struct DeadlineTable {
    std::set<ReadDeadline*> active;
    bool sweeperRunning = false; ///< A fiber of this thread runs `sweepDeadlines`.
};

namespace {

    thread_local const auto threadDeadlines = std::make_shared<DeadlineTable>();

    /// Cancels expired reads of this thread every `sweepInterval`, until no read is pending.
    void sweepDeadlines(DeadlineTable& table)
    {
        auto sweptAt = monotonicNow();
        while (!table.active.empty()) {
            sleepFor(sweepInterval);
            auto now = monotonicNow();
            bool late = now - sweptAt > 2 * sweepInterval;
            for (auto* deadline : table.active)
                deadline->cancelIfExpired(now, late);
            sweptAt = now;
        }
        table.sweeperRunning = false;
    }

} // namespace

ReadDeadline::ReadDeadline(Stream::socket_type& socket, std::chrono::milliseconds timeout)
    : socket(socket)
    , expiresAt(monotonicNow() + timeout)
    , table(threadDeadlines)
{
    this->table->active.insert(this);
    if (!std::exchange(this->table->sweeperRunning, true))
        spawnOnCurrentThread([table = this->table] { sweepDeadlines(*table); });
}

ReadDeadline::~ReadDeadline()
{
    this->table->active.erase(this);
}

void ReadDeadline::cancelIfExpired(std::chrono::nanoseconds now, bool late)
{
    ErrorCode ignored;
    if (now < this->expiresAt || (late && this->socket.available(ignored) > 0))
        return;
    this->expired = true;
    this->socket.cancel(ignored);
}

} // namespace comfreypier::transport
