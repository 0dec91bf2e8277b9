/// What this VM believes of the configuration and the workers, under one lock.
#pragma once

#include "heartbeat_codec.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace comfreypier::edge {

using routing::Time;
using transport::monotonicNow;
using transport::sleepFor;
using ConfigurationPtr = std::shared_ptr<const routing::Configuration>;

/// What a worker's entry says that was not known.
enum class EntryChange {
    None,
    Contents, ///< Other models or adapters: the holder of the lease tells all VMs of those.
    Status, ///< A new worker or start, another address, or whether it leaves.
    Count
};

/// Load that a request puts on a worker. Ends with the object.
class LoadReservation;

/// Configuration and workers.
class Fleet {
public:
    Fleet(std::string node, std::string dataCentre);

    /// The configuration in force, or null while none is known.
    ConfigurationPtr configuration() const;
    /// Puts a configuration in force unless a newer one already is. @return true if it was taken.
    bool applyConfiguration(routing::Configuration configuration);

    /// Takes over a worker's entry. @param offset of its record; older ones than the last are ignored.
    EntryChange applyEntry(const routing::WorkerEntry& entry, uint64_t offset, Time now);
    /// Notes that a worker's entry is gone. @param grace time in which it may come back.
    /// @return true if that is news.
    bool markRemoved(const std::string& id, uint64_t offset, Time now, Time grace);
    /// Notes all that are not among `present` as gone. @param end offset at which they were read.
    /// @return those of which that is news.
    std::vector<std::string> markRemovedExcept(const std::set<std::string>& present, uint64_t end, Time now, Time grace);
    /// Drops workers whose entries did not come back. @return their ids.
    std::vector<std::string> dropRemoved(Time now);

    /// Chooses a worker. The pointers in the result are null; use `id`.
    struct Selection {
        std::string id;
        routing::WorkerEntry entry; ///< Of the worker, or of the one that should load an adapter.
        routing::Choice choice;
        Time entryAge { 0 }; ///< Since the worker's last news.
    };
    Selection chooseWorker(const routing::Service& service, const routing::RequestShape& shape, const std::vector<uint64_t>& chains, const std::set<std::string>& excluded, milliseconds targetLatency, Time now);

    /// Chooses the worker that keeps a copy of a run at `primary`.
    std::optional<routing::WorkerEntry> chooseBackup(const routing::Service& service, const routing::RequestShape& shape, const routing::WorkerEntry& primary, Time now);
    /// Tells whether a worker is believed to hold the adapter of a request.
    bool holdsAdapter(const std::string& id, const routing::RequestShape& shape) const;

    /// Tells whether a worker that is silent on one stream for `patience` is so on all; true if it is gone.
    bool isSilent(const std::string& id, Time patience, Time now) const;

    /// Calls `change` with the worker, if it is known, under the lock.
    void updateWorker(const std::string& id, const std::function<void(routing::Worker&)>& change);
    /// Entries of all workers that are not gone.
    std::vector<routing::WorkerEntry> entries() const;

    /// Takes over a peer's load and what it sent.
    void applyHeartbeat(const std::string& peer, const Heartbeat& beat);
    /// Forgets a silent peer's load.
    void forgetPeerLoad(const std::string& peer);
    /// Takes over the adapters that the holder of the lease reports.
    void applyResident(const std::map<std::string, std::set<std::string>>& resident);

    /// Grows with each change after which a request that found no worker may find one.
    uint64_t changes() const { return this->changeCount; }

    /// Own load by worker, for beats.
    std::map<WorkerKey, routing::WorkerLoad> ownLoads() const;
    /// Answers of workers that failed requests of this VM lately, for beats.
    std::map<WorkerKey, routing::Outcomes> ownFailures(Time now) const;
    /// Notes how old the other VMs' news usually is.
    void setPeerUpdateAge(Time age) { this->newsAge = age; }
    /// Parts sent since the last call, for beats.
    std::vector<SentPrefix> takeSentPrefixes();
    /// Notes a request on its way to a worker.
    LoadReservation reserve(const std::string& id, const routing::RequestShape& shape, const std::vector<uint64_t>& chains, uint32_t kept, double capacity);

private:
    friend class LoadReservation;
    struct Known {
        WorkerKey key = 0;
        routing::Worker worker;
        uint64_t offset = 0; ///< Of the record that was last taken over.
        Time heardAt { 0 };
        Time missingSince { 0 }; ///< 0 while the entry is there.
        Time grace { 0 };
    };
    void release(const std::string& id, const routing::WorkerLoad& load);

    std::string node;
    std::string dataCentre;
    mutable std::mutex mutex;
    ConfigurationPtr current;
    std::map<std::string, Known> workers;
    std::map<std::string, uint64_t> goneAt; ///< Offset at which workers went.
    std::map<WorkerKey, std::string> workerNames;
    std::vector<SentPrefix> sent;
    std::atomic<uint64_t> changeCount { 0 };
    std::atomic<Time> newsAge { Time { 0 } };
    uint64_t draws = 0; ///< Choices made.
};

class LoadReservation {
public:
    LoadReservation(Fleet& fleet, std::string worker, routing::WorkerLoad load);
    ~LoadReservation();
    LoadReservation(LoadReservation&& other) noexcept;
    LoadReservation(const LoadReservation&) = delete;
    LoadReservation& operator=(const LoadReservation&) = delete;
    /// Notes that the prompt has been read: the stream runs.
    void markPrefilled();
    /// Notes an event of the stream.
    void recordStreamEvent() const;

private:
    Fleet* fleet;
    std::string worker;
    routing::WorkerLoad load;
    bool running = false;
};

} // namespace comfreypier::edge
