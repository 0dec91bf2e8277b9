/// The daemon on the users' platform. Serves callers on every entry VM; the VM that holds the lease also orders the
/// workers to load and unload models and adapters.
#pragma once

#include <ownership/ownership.h>
#include <protocol/protocol.h>
#include <routing/routing.h>

namespace comfreypier::edge {

using std::chrono::milliseconds;

// Limits and defaults

/// Interval between heartbeats to VMs of the same group; longer in a large group, see `heartbeatIntervalPerMember`. The load that
/// a heartbeat reports goes stale in about the time that one prefill takes.
constexpr milliseconds heartbeatInterval { 200 };
/// Minimum interval between heartbeats to the group, per VM of the group. It makes the total heartbeat traffic grow linearly with
/// the number of VMs instead of quadratically.
constexpr milliseconds heartbeatIntervalPerMember { 15 };
/// Up to this many VMs form one group, whose members send each other full heartbeats. More VMs are split into one group per
/// data centre.
constexpr size_t maxGroupSize = 24;
/// Interval between heartbeats to a VM of another group. Longer, because the load matters only for the few workers that both
/// VMs use.
constexpr milliseconds crossGroupHeartbeatInterval { 2000 };
/// Interval between heartbeats from the lease holder to a VM of another group. Shorter, because its failure must be detected.
constexpr milliseconds crossGroupLeaseHolderInterval { 1000 };
/// A peer of the same group without a heartbeat for this long counts as unreachable and is left out of the directory.
constexpr milliseconds peerTimeout { 1100 };
/// Peer timeout in heartbeat intervals. In the group it applies if it is longer than `peerTimeout`, as it is with many VMs. For
/// peers of other groups it always applies.
constexpr int peerTimeoutHeartbeats = 4;
/// Interval between heartbeats to a peer that no longer counts as alive, and the shortest time without a heartbeat
/// after which this is so.
constexpr milliseconds unreachablePeerInterval { 2000 };
/// Maximum time that a read of the configuration or member stream waits for a new record; the store allows 30 s. If the read's
/// connection has gone silent, the checks of the configuration (`configurationCheckReserve`) and heartbeats still find a newer version.
constexpr milliseconds longPollTimeout { 28000 };
/// Part of `Settings::configurationBound` that remains when a VM checks whether its pending read has missed a configuration: up to
/// `workerReadInterval` until the check, a heartbeat to the other VMs, their `newerVersionReadDelay`, and two reads.
constexpr milliseconds configurationCheckReserve { 1500 };
/// Smallest part of `Settings::configurationBound` between two checks.
constexpr double minConfigurationCheckShare = 0.25;
/// Maximum time without an own read of the worker stream while other VMs read and forward it without a loss. Refreshes what is not
/// forwarded, such as the copies of weights on a worker's disk.
constexpr milliseconds delegatedReadInterval { 15000 };
/// A VM that has not been heard from for this long does not count as a reader of the worker stream. Together with one read and its
/// interval it stays below the 3 s after which no VM may send to a draining worker, even if all datagrams about it are lost.
constexpr milliseconds maxReaderSilence { 1500 };
/// Interval at which a reader of the worker stream tells its group that it reads, if the group is so large that its heartbeats come less
/// often. Three lost ones in a row don't make the others read.
constexpr milliseconds readerHeartbeatInterval = maxReaderSilence / 4;
/// A VM that reads the worker stream because it missed the heartbeats of its readers forwards nothing as long as it heard them within this
/// time: what they forward reaches the others.
constexpr milliseconds maxForwarderSilence = 2 * maxReaderSilence;
/// Maximum time without an own read of the configuration and of the members while other VMs of a large group read them. All heartbeats carry
/// the version of the configuration, and those of a new VM its member record.
constexpr milliseconds delegatedConfigurationInterval { 60000 };
constexpr milliseconds delegatedMemberInterval { 30000 };
/// Time after its publication for which heartbeats carry a VM's member record: several heartbeats to each VM of another group.
constexpr milliseconds memberRepeatTime { 10000 };
/// Number of VMs that read the worker stream for their group: if there is one group, and if there are more.
constexpr size_t workerReaderCount = 3;
constexpr size_t splitGroupReaderCount = 2;
/// Number of VMs of each other group that receive the summary of a group's loads; one of them passes it on.
constexpr size_t summaryReceiverCount = 2;
/// Time without a summary of a data centre after which its loads are forgotten.
constexpr milliseconds summaryTimeout { 4000 };
/// Number of heartbeats that carry a forwarded record, because datagrams may be lost.
constexpr int forwardRepeats = 5;
/// The same for the record of a worker that was not known, if there are several groups: no promise depends on it, and a VM that misses it reads
/// the stream.
constexpr int newWorkerRepeats = 2;
/// Interval between reads of the worker stream. Each worker writes to it about once a second.
constexpr milliseconds workerReadInterval { 700 };
/// Interval between reads of the configuration. In a burst of changes only the newest version matters.
constexpr milliseconds configurationReadInterval { 250 };
/// Interval between reads of the members. It batches the records of many VMs that start at the same time.
constexpr milliseconds memberReadInterval { 700 };
/// Delay after a failed call to the store, doubled after each further failure up to `maxStoreRetryDelay`.
constexpr milliseconds storeRetryDelay { 250 };
constexpr milliseconds maxStoreRetryDelay { 1000 };
/// Delay before the configuration is read on a new connection because a peer reports a newer version. The long poll usually
/// returns it within this time. Also the minimum time between two such reads.
constexpr milliseconds newerVersionReadDelay { 300 };
/// Grace period after the store becomes available again, in which workers renew entries that expired during the outage.
/// Includes some margin.
constexpr milliseconds entryRecoveryTime { 2600 };

/// Share of a VM's memory for the bodies of requests, whole answers and unfinished events. A body is held twice while it is sent, and a
/// buffer that grows takes up to three times its size while it is copied to a larger one.
constexpr double bufferMemoryShare = 0.125;

/// Share of a VM's memory for answers of the store, and again for those of workers to reports, orders and probes. A body grows as above.
constexpr double controlMemoryShare = 0.0625;
/// Least memory for answers of the store, in bytes. One may hold half of what is free, and the largest has 2 MiB in Base64.
constexpr uint64_t minStoreMemory = 6 * 1024 * 1024;

/// Shares of a VM's memory for callers' connections, what they have sent ahead, and the heads and bodies of their requests.
constexpr double connectionMemoryShare = 0.25;
constexpr double unreadMemoryShare = 0.04;
constexpr double requestMemoryShare = 0.25;
/// Descriptors that are for files.
constexpr uint64_t fileDescriptors = 200;
/// Share of the sockets that is for the store, peers, orders and listeners; share of the others that callers' connections may take, so that
/// enough are left for connections to workers.
constexpr double controlSocketShare = 0.1;
constexpr double callerSocketShare = 0.75;

/// Settings of one entry VM.
struct Settings {
    std::string node; ///< Name of the VM, unique among the entry VMs.
    std::string region;
    std::string dataCentre;
    transport::Endpoint front; ///< Listener for callers' requests.
    transport::Endpoint directory; ///< Listener that returns the addresses callers may connect to.
    transport::Endpoint readiness; ///< Listener for the platform's readiness checks.
    transport::Endpoint inner; ///< UDP address for heartbeats between VMs.
    transport::Endpoint metrics; ///< Listener for counters and histograms.
    transport::Endpoint store;
    milliseconds configurationBound { 2000 }; ///< Time within which a VM applies a configuration that the store has accepted.
    double retryRatio = 0.2; ///< Retries per request that all VMs together may send to a worker service.
    uint32_t retrySlack = 50; ///< Additional retries of all VMs in one window.
    milliseconds retryWindow { 10000 }; ///< Length of the sliding window.
    /// This VM can't have sent retries before: the whole system starts for the first time. Otherwise it uses none of the slack for
    /// the first window.
    bool firstStart = true;
    bool queueByUrgency = false; ///< Requests that wait for a worker are ordered by urgency, also if the configuration has no client accounts.
    milliseconds quotaWindow { 0 }; ///< Time over which the quotas of client accounts are measured.
    double quotaOverage = 0; ///< Share of a quota by which it may be exceeded in that time.
    double quotaSlack = 0; ///< Further amount by which it may be exceeded in that time, in the unit of the quota.
    milliseconds grace { 8000 }; ///< Time from SIGTERM to the end of the process.
    milliseconds leaseTime { 3000 }; ///< Minimum time between orders of two different lease holders.
    bool workersCheckTokens = true; ///< Workers reject orders with a fencing token lower than the highest they have seen.
    std::chrono::seconds directoryTtl { 2 }; ///< Time for which callers cache the directory's answer.
    uint32_t connectionLimit = 3000; ///< Maximum number of open connections from callers.
    milliseconds writeTimeout = transport::defaultWriteTimeout; ///< Time for which a caller may read nothing of what waits for it.
    double processorShare = 1; ///< Number of cores that this VM may use.
    double processorSpeed = 1; ///< Speed of each core relative to a reference core.
    double linkMegabits = 1000; ///< Bandwidth of the VM's network link, in Mbit/s.
    double memoryMegabytes = 256; ///< Memory that the process may use.
    uint32_t descriptors = 0; ///< Descriptors that the process may have open; 0 for the limit of the system, which applies if it is lower.
    transport::LogLevel logLevel = transport::LogLevel::Info;
    std::vector<transport::PartLevel> partLevels; ///< Log levels of single parts, which replace `logLevel` there.
};

/// Link bandwidth that one reference core saturates by relaying, in Mbit/s: 45,000 tokens a second of about 250 bytes each, in
/// and out.
constexpr double linkMegabitsPerCore = 200;
/// Returns a VM's relay capacity in reference cores, limited by its processor or its link, whichever is less.
double capacityInCores(const Settings& settings);

/// Parses and checks a settings file.
/// @param file name of the file, for error messages.
/// @return the settings, or all errors that were found.
Result<Settings, std::vector<protocol::ConfigError>> parseSettings(std::string_view file, std::string_view text);

/// The daemon of one entry VM.
class Edge {
public:
    explicit Edge(Settings settings);
    ~Edge();
    Edge(const Edge&) = delete;
    Edge& operator=(const Edge&) = delete;

    /// Opens the listeners and starts all background tasks.
    /// @return false if an address can't be bound.
    bool start();
    /// Applies the settings that may change while the daemon runs: the store's address and the log levels.
    void reload(const Settings& settings);
    /// Shuts down gracefully: attracts no new callers and lets open requests end. Blocks the calling thread for up to
    /// `Settings::grace`.
    /// @return true if no request was cut off.
    bool drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace comfreypier::edge
