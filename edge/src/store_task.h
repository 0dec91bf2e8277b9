/// Follows the configuration, the workers and the members in the platform's store.
#pragma once

#include "vm_p.h"

namespace comfreypier::edge {

/// Keeps the fleet up to date from the store.
class StoreTask {
public:
    /// Hears of each member record; nothing if the member left.
    using MemberListener = std::function<void(const std::string& node, const std::optional<Member>& member)>;
    /// Hears of each worker that crashed or left for good.
    using WorkerListener = std::function<void(const std::string& worker)>;

    /// Hears of each configuration that comes into force.
    using ConfigurationListener = std::function<void(const routing::Configuration& configuration)>;

    /// Hears of each record that says where a worker is or that it leaves.
    using EntryListener = std::function<void(const PassedEntry& entry)>;
    /// Tells whether others read the workers' stream and pass it on.
    using OthersRead = std::function<bool()>;

    StoreTask(Vm& vm, MemberListener onMember, WorkerListener onWorkerGone, ConfigurationListener onConfiguration, EntryListener onEntry, OthersRead othersRead);

    /// Tells whether this VM has just read the workers' stream.
    bool readsWorkers() const { return monotonicNow() - this->workersReadAt < 2 * workerReadInterval; }

    /// Each follows one stream until the daemon stops; one fiber each.
    void followConfiguration();
    void followWorkers();
    void followMembers();
    /// Reads the configuration at once if `version`, which a peer has, is newer than the one in force.
    void hearVersion(uint64_t version);
    /// Reads all anew because the store's address has changed. Must run on the I/O thread.
    void noteMove();
    /// Takes over records of the workers' stream that a peer passes on.
    void hearEntries(const std::vector<PassedEntry>& entries);

private:
    /// One stream that is read whole first and then on.
    struct Follower {
        platform::Stream stream;
        milliseconds wait; ///< Longest wait for news in one read.
        std::function<milliseconds()> pause; ///< Between two reads.
        std::function<void(const platform::StorePage&, bool whole)> apply;
        std::function<bool()> mayLeave = {}; ///< Tells whether the next read may be left out.
    };
    void follow(const Follower& follower);
    bool readOnce(const Follower& follower, std::optional<uint64_t>& next, bool hurry);
    /// Reads a stream's newest records beside its follower, on a new connection.
    std::optional<platform::StorePage> readAside(platform::Stream stream);
    void applyConfigurations(const platform::StorePage& page);
    void noteOutcome(platform::Stream stream, bool good, const std::string& detail);

    void applyConfiguration(const platform::StoreRecord& record);
    void applyWorkers(const platform::StorePage& page, bool whole);
    /// @return true if the record is news that the other VMs need.
    bool applyWorker(const platform::StoreRecord& record, Time grace);
    void dropMissing();
    bool mayLeaveReading() const;
    void applyMembers(const platform::StorePage& page);
    Time graceNow() const;

    Vm& vm;
    MemberListener onMember;
    WorkerListener onWorkerGone;
    ConfigurationListener onConfiguration;
    EntryListener onEntry;
    OthersRead othersRead;
    std::array<bool, static_cast<size_t>(platform::Stream::Count)> failing {};
    uint64_t moves = 0; ///< Changes of the store's address.
    Time workersReadAt { -std::chrono::hours { 1 } };
    Time newerReadAt { 0 }; ///< When the configuration was last read because of a peer.
    Time workersRegainedAt { -std::chrono::hours { 1 } }; ///< When the workers' stream was readable again.
    transport::Log log { "store" };
};

} // namespace comfreypier::edge
