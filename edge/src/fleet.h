/// This VM's view of the configuration and the workers, protected by one lock.
#pragma once

#include "configuration_exchange.h"
#include "heartbeat_codec.h"
#include "store_era.h"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace comfreypier::edge {

using routing::Time;
using transport::monotonicNow;
using transport::sleepFor;
using ConfigurationPtr = std::shared_ptr<const routing::Configuration>;

/// What a worker's entry changed compared with the previous one.
enum class EntryChange {
    None,
    Contents, ///< Models or adapters. The lease holder announces those to all VMs.
    Status, ///< A new or restarted worker, its service, its address, or whether it is draining.
    Count
};

class LoadReservation;

/// Thread-safe view of the configuration in force and the state of all workers.
class Fleet {
public:
    Fleet(std::string node, std::string dataCentre);

    /// Returns the configuration in force, or null while none is known.
    ConfigurationPtr configuration() const;
    /// Puts a configuration in force unless its version is not newer than the current one.
    /// @return true if it was applied.
    bool applyConfiguration(routing::Configuration configuration);
    /// Keeps the record of the configuration in force, for VMs that can't read it in the store.
    void setConfigurationRecord(ConfigurationRecordPtr record);
    /// Returns that record, or null while none is known.
    ConfigurationRecordPtr configurationRecord() const;

    /// Applies a worker's entry.
    /// @param position position of its record; records that are not newer than the last one are ignored.
    /// @param fromCopy the record may stem from the copy with which its era began. What is known of the same or a later start of the
    /// worker from an earlier era is newer: of such a record only counts that the worker is draining.
    /// @return what changed; `None` if the record was ignored.
    EntryChange applyEntry(const routing::WorkerEntry& entry, const LogPosition& position, bool fromCopy, Time now);
    /// Returns whether a record of a worker at this position is outdated, so that `applyEntry` and `markRemoved` would ignore it.
    bool isOutdated(const std::string& id, const LogPosition& position) const;
    /// Marks a worker's entry as removed.
    /// @param position position of the record that removes it; ignored if it is not newer than the last record.
    /// @param grace time within which the entry may come back before `dropRemoved` drops the worker.
    /// @return true if the worker was known and not yet marked.
    bool markRemoved(const std::string& id, const LogPosition& position, Time now, Time grace);
    /// Marks the entries of all workers that are not in `present` as removed.
    /// @param end position up to which the stream was read; workers with a newer record are left.
    /// @return ids of the workers that were not marked yet.
    std::vector<std::string> markRemovedExcept(const std::set<std::string>& present, const LogPosition& end, Time now, Time grace);
    /// Forgets where the records of the workers stood in the store, which another one replaces. What is known of the workers stays.
    void forgetPositions();
    /// A worker that has left the fleet.
    struct DroppedWorker {
        std::string id;
        transport::Endpoint address;
    };
    /// Drops workers whose entries did not come back within their grace period.
    std::vector<DroppedWorker> dropRemoved(Time now);
    /// Returns when the first grace period of a removed entry ends; nothing if no entry is removed.
    std::optional<Time> nextDropAt() const;

    /// Result of `chooseWorker`.
    struct Selection {
        std::string id; ///< The chosen worker, or the one that should load the adapter. Empty if there is neither.
        routing::WorkerEntry entry; ///< Entry of that worker.
        routing::Choice choice; ///< Its worker pointers are null, because they are valid only under the lock.
        Time entryAge { 0 }; ///< Time since the last record of that worker.
    };
    /// Chooses a worker for a request. Workers whose entry was removed are considered only if no other can take it.
    /// @param prefixHashes `routing::hashPrefixes` of the shape.
    /// @param excluded workers that failed this request.
    Selection chooseWorker(const routing::Service& service, const routing::RequestShape& shape, const std::vector<uint64_t>& prefixHashes, const std::set<std::string>& excluded, milliseconds targetLatency, Time now);

