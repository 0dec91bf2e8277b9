/// State layer: replicas of the log's streams and the live tables, each under its own lock.
///
/// Free of fibers and sockets; whoever waits is called back.
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

// ---------------------------------------------------------------- limits and defaults

/// Shards of each live table.
constexpr size_t shardCount = 16;
/// Entries that one record carries at most.
constexpr size_t maxEntriesPerRecord = 512;
/// Encoded size at which a record is full, in bytes.
constexpr size_t recordSizeLimit = 192 * 1024;
/// Peers that one gossip round reaches.
constexpr size_t gossipFanout = 2;
/// News entries in one gossip message.
constexpr size_t maxNewsPerMessage = 256;

// ---------------------------------------------------------------- replicas

/// Replayed state of one stream behind a lock.
template <class State>
class Replica {
public:
    using Apply = std::vector<Verdict> (*)(State&, Offset, const Envelope&);
    using Listener = std::function<void(const State&, Offset, const Envelope&, const std::vector<Verdict>&)>;

    explicit Replica(Apply apply)
        : apply(apply)
    {
    }

    /// Calls `visit` with the state under the lock and returns its result.
    template <class Visit>
    auto read(Visit&& visit) const
    {
        std::shared_lock lock(this->mutex);
        return visit(this->state);
    }

    /// Offset of the next record to apply.
    Offset next() const
    {
        return this->read([](const State& current) { return current.next; });
    }

    /// Applies a record and tells the listener. Records below `next` are skipped.
    void applyRecord(Offset offset, const Envelope& envelope)
    {
        std::unique_lock lock(this->mutex);
        if (offset < this->state.next)
            return;
        auto verdicts = this->apply(this->state, offset, envelope);
        if (this->listener)
            this->listener(this->state, offset, envelope, verdicts);
    }

    /// Skips an unreadable record.
    void skip(Offset offset)
    {
        std::unique_lock lock(this->mutex);
        if (offset >= this->state.next)
            this->state.next = offset + 1;
    }

    /// Replaces the state by a restored one, unless that is older.
    void restore(State restored)
    {
        std::unique_lock lock(this->mutex);
        if (restored.next > this->state.next)
            this->state = std::move(restored);
    }

    /// Sets who hears of each applied record. The listener runs under the lock.
    void setListener(Listener newListener) { this->listener = std::move(newListener); }

private:
    mutable std::shared_mutex mutex;
    State state;
    Apply apply;
    Listener listener;
};

using RegionReplica = Replica<coordination::RegionState>;
using ConfigReplica = Replica<coordination::ConfigState>;

// ---------------------------------------------------------------- group commit

/// What became of a queued entry.
struct AppendOutcome {
    Verdict verdict = Verdict::Applied;
    Offset offset = protocol::invalidOffset;
    RecordId record;
};

/// An entry that waits to be appended, or for its verdict.
struct PendingEntry {
    protocol::Entry entry;
    std::function<void(const AppendOutcome&)> done; ///< Called once, with the verdict that was read back.
    RecordId record; ///< Id of the record that carries it, once it has one.
    bool inRecord = false; ///< It is part of a record that may have been sent.
    bool cancelled = false;
};
using PendingEntryPtr = std::shared_ptr<PendingEntry>;

/// Entries of one writer on their way into the log; many share one record.
class AppendQueue {
public:
    /// @param writer number that marks this writer's records.
    explicit AppendQueue(uint64_t writer);

