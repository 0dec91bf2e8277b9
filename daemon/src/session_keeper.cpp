#include "session_keeper.h"

namespace comfreypier::daemon {

namespace {

    /// Number of checks of the sessions per TTL.
    constexpr int checksPerTtl = 10;
    /// Number of renewals per TTL.
    constexpr int renewalsPerTtl = 3;

} // namespace

SessionKeeper::SessionKeeper(Node& node, LogWriter& writer, const LogFollower& follower)
    : node(node)
    , writer(writer)
    , follower(follower)
{
}

void SessionKeeper::run()
{
    while (!this->node.lifecycle.stopping) {
        if (this->node.lifecycle.caughtUp && !this->releasing) {
            this->checkOwnSession();
            this->renewIfDue();
            this->expireOthers();
        }
        sleepFor(this->node.settings.sessionTtl / checksPerTtl);
    }
}

SessionId SessionKeeper::current() const
{
    std::lock_guard lock(this->mutex);
    return this->lease.session;
}

bool SessionKeeper::mayAct() const
{
    std::lock_guard lock(this->mutex);
    return coordination::mayAct(this->lease, monotonicNow());
}

void SessionKeeper::onApplied(const coordination::RegionState& state, const protocol::Envelope& envelope)
{
    if (envelope.id.high != this->node.writerNumber)
        return;
    auto start = this->writer.findAppendStart(envelope.id);
    std::lock_guard lock(this->mutex);
    if (start && envelope.session == this->lease.session && state.sessions.contains(envelope.session))
        this->lease.confirmedStart = std::max(this->lease.confirmedStart, *start);
}

void SessionKeeper::open()
{
    if (this->opening.exchange(true))
        return;
    const auto& settings = this->node.settings;
    protocol::SessionOpen entry { settings.node, toString(settings.http), toString(settings.rpc), settings.dataCentre, settings.sessionTtl };
    this->writer.append(entry, [this](const state::AppendOutcome& outcome) {
        auto start = this->writer.findAppendStart(outcome.record);
        {
            std::lock_guard lock(this->mutex);
            // If the start is unknown, the lease counts from time zero, so it is not valid until a later record is confirmed.
            this->lease = { outcome.offset, start.value_or(Time { 0 }), this->node.settings.sessionTtl, this->node.settings.sessionMargin };
        }
        this->writer.setSession(outcome.offset);
        this->opening = false;
        add(this->node.counters, state::Counter::SessionsOpened);
        this->log.info("opened session " + std::to_string(outcome.offset));
    });
}

void SessionKeeper::checkOwnSession()
{
    auto session = this->current();
    bool isLive = this->node.region.read([&](const auto& state) { return state.sessions.contains(session); });
    if (isLive)
        return;
    if (session != protocol::invalidOffset && !this->opening) {
        add(this->node.counters, state::Counter::SessionsLapsed);
        this->log.warn("session " + std::to_string(session) + " has ended, opening a new one");
    }
    this->open();
}

void SessionKeeper::renewIfDue()
{
    auto now = monotonicNow();
    auto renewalInterval = this->node.settings.sessionTtl / renewalsPerTtl;
    Time confirmed { 0 };
    {
        std::lock_guard lock(this->mutex);
        if (this->lease.session == protocol::invalidOffset)
            return;
        confirmed = this->lease.confirmedStart;
    }
    if (now - confirmed < renewalInterval || now - this->lastRenewalRequest < renewalInterval)
        return;
    this->lastRenewalRequest = now;
    // Any record of this session renews it, so a renewal is only needed if no other entry is queued.
    if (this->node.queue.queuedCount() == 0)
        this->writer.append(protocol::SessionRenew {});
}

void SessionKeeper::expireOthers()
{
    auto failures = this->follower.failures() + this->writer.failures();
    // While reads or appends fail, the silence of other sessions proves nothing.
    bool logReadable = failures == this->lastFailureCount && this->writer.isAvailable();
    this->lastFailureCount = failures;
    auto sessions = this->node.region.read([](const auto& state) { return state.sessions; });
    auto own = this->current();
    auto expired = coordination::updateViewWatch(this->viewWatch, sessions, this->follower.caughtUpAt(), logReadable);
    for (const auto& expire : expired) {
        if (expire.session == own)
            continue;
        this->log.warn("expiring session " + std::to_string(expire.session) + " of node " + sessions[expire.session].open.node + ": no renewal was read within its TTL");
        add(this->node.counters, state::Counter::SessionsExpired);
        this->writer.append(expire);
        // Restarts the watch of the session, so that the next check does not append the expiry again.
        this->viewWatch.sessions.erase(expire.session);
    }
}

void SessionKeeper::release(std::chrono::milliseconds timeout)
{
    this->releasing = true;
    state::PendingEntryPtr pending;
    bool mayStillApply = false;
    if (this->writer.appendAndWait(protocol::SessionRelease {}, timeout, pending, mayStillApply))
        this->log.info("released the session");
    else
        this->log.warn("the release of the session was not confirmed, the session expires if it has not taken effect");
}

} // namespace comfreypier::daemon