    /// Chooses the worker that keeps a backup copy of a run on `primary`.
    /// @return nothing if no worker can.
    std::optional<routing::WorkerEntry> chooseBackup(const routing::Service& service, const routing::RequestShape& shape, const routing::WorkerEntry& primary, Time now);
    /// Returns whether a worker is estimated to hold the adapter of a request.
    bool holdsAdapter(const std::string& id, const routing::RequestShape& shape) const;

    /// Returns whether no stream of this VM has received data from a worker for `timeout`. Also true if the worker is unknown.
    bool isSilent(const std::string& id, Time timeout, Time now) const;

    /// Calls `change` with the worker under the lock, if the worker is known.
    void updateWorker(const std::string& id, const std::function<void(routing::Worker&)>& change);
    /// Returns the entries of all workers that have not been dropped. Those that have said that they leave are draining in it.
    std::vector<routing::WorkerEntry> entries() const;
    /// Returns the entry of one worker; nothing if none is known.
    std::optional<routing::WorkerEntry> entryOf(const std::string& id) const;
    /// Returns the id of the worker whose entry names this address; empty if there is none.
    std::string workerAt(const transport::Endpoint& address) const;

    /// Applies a peer's load, its failure counts and the prefixes it sent. Ignores partial heartbeats.
    void applyHeartbeat(const std::string& peer, const Heartbeat& heartbeat);
    /// Returns the loads and recent outcomes that this VM and the VMs of its group have put on the workers, added up, and the long prefixes
    /// that they have sent since the last summary.
    Heartbeat summarizeGroup(Time now);
    /// Applies the summary of another group. A partial one adds prefixes only.
    /// @return false if a newer one was applied before.
    bool applySummary(const Heartbeat& summary, Time now);
    /// Discards the summaries that were received before `oldest`.
    void forgetOldSummaries(Time oldest);
    /// Discards the load and failure counts of an unreachable peer.
    void forgetPeerLoad(const std::string& peer);
    /// Applies the models and adapters that the lease holder reports as resident, by worker.
    void applyResident(const std::map<std::string, std::set<std::string>>& resident);

    /// Sets the VMs that share the limits of workers, see `routing::WorkerLimits::setMembers`.
    void setMembers(std::vector<std::string> names);
    /// Records the limit that a worker named in an answer, or that it named none.
    /// @return whether the worker's limit is another one now.
    bool recordLimit(const routing::WorkerEntry& worker, std::optional<double> limit, Time now);
    /// Returns the limits for the next heartbeat.
    std::vector<routing::LimitReport> takeLimitReports(Time now);
    /// Applies the limits that another VM reports.
    /// @param relay whether to pass them on in own heartbeats.
    /// @return number of limits that are other ones now.
    size_t applyLimitReports(const std::vector<routing::LimitReport>& reports, bool relay, Time now);

    /// Records that a worker said in an answer that it leaves. From now on it counts as draining in this start of it.
    /// @param worker the worker as it was called.
    /// @param namedStart start that the answer names; nothing if it names none.
    /// @return whether it is news.
    bool recordLeaving(const routing::WorkerEntry& worker, std::optional<int64_t> namedStart, Time now);
    /// Returns the workers of which it is in doubt whether they leave, see `routing::LeavingWorkers`.
    std::vector<routing::WorkerEntry> workersInDoubt() const;
    /// Returns whether it is in doubt if this start of a worker, whose entry is the newest, leaves.
    bool isInDoubt(const routing::WorkerEntry& worker) const;
    /// Ends that doubt for a start of a worker, which was asked.
    void settleLeave(const routing::WorkerEntry& worker);
    /// Returns the leaving workers that the next heartbeat names.
    std::vector<uint64_t> takeLeaveReports(Time now);
    /// Applies the leaving workers that another VM names.
    /// @return number of workers of which this VM had not heard that.
    size_t applyLeaveReports(const std::vector<uint64_t>& reports, Time now);
    /// Records that a worker turned a request away and named a time after which it wants the next one.
    /// @param worker the worker as it was called; the time does not hold for a process of it that started later.
    /// @param wallNow wall-clock time since the Unix epoch.
    void recordHold(const routing::WorkerEntry& worker, Time delay, Time now, milliseconds wallNow);
    /// Returns the workers that have named a time which has not ended: this VM sends them nothing.
    std::set<std::string> heldWorkers(Time now) const;
    /// Returns whether a worker is one of these.
    bool isHeld(const std::string& id, Time now) const;
    /// Returns whether a worker takes requests of this VM now, see `routing::wantsRequests`. False if the worker is unknown.
    bool wantsRequests(const std::string& id, Time now) const;
    /// Returns whether a run may resume at a worker now: see `routing::mayResumeAt`. False if the worker is unknown.
    bool mayResume(const std::string& id, Time now);