    /// Queues an entry.
    PendingEntryPtr add(protocol::Entry entry, std::function<void(const AppendOutcome&)> done = {});
    /// Takes an entry back.
    /// @return true if it can no longer reach the log; false if its record may have been sent.
    bool cancel(const PendingEntryPtr& entry);
    /// Builds the next record from what is queued, or returns nothing.
    std::optional<Envelope> buildRecord(protocol::SessionId session);
    /// Puts the entries of a record that surely was not appended back in front.
    void requeue(const RecordId& id);
    /// Hands the verdicts of an applied record to those who wait. Records of others are ignored.
    void confirm(Offset offset, const Envelope& envelope, const std::vector<Verdict>& verdicts);
    /// Tells whether the record has been confirmed.
    bool isConfirmed(const RecordId& id) const;
    size_t queuedCount() const;

private:
    mutable std::mutex mutex;
    uint64_t writer;
    uint64_t nextNumber = 1;
    std::deque<PendingEntryPtr> queue;
    std::map<RecordId, std::vector<PendingEntryPtr>> inFlight;
};

// ---------------------------------------------------------------- counters

/// Counters without a reason of their own.
enum class Counter {
    RequestsCompletion,
    RequestsPlain,
    TokensRelayed,
    StreamsResumed,
    CrossedAnswersDropped,
    RepeatedTokensDropped,
    ActionsRun,
    ActionsRepeated,
    LogAppends,
    LogAppendFailures,
    LogReads,
    LogReadFailures,
    LogBytesRead,
    LogBytesAppended,
    SessionsOpened,
    SessionsLapsed,
    SessionsExpired,
    OrdersSent,
    OrdersWithheld,
    OrdersStale,
    OrdersUnanswered,
    PlanChanges,
    SnapshotsAppended,
    GossipSent,
    GossipFailed,
    RecordsUnreadable,
    HandedOver,
    Count
};

const char* name(Counter counter);

/// Counters of one node.
struct Counters {
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Counter::Count)> values {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(protocol::RefusalReason::Count)> refusals {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(protocol::RetryReason::Count)> retries {};
};

void add(Counters& counters, Counter counter, uint64_t amount = 1);
void add(Counters& counters, protocol::RefusalReason reason);
void add(Counters& counters, protocol::RetryReason reason);
/// Prints all counters in Prometheus' text format.
std::string formatCounters(const Counters& counters);

// ---------------------------------------------------------------- live tables

/// What a node knows of one worker besides the ledger.
struct WorkerStatus {
    coordination::WorkerLoad load;
    uint32_t inFlight = 0; ///< Own requests there now.
    Time downUntil { 0 }; ///< It failed; others are preferred until then.
    bool fencing = false;
};

/// Loads of workers, in shards by name.
class LoadTable {
public:
    /// Calls `change` with the worker's status under its shard's lock.
    void update(const std::string& worker, const std::function<void(WorkerStatus&)>& change);
    /// Copy of a worker's status; a default one if it is unknown.
    WorkerStatus get(const std::string& worker) const;
    void erase(const std::string& worker);

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, WorkerStatus> workers;
    };
    Shard& shardOf(const std::string& worker);
    const Shard& shardOf(const std::string& worker) const;
    std::array<Shard, shardCount> shards;
};

/// Requests for each item, counted here, in shards by name.
class DemandTable {
public:
    void countRequest(const std::string& item);
    /// Takes the counts since the last call.
    std::map<std::string, uint32_t> takeCounts();

private:
    struct Shard {
        std::mutex mutex;
        std::unordered_map<std::string, uint32_t> counts;
    };
    std::array<Shard, shardCount> shards;
};

// ---------------------------------------------------------------- gossip

/// News that a node knows, with how often each is still to be passed on.
class GossipTable {
public:
    /// Takes over an entry if it is newer than the known one.
    /// @return true if it was.
    bool merge(const protocol::News& news, size_t nodes);
    /// Entries to send in the next message.
    std::vector<protocol::News> takeNextBatch();
    std::vector<protocol::News> list(protocol::NewsKind kind) const;
    /// Forgets an entry.
    void erase(const protocol::NewsKey& key);

private:
    struct Known {
        protocol::News news;
        size_t remainingSends = 0;
    };
    mutable std::mutex mutex;
    std::map<protocol::NewsKey, Known> entries;
    std::set<protocol::NewsKey> toSend;
};

} // namespace comfreypier::state
