/// State machine of the lease and the policy for handing it over.
#include <algorithm>
#include <ownership/ownership.h>

namespace comfreypier::ownership {

namespace {

    /// Maximum number of unanswered appends that are remembered; those with the lowest offsets are forgotten first.
    constexpr size_t maxUnansweredAppends = 16;
    /// Number of low bits of a fencing token that hold the offset plus one; the bits above count the eras.
    constexpr unsigned tokenOffsetBits = 32;

} // namespace

uint64_t makeToken(const LogPosition& position)
{
    // 0 stands for no token.
    return ((position.era - firstEra) << tokenOffsetBits) + position.offset + 1;
}

uint64_t tokenEra(uint64_t token)
{
    return (token >> tokenOffsetBits) + firstEra;
}

Lease::Lease(std::string self, LeaseSettings settings)
    : self(std::move(self))
    , settings(settings)
{
}

bool Lease::isHolder() const
{
    return this->heldToken != 0 && !this->released;
}

bool Lease::mayIssueOrders(Time now) const
{
    return this->isHolder() && !this->hasExpired(now) && now >= this->heldSince + this->settings.firstOrderDelay;
}

bool Lease::mayIssueOrdersExtended(Time now) const
{
    // An older failure does not show that the store is still unreachable.
    constexpr Time maxFailureAge = std::chrono::seconds { 3 };
    bool unreachable = !this->partitionKnown && this->lastFailureAt != Time { 0 } && now - this->lastFailureAt < maxFailureAge;
    return this->isHolder() && this->isOfNewestEra(this->heldToken) && unreachable && now < this->renewedAt + this->settings.outageExtension && now >= this->heldSince + this->settings.firstOrderDelay;
}

bool Lease::isFree(Time now) const
{
    bool isCurrent = this->record && this->isOfNewestEra(this->record->token);
    // The restoration may have removed the record of a lease that has not expired yet.
    if (!isCurrent && this->era != firstEra && now - this->eraSeenAt <= this->settings.duration)
        return false;
    return !this->record || this->record->holder.empty() || now - this->firstSeenAt > this->settings.duration;
}

LeaseStep Lease::nextStep(Time now)
{
    if (this->released)
        return LeaseStep::Wait;
    bool mayRead = this->lastReadAt == Time { 0 } || now - this->lastReadAt >= this->settings.renewInterval;
    if (!this->partitionKnown)
        return mayRead ? LeaseStep::Read : LeaseStep::Wait;
    if (this->isHolder() && !this->isOfNewestEra(this->heldToken))
        return LeaseStep::TakeOver;
    if (this->isHolder())
        return now - this->renewedAt >= this->settings.renewInterval ? LeaseStep::Renew : LeaseStep::Wait;
    // An older read may have missed a renewal by the lease holder.
    bool isRecent = now - this->lastReadAt < this->settings.renewInterval;
    if (this->isFree(now) && isRecent)
        return LeaseStep::TakeOver;
    return mayRead ? LeaseStep::Read : LeaseStep::Wait;
}

LeaseRecord Lease::recordToAppend() const
{
    if (this->released)
        return { "", this->heldToken };
    bool isRenewal = this->isHolder() && this->isOfNewestEra(this->heldToken);
    return { this->self, isRenewal ? this->heldToken : makeToken(this->partitionEnd) };
}

void Lease::onEra(uint64_t newEra, Time now)
{
    if (newEra <= this->era)
        return;
    this->era = newEra;
    this->eraSeenAt = now;
    this->partitionKnown = false;
    this->lastReadAt = Time { 0 };
    this->lastFailureAt = Time { 0 };
    this->unansweredAppends.clear();
    // Another VM may have held the lease when the log was restored.
    if (this->hasExpired(now))
        this->heldToken = 0;
}

void Lease::onRead(const LeaseReadResult& result, Time sentAt)
{
    if (result.partitionEnd.era != this->era)
        return;
    this->lastReadAt = sentAt;
    this->partitionKnown = true;
    this->lastFailureAt = Time { 0 };
    this->partitionEnd = result.partitionEnd;
    bool isSameRecord = this->record.has_value() == result.record.has_value() && this->recordPosition == result.recordPosition;
    if (!isSameRecord || this->firstSeenAt == Time { 0 })
        this->firstSeenAt = sentAt;
    this->record = result.record;
    this->recordPosition = result.recordPosition;
    // The expiry counts from the heartbeat if one named this record before it was read.
    if (this->announcedAt != Time { 0 } && this->announcedPosition == result.recordPosition)
        this->firstSeenAt = std::min(this->firstSeenAt, this->announcedAt);
    bool isCurrent = result.record && this->isOfNewestEra(result.record->token);
    bool isOwn = isCurrent && result.record->holder == this->self;
    if (!isOwn) {
        // A record of an earlier era does not show who held the lease when the log was restored.
        if (isCurrent || this->isOfNewestEra(this->heldToken))
            this->heldToken = 0;
        return;
    }
    // A take-over of this VM whose append got no answer.
    if (this->heldToken != result.record->token)
        this->heldSince = sentAt;
    this->heldToken = result.record->token;
    // An unanswered append took effect. The lease counts from the time it was first sent.
    auto unanswered = this->unansweredAppends.find(result.recordPosition);
    if (unanswered != this->unansweredAppends.end())
        this->renewedAt = std::max(this->renewedAt, unanswered->second);
}

void Lease::onAppended(const LogPosition& position, Time sentAt)
{
    if (position.era != this->era || position != this->partitionEnd) {
        this->partitionKnown = false;
        this->lastReadAt = Time { 0 };
        return;
    }
    auto appended = this->recordToAppend();
    this->unansweredAppends.clear();
    if (!this->isHolder())
        this->heldSince = sentAt;
    this->heldToken = appended.token;
    this->record = appended;
    this->recordPosition = position;
    this->partitionEnd.offset++;
    this->firstSeenAt = sentAt;
    this->renewedAt = sentAt;
    this->lastFailureAt = Time { 0 };
}

void Lease::onAppendUncertain(Time sentAt)
{
    this->unansweredAppends.try_emplace(this->partitionEnd, sentAt);
    if (this->unansweredAppends.size() > maxUnansweredAppends)
        this->unansweredAppends.erase(this->unansweredAppends.begin());
    this->lastFailureAt = sentAt;
    this->partitionKnown = false;
    this->lastReadAt = Time { 0 };
}

void Lease::onAppendConflict()
{
    this->lastFailureAt = Time { 0 };
    this->partitionKnown = false;
    this->lastReadAt = Time { 0 };
}

void Lease::onReadFailed(Time now)
{
    this->lastReadAt = now;
    this->lastFailureAt = now;
    this->partitionKnown = false;
}

void Lease::onHolderHeartbeat(const LogPosition& newest, Time now)
{
    if (this->announcedAt != Time { 0 } && this->announcedPosition == newest)
        return;
    this->announcedPosition = newest;
    this->announcedAt = now;
}

void Lease::release()
{
    this->released = true;
}

void Lease::rejoin()
{
    this->released = false;
    this->heldToken = 0;
    this->partitionKnown = false;
    this->lastReadAt = Time { 0 };
}

bool HandoverPolicy::shouldYieldFreeLease(const LogPosition& recordPosition, bool strongerReady, Time now)
{
    if (!strongerReady)
        return false;
    if (this->freePosition != recordPosition) {
        this->freePosition = recordPosition;
        this->freeSince = now;
    }
    return now - this->freeSince < maxYieldTime;
}

bool HandoverPolicy::shouldHandOver(bool strongerReady, Time now)
{
    if (!strongerReady) {
        this->strongerSince.reset();
        return false;
    }
    if (!this->strongerSince)
        this->strongerSince = now;
    if (now - *this->strongerSince < handOverDelay)
        return false;
    this->strongerSince.reset();
    return true;
}

} // namespace comfreypier::ownership