    /// Returns a counter that increases with each change after which a waiting request may find a worker.
    uint64_t changes() const { return this->changeCount; }

    /// Sets what is called when a waiting request may find a worker: after each of these changes, and when another VM has told its load. Called
    /// with the lock held, on any thread; must neither suspend nor use the fleet.
    /// @param listener empty for none.
    void setRoomListener(std::function<void()> listener);

    /// Returns this VM's load by worker, for heartbeats.
    std::map<WorkerKey, routing::WorkerLoad> ownLoads() const;
    /// Returns the recent outcomes of workers that failed requests of this VM, for heartbeats.
    std::map<WorkerKey, routing::RecentOutcomes> ownFailures(Time now) const;
    /// Sets the usual age of the other VMs' state updates.
    void setPeerUpdateAge(Time age) { this->peerUpdateAge = age; }
    /// Returns the prefixes sent since the last call, for heartbeats, and clears them.
    std::vector<SentPrefix> takeSentPrefixes();
    /// Adds the load of a request to a worker and the request's prompt to its estimated prefix cache.
    /// @param cachedTokens prompt tokens that the worker has cached.
    /// @param kvCacheTokens size of the worker's KV cache, in tokens.
    LoadReservation reserve(const std::string& id, const routing::RequestShape& shape, const std::vector<uint64_t>& prefixHashes, uint32_t cachedTokens, double kvCacheTokens);

private:
    friend class LoadReservation;
    struct KnownWorker {
        WorkerKey key = 0; ///< Result of `workerKey` for its id.
        routing::Worker worker;
        LogPosition newerFrom; ///< Records before this position are outdated.
        Time lastRecordAt { 0 }; ///< When a record of its entry was last applied.
        Time removedAt { 0 }; ///< When its entry was removed; 0 while it is present.
        Time grace { 0 }; ///< Time after `removedAt` within which the entry may come back.
        milliseconds holdNamedAt { 0 }; ///< Wall-clock time of the refusal that `Worker::heldUntil` is from.
    };
    /// What is kept of a worker that was dropped.
    struct DroppedEntry {
        LogPosition newerFrom; ///< Records before this position are outdated.
        int64_t startedAt = 0; ///< See `routing::WorkerEntry`.
        Time heldUntil { 0 }; ///< See `routing::Worker`.
        milliseconds holdNamedAt { 0 }; ///< See `KnownWorker`.
    };
    /// Source and time of the last summary of a data centre.
    struct SummarySource {
        std::string node;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        Time receivedAt { 0 };
    };
    /// Marks the entry of a worker as removed. The caller must hold the lock.
    void markRemoved(const std::string& id, KnownWorker& known, const LogPosition& newerFrom, Time now, Time grace);
    /// Calls `change` with each known worker that has this key. The caller must hold the lock.
    void forEachWithKey(WorkerKey key, const std::function<void(KnownWorker&)>& change);
    /// Discards what `source` has reported. The caller must hold the lock.
    void forgetReports(const std::string& source);
    /// Replaces the load and the outcomes that `source` (a VM or a data centre) reports. The caller must hold the lock.
    void replacePeerLoad(const std::string& source, const Heartbeat& heartbeat, Time now);
    /// Sets until when the workers' limits keep this VM from sending to them. The caller must hold the lock.
    void updateLimits(const std::vector<routing::Worker*>& workers, Time now) const;
    /// Returns the start in the newest entry of a worker, also if it was dropped; nothing if none was known. The caller must hold the lock.
    std::optional<int64_t> knownStart(const std::string& id) const;
    /// Sets whether a worker has said that it leaves. The caller must hold the lock.
    void updateLeaving(routing::Worker& worker) const;
    /// Sets that for all workers. The caller must hold the lock.
    void updateLeaving();
    /// Counts a change after which a waiting request may find a worker. The caller must hold the lock.
    void recordChange();
    /// Adds prefixes to what the workers are estimated to have cached. The caller must hold the lock.
    void addPrefixes(const std::vector<SentPrefix>& prefixes);
    /// Queues a prefix that a VM of this group has sent for the next summary, if other groups may use it. The caller must hold the lock.
    void queueGroupPrefix(const SentPrefix& prefix);
    /// Subtracts a load of this VM from a worker.
    void release(const std::string& id, const routing::WorkerLoad& load);

