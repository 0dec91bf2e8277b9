/// Background task that reads the configuration, worker and member streams of the platform's store.
#pragma once

#include "vm_p.h"

namespace comfreypier::edge {

/// Keeps the fleet up to date with the store.
class StoreTask {
public:
    /// Called with the member records of each read.
    using MemberListener = std::function<void(const MemberRecords& records)>;
    /// Called with the id of each worker that has crashed, as its restart shows, or is gone permanently.
    using WorkerListener = std::function<void(const std::string& worker)>;
    /// Called with each configuration that comes into force.
    using ConfigurationListener = std::function<void(const routing::Configuration& configuration)>;
    /// Called when the store has come back from a copy.
    using RestorationListener = std::function<void()>;
    /// Called with each record of a worker that the other VMs need: it is new, gone, restarted, at another address or draining.
    using EntryListener = std::function<void(const ForwardedEntry& entry)>;
    /// What other VMs know of the store.
    struct PeerReads {
        /// Returns whether enough other VMs read the worker stream and forward its records, see `Peers::enoughPeersReadWorkers`.
        std::function<bool(Time ownReadAt)> workersRead;
        /// Returns whether enough other VMs follow the configuration and the members, see `Peers::enoughPeersFollowStore`.
        std::function<bool()> storeFollowed;
        /// Returns the VMs to ask for a configuration of this version or a newer one, see `Peers::configurationSources`.
        std::function<std::vector<ConfigurationSource>(uint64_t version)> configurationSources;
        ConfigurationAsker self; ///< This VM, as the others know it.
    };

    StoreTask(Vm& vm, MemberListener onMembers, WorkerListener onWorkerGone, ConfigurationListener onConfiguration, RestorationListener onRestored, EntryListener onEntry, PeerReads peerReads);

    /// Returns whether this VM has read the worker stream within the last two read intervals.
    bool hasReadWorkersRecently() const { return monotonicNow() - this->workersReadAt < 2 * workerReadInterval; }

    /// Returns whether this VM has read the configuration within the time that readers leave between two reads of it.
    bool hasReadConfigurationRecently() const;

    /// These three each read one stream until the daemon stops, each on a fiber of its own.
    void followConfiguration();
    void followWorkers();
    void followMembers();
    /// Gets the configuration if the one in force stays older than `version`, which a peer has: from the store on a new connection, or from
    /// such a peer if the store turns this VM away or does not answer.
    void refreshIfOlderThan(uint64_t version);
    /// Reads the members on a new connection, unless such a read is under way. Called if a peer's record seems to be missing.
    void refreshMembers();
    /// Reads all streams anew after the store's address has changed. Must run on the I/O thread.
    void onStoreAddressChanged();
    /// Applies records of the worker stream that a peer forwards.
    void applyForwardedEntries(const std::vector<ForwardedEntry>& entries);

private:
    /// Parameters of the read loop of one stream: the first read is a full one, later ones continue from its end.
    struct StreamReader {
        platform::Stream stream;
        milliseconds maxWait; ///< Longest time for which one read waits for new records; 0 does not wait.
        std::function<milliseconds()> interval; ///< Returns the time between two reads.
        std::function<void(const platform::StorePage&, bool fullRead)> apply; ///< Called with the records of each read.
        std::function<bool()> isDelegated = {}; ///< Returns whether other VMs read the stream for this one. If empty, none does.
        milliseconds delegatedInterval { 0 }; ///< Longest time without an own read while others read; such a read does not wait for records.
    };
    /// Reads a stream until the daemon stops.
    void followStream(const StreamReader& reader);
    /// Reads a stream once.
    /// @param next position to read from; without it, the newest record of each key is read. Set to the end of the read, or cleared
    /// if the next read must be a full one.
    /// @param immediate does not wait for new records.
    /// @return false if the next read must wait for the retry delay.
    bool readOnce(const StreamReader& reader, std::optional<LogPosition>& next, bool immediate);
    /// Reads a stream from `next`, or the newest record of each key without it. If the store came back from a copy in the meantime, the
    /// page is discarded and the newest record of each key is read instead.
    /// @param next cleared if the newest record of each key was read.
    /// @return a page of the newest era, whose `era` is always set.
    platform::Result<platform::StorePage> readPage(platform::Store store, platform::Stream stream, std::optional<LogPosition>& next, milliseconds maxWait);
    /// Handles a newer era of the store: what waits at offsets of the earlier one is begun anew.
    void onEra(uint64_t era, bool restored);
    /// Reads the configuration aside, on a new connection, if the last answer about it is older than the check interval. A pending read
    /// whose answer is lost would otherwise miss all changes until it times out.
    void checkConfiguration();
    /// Returns whether the configuration in force has this version or a newer one.
    bool hasConfiguration(uint64_t version) const;
    /// Gets a configuration that is at least as new as `version`, unless the read loop does.
    void refreshConfiguration(uint64_t version);
    /// Asks other VMs for the configuration, one after the other.
    /// @param answerLimit time after which the next one is asked if there is no connection, or no head of an answer. The body may take half
    /// of the time within which a configuration is to be in force.
    /// @return whether the configuration in force is now at least as new as `version`.
    bool fetchConfiguration(uint64_t version, milliseconds answerLimit);
    /// Returns whether the last read of the configuration or of the workers has failed.
    bool isStoreFailing() const;
    /// Applies the newest configuration from a read aside. If the pending read has missed it, the pending reads are begun anew.
    void applyConfigurationsAside(const platform::StorePage& page);
    /// Ends the reads that wait for records and closes idle connections to the store: all of them may be dead.
    void restartPendingReads(const char* reason);
    /// Reads a stream on a new connection, independently of the stream's read loop.
    /// @param next position to read from; without it, the newest record of each key is read.
    std::optional<platform::StorePage> readOnNewConnection(platform::Stream stream, std::optional<LogPosition> next = std::nullopt);
    void applyConfigurations(const platform::StorePage& page);
    /// Counts a failed read, and logs if the stream has become readable or unreadable.
    void updateStreamState(platform::Stream stream, bool succeeded, const std::string& detail);

