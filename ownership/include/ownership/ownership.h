/// Ownership: elects the one VM that issues load and unload orders to workers.
///
/// A single lease covers all orders. It is stored as the newest record of one key in the platform's log. A VM takes the lease
/// over or renews it with a conditional append that fails if anything else was appended since the VM last read, so the log
/// decides between racing VMs. The fencing token of a lease holder is derived from the position of its take-over record: tokens
/// increase and no two take-overs share one.
///
/// The log may come back from a copy some seconds old, with a higher era. Records of the copy grant nothing in the new era: a record
/// counts only if its token is of the era in which it stands in the log. This module uses no fibers, sockets, clocks or locks: the caller passes the time, and
/// guards shared objects with its own mutex (`edge::OrderTask` does).
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace comfreypier::ownership {

/// Time since boot, including time in which the VM was suspended, so that the lease of a frozen VM expires.
using Time = std::chrono::nanoseconds;

/// Era of a log that never came back from a copy, or that does not state eras.
constexpr uint64_t firstEra = 1;

/// Position of a record in a stream of the log. A log that comes back from a copy gives offsets out again, in a higher era.
struct LogPosition {
    uint64_t era = firstEra;
    uint64_t offset = 0;
    auto operator<=>(const LogPosition&) const = default;
};

/// Returns the fencing token of a take-over whose record stands at `position`. It is positive, higher than those of all earlier
/// positions, and an exact JSON number: below 2^53 for fewer than 2^21 eras with fewer than 2^32 records each.
uint64_t makeToken(const LogPosition& position);
/// Returns the era of the take-over that a fencing token stems from.
uint64_t tokenEra(uint64_t token);

/// Durations that control the lease.
struct LeaseSettings {
    /// A VM may take the lease over after its record was unchanged for this long.
    Time duration = std::chrono::milliseconds { 4000 };
    /// The lease holder stops issuing orders this long before expiry, to cover orders in flight.
    Time margin = std::chrono::milliseconds { 700 };
    Time renewInterval = std::chrono::milliseconds { 1200 }; ///< Time between renewals, and between reads of the record.
    /// Time between a take-over and the first order, for workers that don't check fencing tokens; 0 if they do.
    Time firstOrderDelay { 0 };
    /// How long after its last renewal a lease holder that can't reach the store may still issue orders. Only safe if workers
    /// check fencing tokens, because the next lease holder has a higher one; 0 if they don't.
    Time outageExtension { 0 };
};

/// Lease record in the log.
struct LeaseRecord {
    std::string holder; ///< Name and incarnation of the VM that holds the lease; empty after a release.
    uint64_t token = 0; ///< Fencing token.
    bool operator==(const LeaseRecord&) const = default;
};

/// Result of reading the newest lease record.
struct LeaseReadResult {
    std::optional<LeaseRecord> record; ///< Empty if the log holds no lease record.
    LogPosition recordPosition; ///< Position of the record; its offset is 0 if there is none.
    LogPosition partitionEnd; ///< Position of the next append to the partition.
};

/// Next action for the lease.
enum class LeaseStep {
    Wait, ///< Nothing to do yet.
    Read, ///< Read the newest record.
    Renew, ///< Append `recordToAppend()` at `appendOffset()`.
    TakeOver, ///< Append `recordToAppend()` at `appendOffset()`, to become the lease holder.
    Count ///< Number of values.
};

/// State machine of the lease in one VM. The code that drives it executes each step and reports the result. It calls `onEra` with the
/// era of each answer of the log before it reports the answer.
class Lease {
public:
    /// @param self name and incarnation of this VM, unique to this process.
    Lease(std::string self, LeaseSettings settings);

    /// Returns the next action. Requests a read no earlier than `renewInterval` after the last one, but immediately after an append
    /// that conflicted or is uncertain. The caller may skip an action; it is requested again.
    LeaseStep nextStep(Time now);
    /// Returns the record to append for `Renew` and `TakeOver`, and after `release()`.
    LeaseRecord recordToAppend() const;
    /// Returns the offset at which the partition must end for the append of `recordToAppend()` to succeed.
    uint64_t appendOffset() const { return this->partitionEnd.offset; }

    /// Handles the era that an answer of the log or another VM states. In a new era the log may lack the lease holder's record. Nobody
    /// takes the lease over before `duration` has passed, except a lease holder whose lease had not expired when the era was first seen:
    /// it does so at once, and until then its orders end with its lease.
    void onEra(uint64_t era, Time now);
    /// Handles a successful read. One of another era than the newest is ignored. @param sentAt time before the read was sent.
    void onRead(const LeaseReadResult& result, Time sentAt);
    /// Handles a successful append of `recordToAppend()`. If it landed in another era than expected, it grants nothing.
    /// @param position where the record stands.
    /// @param sentAt time before the append was sent.
    void onAppended(const LogPosition& position, Time sentAt);
    /// Handles an append that may have taken effect, or a store that could not be reached. The next step is a read.
    /// @param sentAt time before the append was sent.
    void onAppendUncertain(Time sentAt);
    /// Handles an append that failed because something else was appended first.
    void onAppendConflict();
    /// Handles a failed read of the store. The next read is requested after `renewInterval`.
    void onReadFailed(Time now);
    /// Handles a heartbeat in which the lease holder names its newest record. While such heartbeats arrive, the record need not
    /// be read from the store.
    /// @param newest position of that record.
    void onHolderHeartbeat(const LogPosition& newest, Time now);
    /// Gives the lease up: `mayIssueOrders` is false from now on, and `recordToAppend()` is a release if `isHolder()` was true.
    void release();
    /// Competes for the lease again after a release, used when the lease was handed over to another VM.
    void rejoin();

    /// Returns whether this VM is the lease holder according to its latest information. Its lease may have expired.
    bool isHolder() const;
    /// Returns whether this VM may issue an order now.
    bool mayIssueOrders(Time now) const;
    /// Returns whether this VM may issue orders although its lease expired, because the store can't be reached. Then only
    /// fencing tokens protect the workers, so the VM must also check that it knows of no lease holder with a higher token.
    bool mayIssueOrdersExtended(Time now) const;
    /// Returns the position of the newest known record.
    const LogPosition& newestRecordPosition() const { return this->recordPosition; }
    /// Returns the fencing token of this VM's orders. Only valid while `mayIssueOrders` or `mayIssueOrdersExtended` is true.
    uint64_t token() const { return this->heldToken; }

private:
    /// Returns whether a token stems from a take-over in the newest era.
    bool isOfNewestEra(uint64_t token) const { return tokenEra(token) == this->era; }
    /// Returns whether the lease that this VM last renewed has expired, or will within the margin.
    bool hasExpired(Time now) const { return now >= this->renewedAt + this->settings.duration - this->settings.margin; }
    /// Returns whether nobody can hold the lease, according to the last read.
    bool isFree(Time now) const;

    std::string self;
    LeaseSettings settings;
    uint64_t era = firstEra; ///< Newest era of the log.
    Time eraSeenAt { 0 }; ///< When `era` was first seen.
    std::optional<LeaseRecord> record;
    LogPosition recordPosition;
    LogPosition partitionEnd; ///< Position of the next append, according to the last read or append.
    /// When the newest record was first seen, by a read, an own append or a heartbeat that named it; 0 before the first read.
    Time firstSeenAt { 0 };
    Time lastReadAt { 0 }; ///< 0 requests an immediate read.
    bool partitionKnown = false; ///< The partition was read since the last conflict, failed read or uncertain append.
    /// Fencing token of this VM, 0 if it does not hold the lease. After a restoration of the log it stays that of the earlier era until
    /// this VM has taken the lease over anew.
    uint64_t heldToken = 0;
    Time heldSince { 0 }; ///< When this VM became the lease holder. `firstOrderDelay` counts from here.
    Time renewedAt { 0 }; ///< When the last append that took effect was sent; the lease expires `duration` later.
    std::map<LogPosition, Time> unansweredAppends; ///< Time of the first unanswered append, by position.
    Time lastFailureAt { 0 }; ///< When the store last could not be reached; 0 once it answered.
    LogPosition announcedPosition; ///< Newest record according to the lease holder's heartbeats.
    Time announcedAt { 0 }; ///< When a heartbeat first named `announcedPosition`; 0 if none did yet.
    bool released = false; ///< After `release()`, until `rejoin()`.
};

/// How long a VM keeps the lease after a stronger VM became ready, so that the lease does not move while VMs are starting.
constexpr Time handOverDelay = std::chrono::milliseconds { 4000 };
/// How long a VM leaves a free lease to stronger VMs: time for several rounds of reads and appends.
constexpr Time maxYieldTime = std::chrono::milliseconds { 2500 };

/// Decides when a VM leaves the lease to a VM with much more capacity. The lease holder plans for hundreds of workers, which a
/// weak VM could only do at the cost of its callers.
class HandoverPolicy {
public:
    /// Returns whether this VM should leave a free lease to others for now. Must only be called while the lease is free. Each record
    /// that leaves the lease free starts a new wait of `maxYieldTime`.
    /// @param recordPosition position of the newest lease record.
    /// @param strongerReady whether a stronger VM is ready.
    bool shouldYieldFreeLease(const LogPosition& recordPosition, bool strongerReady, Time now);
    /// Returns whether the lease holder should hand the lease over now. Must be called regularly while this VM holds the lease. After
    /// true is returned, `handOverDelay` starts anew.
    /// @param strongerReady whether a stronger VM is ready.
    bool shouldHandOver(bool strongerReady, Time now);

private:
    std::optional<LogPosition> freePosition; ///< Position of the record that left the lease free.
    Time freeSince { 0 }; ///< When the lease was first seen free with `freePosition`.
    std::optional<Time> strongerSince; ///< Since when a stronger VM is ready; empty if none is.
};

} // namespace comfreypier::ownership
