/// State layer: replicas of the log's streams, the append queue and the live tables, each protected by its own lock.
///
/// Uses no fibers or sockets; results are delivered through callbacks.
#pragma once

#include <coordination/coordination.h>
#include <deque>
#include <shared_mutex>

namespace comfreypier::state {

using coordination::Time;
using coordination::Verdict;
using protocol::Envelope;
using protocol::Offset;
using protocol::RecordId;

// Limits and defaults.

/// Number of shards of each live table.
constexpr size_t shardCount = 16;
/// Maximum number of entries in one record.
constexpr size_t maxEntriesPerRecord = 512;
/// Estimated encoded size at which a record is full, in bytes. The last entry may exceed it.
constexpr size_t recordSizeLimit = 192 * 1024;
/// Number of peers to which a node sends updates in each gossip round.
constexpr size_t gossipFanout = 2;
/// Maximum number of updates in one gossip message.
constexpr size_t maxUpdatesPerMessage = 256;

// Replicas.

/// Replayed state of one stream, protected by a lock.
template <class State>
class Replica {
public:
    /// Applies the record at an offset to the state and returns one verdict per entry.
    using Apply = std::vector<Verdict> (*)(State&, Offset, const Envelope&);
    /// Receives the state after a record was applied, the record's offset, the record and its verdicts.
    using Listener = std::function<void(const State&, Offset, const Envelope&, const std::vector<Verdict>&)>;

    explicit Replica(Apply apply)
        : apply(apply)
    {
    }

    /// Calls `visit` with the state under a shared lock and returns its result.
    template <class Visit>
    auto read(Visit&& visit) const
    {
        std::shared_lock lock(this->mutex);
        return visit(this->state);
    }

    /// Returns the offset of the next record to apply.
    Offset next() const
    {
        return this->read([](const State& current) { return current.next; });
    }

    /// Applies a record and calls the listener. Ignores records below `next`, which the state already contains.
    void applyRecord(Offset offset, const Envelope& envelope)
    {
        std::unique_lock lock(this->mutex);
        if (offset < this->state.next)
            return;
        auto verdicts = this->apply(this->state, offset, envelope);
        if (this->listener)
            this->listener(this->state, offset, envelope, verdicts);
    }

    /// Advances `next` past a record that could not be decoded. The listener is not called.
    void skip(Offset offset)
    {
        std::unique_lock lock(this->mutex);
        if (offset >= this->state.next)
            this->state.next = offset + 1;
    }

    /// Replaces the state with a restored one if that is newer. The listener is not called.
    void restore(State restored)
    {
        std::unique_lock lock(this->mutex);
        if (restored.next > this->state.next)
            this->state = std::move(restored);
    }

    /// Sets the listener that is called for each applied record. It runs under the exclusive lock. Must be called before other
    /// threads use the replica.
    void setListener(Listener newListener) { this->listener = std::move(newListener); }

private:
    mutable std::shared_mutex mutex;
    State state;
    Apply apply;
    Listener listener;
};

using RegionReplica = Replica<coordination::RegionState>;
using ConfigReplica = Replica<coordination::ConfigState>;

// Group commit.

/// Result of a queued entry.
struct AppendOutcome {
    Verdict verdict = Verdict::Applied;
    Offset offset = protocol::invalidOffset; ///< Offset of the record with the entry.
    RecordId record; ///< Id of that record.
};

/// An entry that waits to be appended or waits for its verdict. The last three members are protected by the queue's lock.
struct PendingEntry {
    protocol::Entry entry;
    /// Called at most once, with the verdict that was read back; not at all if the entry does not reach the log. May be empty.
    std::function<void(const AppendOutcome&)> done;
    RecordId record; ///< Id of the newest record that was built with this entry.
    bool inRecord = false; ///< The entry is part of a record that may have been sent.
    bool cancelled = false; ///< The entry is left out of further records.
};
using PendingEntryPtr = std::shared_ptr<PendingEntry>;

/// Queue of one writer's entries for the log. Combines many entries into one record. Thread-safe.
class AppendQueue {
public:
    /// @param writer number that identifies this writer's records; see `RecordId::high`.
    explicit AppendQueue(uint64_t writer);