    void applyConfiguration(const platform::StoreRecord& record, uint64_t era);
    /// What a record of the worker stream tells other VMs.
    enum class RecordNews { None,
        NewWorker,
        Change };
    /// Applies records of the worker stream and forwards those that the other VMs need.
    /// @param fullRead `page` holds the newest record of each key, so that workers without one are removed.
    void applyWorkers(const platform::StorePage& page, bool fullRead);
    /// Applies one record of the worker stream, read or forwarded.
    /// @param era era in which the record was read.
    /// @param fromCopy the record may stem from the copy with which that era began.
    /// @param grace time in which a removed entry may come back.
    /// @return whether the other VMs need the record.
    RecordNews applyWorker(const platform::StoreRecord& record, uint64_t era, bool fromCopy, Time grace);
    /// Drops the workers whose entries did not come back within their grace period, and those whose grace period has not ended yet as
    /// soon as it does.
    void dropMissingWorkers();
    /// Closes the pooled connections to a worker that is gone.
    void closeIdleConnections(const transport::Endpoint& worker);
    /// Returns whether other VMs read the worker stream for this one.
    bool isWorkerReadDelegated() const;
    /// Returns whether other VMs follow the configuration and the members for this one.
    bool isFollowingDelegated() const;
    /// Returns the time after which a reader of the store checks whether its pending read has missed a configuration.
    Time configurationCheckInterval() const;
    void applyMembers(const platform::StorePage& page, bool fullRead);
    /// Returns the time for which a removed worker entry may still come back, because the store was unreachable or restored until
    /// recently; 0 if it was not.
    Time entryGracePeriod() const;

    Vm& vm;
    MemberListener onMembers;
    WorkerListener onWorkerGone;
    ConfigurationListener onConfiguration;
    RestorationListener onRestored;
    EntryListener onEntry;
    PeerReads peerReads;
    std::array<bool, static_cast<size_t>(platform::Stream::Count)> streamFailing {}; ///< By stream: its last read failed.
    std::array<std::shared_ptr<transport::CancelToken>, static_cast<size_t>(platform::Stream::Count)> pendingReads; ///< By stream; null if none waits.
    bool dropScheduled = false; ///< A fiber waits for the end of a grace period.
    bool checksConfiguration = false; ///< `checkConfiguration` is reading.
    Time configurationReadAt { 0 }; ///< When a read of the configuration last had an answer.
    std::optional<LogPosition> configurationNext; ///< Where the read loop of the configuration continues; not set before a full read.
    uint64_t addressChanges = 0; ///< Number of changes of the store's address.
    // An initial value of an hour ago means that it has not happened yet.
    Time workersReadAt { -std::chrono::hours { 1 } }; ///< When this VM last read the worker stream itself.
    Time workersReadBeganAt { -std::chrono::hours { 1 } }; ///< When that read began.
    LogPosition workersFullReadEnd; ///< Position up to which the last full read of the worker stream covers all records.
    /// End of the first full read of the worker stream in an era. Only records from there on are known to be written in that era.
    std::optional<LogPosition> workersCopyEnd;
    bool readsMembersAside = false; ///< `refreshMembers` is reading.
    Time newerVersionReadAt { 0 }; ///< When the configuration was last read because of a peer's newer version.
    bool refreshesConfiguration = false; ///< `refreshConfiguration` runs.
    Time workersStreamRegainedAt { -std::chrono::hours { 1 } }; ///< When the worker stream became readable again.
    Time restoredAt { -std::chrono::hours { 1 } }; ///< When a newer era of the store was first seen.
    transport::Log log { "store" };
};

} // namespace comfreypier::edge
