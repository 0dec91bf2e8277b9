/// The lease's state machine.
#include <algorithm>
#include <ownership/ownership.h>

namespace comfreypier::ownership {

namespace {

    /// Most appends without an answer that are remembered.
    constexpr size_t uncertainLimit = 16;

} // namespace

Lease::Lease(std::string self, LeaseSettings settings)
    : self(std::move(self))
    , settings(settings)
{
}

bool Lease::isHolder() const
{
    return this->held != 0 && !this->released;
}

bool Lease::mayIssueOrders(Time now) const
{
    return this->isHolder() && now < this->renewedAt + this->settings.duration - this->settings.margin && now >= this->heldSince + this->settings.firstOrderDelay;
}

bool Lease::mayIssueOrdersExtended(Time now) const
{
    constexpr Time failureAge = std::chrono::seconds { 3 };
    bool unreachable = !this->known && this->failedAt != Time { 0 } && now - this->failedAt < failureAge;
    return this->isHolder() && unreachable && now < this->renewedAt + this->settings.outageExtension && now >= this->heldSince + this->settings.firstOrderDelay;
}

LeaseStep Lease::nextStep(Time now)
{
    if (this->released)
        return LeaseStep::Wait;
    bool mayRead = this->readAt == Time { 0 } || now - this->readAt >= this->settings.renewInterval;
    if (!this->known)
        return mayRead ? LeaseStep::Read : LeaseStep::Wait;
    if (this->isHolder())
        return now - this->renewedAt >= this->settings.renewInterval ? LeaseStep::Renew : LeaseStep::Wait;
    bool free = !this->record || this->record->holder.empty() || now - this->firstSeenAt > this->settings.duration;
    // A reading that is not fresh may hide a renewal.
    bool fresh = now - this->readAt < this->settings.renewInterval;
    if (free && fresh)
        return LeaseStep::TakeOver;
    return mayRead ? LeaseStep::Read : LeaseStep::Wait;
}

LeaseRecord Lease::recordToAppend() const
{
    if (this->released)
        return { "", this->held };
    return { this->self, this->isHolder() ? this->held : this->partitionEnd + 1 };
}

void Lease::onRead(const LeaseReadResult& reading, Time sentAt)
{
    this->readAt = sentAt;
    this->known = true;
    this->failedAt = Time { 0 };
    this->partitionEnd = reading.partitionEnd;
    bool same = this->record.has_value() == reading.record.has_value() && this->recordOffset == reading.recordOffset;
    if (!same || this->firstSeenAt == Time { 0 })
        this->firstSeenAt = sentAt;
    this->record = reading.record;
    this->recordOffset = reading.recordOffset;
    if (this->claimedAt != Time { 0 } && this->claimedOffset == reading.recordOffset)
        this->firstSeenAt = std::min(this->firstSeenAt, this->claimedAt);
    bool ours = reading.record && reading.record->holder == this->self;
    if (!ours) {
        this->held = 0;
        return;
    }
    if (this->held != reading.record->token)
        this->heldSince = sentAt;
    this->held = reading.record->token;
    // An append that got no answer took effect. It counts from when it was first sent.
    auto tried = this->uncertain.find(reading.recordOffset);
    if (tried != this->uncertain.end())
        this->renewedAt = std::max(this->renewedAt, tried->second);
}

void Lease::onAppended(Time sentAt)
{
    auto appended = this->recordToAppend();
    this->uncertain.clear();
    if (!this->isHolder())
        this->heldSince = sentAt;
    this->held = appended.token;
    this->record = appended;
    this->recordOffset = this->partitionEnd;
    this->partitionEnd++;
    this->firstSeenAt = sentAt;
    this->renewedAt = sentAt;
    this->failedAt = Time { 0 };
}

void Lease::onAppendUncertain(Time sentAt)
{
    this->uncertain.try_emplace(this->partitionEnd, sentAt);
    if (this->uncertain.size() > uncertainLimit)
        this->uncertain.erase(this->uncertain.begin());
    this->failedAt = sentAt;
    this->known = false;
    this->readAt = Time { 0 };
}

void Lease::onAppendConflict()
{
    this->failedAt = Time { 0 };
    this->known = false;
    this->readAt = Time { 0 };
}

void Lease::onReadFailed(Time now)
{
    this->readAt = now;
    this->failedAt = now;
    this->known = false;
}

void Lease::onHolderHeartbeat(uint64_t offset, Time now)
{
    if (this->claimedAt != Time { 0 } && this->claimedOffset == offset)
        return;
    this->claimedOffset = offset;
    this->claimedAt = now;
}

void Lease::release()
{
    this->released = true;
}

void Lease::rejoin()
{
    this->released = false;
    this->held = 0;
    this->known = false;
    this->readAt = Time { 0 };
}

bool HandoverPolicy::shouldYieldFreeLease(uint64_t offset, bool stronger, Time now)
{
    if (!stronger)
        return false;
    if (this->freeOffset != offset) {
        this->freeOffset = offset;
        this->freeSince = now;
    }
    return now - this->freeSince < maxYieldTime;
}

bool HandoverPolicy::shouldHandOver(bool stronger, Time now)
{
    if (!stronger) {
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
