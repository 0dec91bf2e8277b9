/// Ownership: which VM gives orders to workers.
///
/// One lease for all orders lies as the newest record of a key in the platform's log. A VM takes it over or renews it by
/// an append that only succeeds while nothing else was appended, so that the log decides between racing VMs. The offset
/// of a take-over is the fencing token: it only grows and no two take-overs share one. Free of fibers, sockets and clocks.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace comfreypier::ownership {

/// Time that goes on while the VM is suspended, so that a lease can't outlive a freeze.
using Time = std::chrono::nanoseconds;

/// Times of the lease.
struct LeaseSettings {
    Time duration = std::chrono::milliseconds { 4000 }; ///< Unchanged for this long, a lease may be taken over.
    Time margin = std::chrono::milliseconds { 700 }; ///< The holder stops ordering this long before that; covers orders on their way.
    Time renewInterval = std::chrono::milliseconds { 1200 };
    Time firstOrderDelay { 0 }; ///< Time after a take-over before the first order, for workers that don't check fencing tokens.
    /// Time for which a holder that can't reach the store may go on ordering after its lease ran out, if the workers check
    /// fencing tokens: whoever takes over has a higher one. 0 if they don't.
    Time outageExtension { 0 };
};

/// The record that lies in the log.
struct LeaseRecord {
    std::string holder; ///< Name and incarnation of the VM; empty after a release.
    uint64_t token = 0;
    bool operator==(const LeaseRecord&) const = default;
};

/// The newest record as it was read.
struct LeaseReadResult {
    std::optional<LeaseRecord> record;
    uint64_t recordOffset = 0; ///< Of the record.
    uint64_t partitionEnd = 0; ///< Of the partition.
};

/// What the VM should do about the lease now.
enum class LeaseStep {
    Wait,
    Read, ///< Read the newest record.
    Renew, ///< Append `recordToAppend()` at `appendOffset()`.
    TakeOver, ///< The same, as a new holder.
    Count
};

/// One VM's view of the lease.
class Lease {
public:
    /// @param self name and incarnation of this VM; never used by another process.
    Lease(std::string self, LeaseSettings settings);

    /// What to do at `now`. Asks for a read at most once in `renewInterval`.
    LeaseStep nextStep(Time now);
    /// Record to append for the last `Renew` or `TakeOver`.
    LeaseRecord recordToAppend() const;
    /// Offset at which the partition must end for that append.
    uint64_t appendOffset() const { return this->partitionEnd; }

    /// Notes a reading. @param sentAt time before the call was sent.
    void onRead(const LeaseReadResult& reading, Time sentAt);
    /// Notes that an append of `recordToAppend()` succeeded. @param sentAt time before the call was sent.
    void onAppended(Time sentAt);
    /// Notes that an append may have taken effect, or that the store could not be reached: the next step is a read.
    void onAppendUncertain(Time sentAt);
    /// Notes that another append came first.
    void onAppendConflict();
    /// Notes that the store could not be read.
    void onReadFailed(Time now);
    /// Notes that the holder itself says which record is the newest, so that it need not be read while the holder is heard.
    void onHolderHeartbeat(uint64_t recordOffset, Time now);
    /// Gives the lease up: `mayIssueOrders` is false from now on, and `recordToAppend()` is a release if `isHolder()` was true.
    void release();
    /// Takes part again after a release: to hand the lease over to another VM.
    void rejoin();

    /// Tells whether this VM is the holder as far as it knows.
    bool isHolder() const;
    /// Tells whether this VM may give an order now.
    bool mayIssueOrders(Time now) const;
    /// Tells whether only fencing tokens protect an order given now: the lease ran out and the store can't be reached.
    /// The caller must know of no holder with a higher token.
    bool mayIssueOrdersExtended(Time now) const;
    /// Offset of the newest record that is known.
    uint64_t newestRecordOffset() const { return this->recordOffset; }
    /// Fencing token of this VM's orders. Only valid while `mayIssueOrders`.
    uint64_t token() const { return this->held; }

private:
    std::string self;
    LeaseSettings settings;
    std::optional<LeaseRecord> record;
    uint64_t recordOffset = 0;
    uint64_t partitionEnd = 0;
    Time firstSeenAt { 0 }; ///< When the newest record was first seen.
    Time readAt { 0 };
    bool known = false; ///< The partition was read at least once since the last uncertainty.
    uint64_t held = 0; ///< Own token, 0 without one.
    Time heldSince { 0 };
    Time renewedAt { 0 }; ///< When the last successful append was sent.
    std::map<uint64_t, Time> uncertain; ///< Appends without an answer: their offset, and when the first for it was sent.
    Time failedAt { 0 }; ///< When the store last could not be reached; 0 since the last success.
    uint64_t claimedOffset = 0; ///< Record that the holder last said to be the newest,
    Time claimedAt { 0 }; ///< and when it first said so.
    bool released = false;
};

/// Time for which a weak VM holds the lease although a stronger one is ready; it lets a start settle.
constexpr Time handOverDelay = std::chrono::milliseconds { 4000 };
/// Time that stronger VMs have to take a free lease over: some rounds of reading and appending.
constexpr Time maxYieldTime = std::chrono::milliseconds { 2500 };

/// When a VM leaves the lease to one with much more capacity. The load it answers: planning for hundreds of workers, which a
/// weak VM could only do at the cost of its callers.
class HandoverPolicy {
public:
    /// Tells whether a free lease is left to others for now.
    /// @param offset of the newest record. @param stronger whether a stronger VM is ready.
    bool shouldYieldFreeLease(uint64_t offset, bool stronger, Time now);
    /// Tells whether the holder hands the lease over now. To be asked regularly while this VM holds it.
    bool shouldHandOver(bool stronger, Time now);

private:
    std::optional<uint64_t> freeOffset;
    Time freeSince { 0 };
    std::optional<Time> strongerSince;
};

} // namespace comfreypier::ownership