    /// Queues an entry. `done` receives its verdict; see `PendingEntry::done`.
    PendingEntryPtr add(protocol::Entry entry, std::function<void(const AppendOutcome&)> done = {});
    /// Cancels an entry: it is left out of records that are built from now on.
    /// @return true if the entry can no longer reach the log; false if its record may have been sent.
    bool cancel(const PendingEntryPtr& entry);
    /// Builds the next record from the queued entries, as many as fit. The record is in flight until it is confirmed or requeued.
    /// @param session current session of the writer.
    /// @return nothing if the queue is empty or all of its entries were cancelled.
    std::optional<Envelope> buildRecord(protocol::SessionId session);
    /// Puts the entries of a record back at the front of the queue. Only for a record that certainly was not appended: its
    /// entries get into a record with another number, which readers do not recognise as a duplicate.
    void requeue(const RecordId& id);
    /// Delivers the verdicts of an applied record to its entries, without holding the lock. Ignores records of other writers and
    /// records that are not in flight.
    void confirm(Offset offset, const Envelope& envelope, const std::vector<Verdict>& verdicts);
    /// Returns whether the record is no longer in flight, because it was confirmed or requeued.
    bool isConfirmed(const RecordId& id) const;
    /// Returns the number of entries that are not yet part of a record.
    size_t queuedCount() const;

private:
    mutable std::mutex mutex;
    uint64_t writer;
    uint64_t nextNumber = 1; ///< `RecordId::low` of the next record.
    std::deque<PendingEntryPtr> queue;
    std::map<RecordId, std::vector<PendingEntryPtr>> inFlight; ///< Entries of the records in flight.
};

// Counters.

/// Counters without a reason label.
enum class Counter {
    RequestsCompletion,
    RequestsPlain,
    TokensRelayed,
    StreamsResumed, ///< Streams continued on another attempt after an earlier one broke off.
    BrokenAnswers, ///< Answers of engines, plain services, the platform and other nodes that were no valid HTTP or had ended early.
    CrossedAnswersDropped, ///< Answers and stream events from an engine that belong to another request.
    RepeatedTokensDropped, ///< Tokens from an engine that the caller already has.
    ActionsRun, ///< Plain requests that must not run twice and that an endpoint answered.
    ActionsRepeated, ///< Requests whose idempotency key was already in use.
    LogAppends,
    LogAppendFailures,
    LogReads,
    LogReadFailures,
    LogBytesRead,
    LogBytesAppended,
    SessionsOpened,
    SessionsLapsed, ///< Sessions of this node that ended although it did not release them.
    SessionsExpired, ///< Expiries of other nodes' sessions that this node appended.
    OrdersSent,
    OrdersWithheld, ///< Orders that were not sent because the lease had run out.
    OrdersStale, ///< Orders that the engine refused because of their fencing number.
    OrdersUnanswered, ///< Orders that may have arrived although no usable answer came.
    PlanChanges, ///< Changes of the plan that this node appended.
    SnapshotsAppended,
    GossipSent,
    GossipFailed,
    RecordsUnreadable, ///< Records that could not be decoded and were skipped.
    HandedOver, ///< Requests that were forwarded to another node, which began to answer.
    Count
};

/// Returns the part of the metric's name between the prefix `comfreypier_` and the suffix `_total`.
const char* name(Counter counter);

/// Counters of one node, each array in the order of its enumeration. May be changed and read by all threads.
struct Counters {
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Counter::Count)> values {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(protocol::RefusalReason::Count)> refusals {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(protocol::RetryReason::Count)> retries {};
};

/// Adds `amount` to a counter.
void add(Counters& counters, Counter counter, uint64_t amount = 1);
/// Counts one refused request.
void add(Counters& counters, protocol::RefusalReason reason);
/// Counts one retry.
void add(Counters& counters, protocol::RetryReason reason);
/// Formats all counters in the Prometheus text format.
std::string formatCounters(const Counters& counters);

// Live tables.

/// What a node knows about one worker in addition to the ledger.
struct WorkerStatus {
    coordination::WorkerLoad load;
    uint32_t inFlight = 0; ///< Requests of this node that are currently running on the worker.
    Time downUntil { 0 }; ///< After a failure of the worker, other workers are preferred until this time.
    bool fencing = false; ///< Not used.
};

/// Status of each worker, in shards by worker name.
class LoadTable {
public:
    /// Calls `change` with the worker's status under the lock of its shard, so `change` must not use the table. Adds the worker
    /// if it is unknown.
    void update(const std::string& worker, const std::function<void(WorkerStatus&)>& change);
    /// Returns a copy of the worker's status, or a default status if the worker is unknown.
    WorkerStatus get(const std::string& worker) const;
    void erase(const std::string& worker);

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, WorkerStatus> workers;
    };
    Shard& findShard(const std::string& worker);
    const Shard& findShard(const std::string& worker) const;
    std::array<Shard, shardCount> shards;
};

/// Number of requests that this node received for each item, in shards by item name.
class DemandTable {
public:
    void countRequest(const std::string& item);
    /// Returns the counts since the previous call and resets them.
    std::map<std::string, uint32_t> takeCounts();

private:
    struct Shard {
        std::mutex mutex;
        std::unordered_map<std::string, uint32_t> counts;
    };
    std::array<Shard, shardCount> shards;
};

// Gossip.

/// Newest known update for each gossip key, with the number of rounds in which it is still to be sent.
class GossipTable {
public:
    /// Stores an update if it is newer than the known one.
    /// @param nodes number of nodes; the more there are, the more often the update is forwarded.
    /// @return whether the update was newer.
    bool merge(const protocol::PeerUpdate& update, size_t nodes);
    /// Returns up to `maxUpdatesPerMessage` updates to send next, to `gossipFanout` peers, and counts one round for each of them.
    std::vector<protocol::PeerUpdate> takeNextBatch();
    /// Returns all known updates of one kind.
    std::vector<protocol::PeerUpdate> list(protocol::PeerUpdateKind kind) const;
    void erase(const protocol::PeerUpdateKey& key);

private:
    struct Known {
        protocol::PeerUpdate update;
        size_t remainingRounds = 0;
    };
    mutable std::mutex mutex;
    std::map<protocol::PeerUpdateKey, Known> entries;
    std::set<protocol::PeerUpdateKey> toSend; ///< Keys of the updates with remaining rounds.
};

} // namespace comfreypier::state