    std::string node;
    std::string dataCentre;
    mutable std::mutex mutex;
    ConfigurationPtr current; ///< Configuration in force, or null.
    ConfigurationRecordPtr currentRecord; ///< Its record, or null.
    std::map<std::string, KnownWorker> workers;
    std::map<std::string, SummarySource> summaries; ///< By data centre.
    std::map<std::string, DroppedEntry> dropped; ///< By worker id.
    std::set<uint64_t> starts; ///< Results of `routing::workerStart` for the known workers.
    std::set<std::string> removedWorkers; ///< Ids of the known workers whose entry was removed.
    std::set<std::string> busyWorkers; ///< Ids of workers on which this VM has put a load; the others have none of it.
    std::unordered_multimap<WorkerKey, KnownWorker*> workersByKey; ///< The known workers, by the key that heartbeats use.
    std::map<std::string, std::vector<WorkerKey>> reportedWorkers; ///< Workers of which a VM or a data centre last reported something.
    std::vector<SentPrefix> sentPrefixes; ///< Prefixes for the next heartbeat.
    std::deque<SentPrefix> groupPrefixes; ///< Long prefixes of the whole group for the next summary, newest last.
    std::atomic<uint64_t> changeCount { 0 };
    std::function<void()> onRoom; ///< See `setRoomListener`.
    std::atomic<Time> peerUpdateAge { Time { 0 } }; ///< See `setPeerUpdateAge`.
    routing::WorkerLimits limits;
    routing::LeavingWorkers leavingWorkers;
    uint64_t choiceCount = 0; ///< Number of choices made; seeds the random number of each.
};

/// Load that a request puts on a worker, in the state of `Fleet`. Released when the object is destroyed.
class LoadReservation {
public:
    /// Called by `Fleet::reserve`, which has already added `load` to the worker.
    LoadReservation(Fleet& fleet, std::string worker, routing::WorkerLoad load);
    ~LoadReservation();
    LoadReservation(LoadReservation&& other) noexcept;
    LoadReservation(const LoadReservation&) = delete;
    LoadReservation& operator=(const LoadReservation&) = delete;
    /// Releases the prefill load because the first stream event shows that the prefill is done. From now on the stream counts
    /// as running.
    void markPrefilled();
    /// Records that the stream received data, so that the worker does not count as silent.
    void recordStreamData() const;

private:
    Fleet* fleet; ///< Null after the reservation was moved from.
    std::string worker;
    routing::WorkerLoad load; ///< Load that is still to be released.
    bool running = false; ///< The prefill is done.
};

} // namespace comfreypier::edge
