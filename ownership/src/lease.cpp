/// State machine of the lease and the policy for handing it over.
#include <algorithm>
#include <ownership/ownership.h>

namespace comfreypier::ownership {

namespace {

    /// Maximum number of unanswered appends that are remembered; those with the lowest offsets are forgotten first.
    constexpr size_t maxUnansweredAppends = 16;

} // namespace

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
    return this->isHolder() && now < this->renewedAt + this->settings.duration - this->settings.margin && now >= this->heldSince + this->settings.firstOrderDelay;
}

bool Lease::mayIssueOrdersExtended(Time now) const
{
    // An older failure does not show that the store is still unreachable.
    constexpr Time maxFailureAge = std::chrono::seconds { 3 };
    bool unreachable = !this->partitionKnown && this->lastFailureAt != Time { 0 } && now - this->lastFailureAt < maxFailureAge;
    return this->isHolder() && unreachable && now < this->renewedAt + this->settings.outageExtension && now >= this->heldSince + this->settings.firstOrderDelay;
}

LeaseStep Lease::nextStep(Time now)
{
    if (this->released)
        return LeaseStep::Wait;
    bool mayRead = this->lastReadAt == Time { 0 } || now - this->lastReadAt >= this->settings.renewInterval;
    if (!this->partitionKnown)
        return mayRead ? LeaseStep::Read : LeaseStep::Wait;
    if (this->isHolder())
        return now - this->renewedAt >= this->settings.renewInterval ? LeaseStep::Renew : LeaseStep::Wait;
    bool isFree = !this->record || this->record->holder.empty() || now - this->firstSeenAt > this->settings.duration;
    // An older read may have missed a renewal by the lease holder.
    bool isRecent = now - this->lastReadAt < this->settings.renewInterval;
    if (isFree && isRecent)
        return LeaseStep::TakeOver;
    return mayRead ? LeaseStep::Read : LeaseStep::Wait;
}

LeaseRecord Lease::recordToAppend() const
{
    if (this->released)
        return { "", this->heldToken };
    // The token of a take-over is its offset plus one, because 0 stands for no token.
    return { this->self, this->isHolder() ? this->heldToken : this->partitionEnd + 1 };
}

void Lease::onRead(const LeaseReadResult& result, Time sentAt)
{
    this->lastReadAt = sentAt;
    this->partitionKnown = true;
    this->lastFailureAt = Time { 0 };
    this->partitionEnd = result.partitionEnd;
    bool isSameRecord = this->record.has_value() == result.record.has_value() && this->recordOffset == result.recordOffset;
    if (!isSameRecord || this->firstSeenAt == Time { 0 })
        this->firstSeenAt = sentAt;
    this->record = result.record;
    this->recordOffset = result.recordOffset;
    // The expiry counts from the heartbeat if one named this record before it was read.
    if (this->announcedAt != Time { 0 } && this->announcedOffset == result.recordOffset)
        this->firstSeenAt = std::min(this->firstSeenAt, this->announcedAt);
    bool isOwn = result.record && result.record->holder == this->self;
    if (!isOwn) {
        this->heldToken = 0;
        return;
    }
    // A take-over of this VM whose append got no answer.
    if (this->heldToken != result.record->token)
        this->heldSince = sentAt;
    this->heldToken = result.record->token;
    // An unanswered append took effect. The lease counts from the time it was first sent.
    auto unanswered = this->unansweredAppends.find(result.recordOffset);
    if (unanswered != this->unansweredAppends.end())
        this->renewedAt = std::max(this->renewedAt, unanswered->second);
}

void Lease::onAppended(Time sentAt)
{
    auto appended = this->recordToAppend();
    this->unansweredAppends.clear();
    if (!this->isHolder())
        this->heldSince = sentAt;
    this->heldToken = appended.token;
    this->record = appended;
    this->recordOffset = this->partitionEnd;
    this->partitionEnd++;
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

void Lease::onHolderHeartbeat(uint64_t newestOffset, Time now)
{
    if (this->announcedAt != Time { 0 } && this->announcedOffset == newestOffset)
        return;
    this->announcedOffset = newestOffset;
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

bool HandoverPolicy::shouldYieldFreeLease(uint64_t recordOffset, bool strongerReady, Time now)
{
    if (!strongerReady)
        return false;
    if (this->freeOffset != recordOffset) {
        this->freeOffset = recordOffset;
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
