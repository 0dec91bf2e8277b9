/// The daemon on the users' platform: serves callers on every entry VM and, as holder of the lease, orders loads.
#pragma once

#include <ownership/ownership.h>
#include <protocol/protocol.h>
#include <routing/routing.h>

namespace comfreypier::edge {

using std::chrono::milliseconds;

// ---------------------------------------------------------------- limits and defaults

/// Pause between beats to the other VMs: a peer's load is news for about as long as a prompt takes to read.
constexpr milliseconds heartbeatInterval { 200 };
/// Least pause for each VM of the group: it bounds what all VMs send to each other to their number, not its square.
constexpr milliseconds heartbeatIntervalPerMember { 15 };
/// Up to this many VMs are one group, in which all tell each other everything; more are split into a group for each data centre.
constexpr size_t maxGroupSize = 24;
/// Pause between beats to a VM of another group: its load is of use only for the few workers that both use.
constexpr milliseconds crossGroupHeartbeatInterval { 2000 };
/// The same for the holder of the lease, whose silence must be noticed.
constexpr milliseconds crossGroupLeaseHolderInterval { 1000 };
/// A peer not heard for this long is left out of the directory.
constexpr milliseconds peerTimeout { 1100 };
/// The same in pauses between beats, for many VMs.
constexpr int peerTimeoutHeartbeats = 4;
/// Pause between beats to a peer that has been silent for long.
constexpr milliseconds unreachablePeerInterval { 2000 };
/// Longest time a read waits for news of configuration and members. Beats tell of a newer configuration meanwhile, should
/// the read's connection have gone silent.
constexpr milliseconds longPollTimeout { 12000 };
/// Longest time for which a VM leaves reading the workers' stream to others that pass it on: with one read and its pause it stays
/// under the 3 s in which no VM may send to a leaving worker any more, should all datagrams about it be lost.
constexpr milliseconds delegatedReadInterval { 1500 };
/// VMs that read the workers' stream for their group.
constexpr size_t workerReaderCount = 3;
/// Beats in which a passed record is repeated, as datagrams may be lost.
constexpr int forwardRepeats = 5;
/// Pause between two reads of the workers' stream. Each worker writes there about every second.
constexpr milliseconds workerReadInterval { 700 };
/// Pause between two reads of the configuration: in a storm of changes only the newest matters.
constexpr milliseconds configurationReadInterval { 250 };
/// Pause between two reads of the members: many VMs that start at once are news once, not once each.
constexpr milliseconds memberReadInterval { 700 };
/// Pause after a failed call to the store, doubled after each further failure up to the most.
constexpr milliseconds storeRetryDelay { 250 };
constexpr milliseconds maxStoreRetryDelay { 1000 };
/// Time that the follower has before the configuration is read because a peer has a newer one.
constexpr milliseconds newerVersionReadDelay { 300 };
/// Time in which entries that lapsed while the store was away come back after its return, with some slack.
constexpr milliseconds entryRecoveryTime { 2600 };

/// Settings of one VM.
struct Settings {
    std::string node;
    std::string region;
    std::string dataCentre;
    transport::Endpoint front; ///< For callers.
    transport::Endpoint directory; ///< For questions where to connect.
    transport::Endpoint readiness; ///< For the platform's checks.
    transport::Endpoint inner; ///< UDP, for beats.
    transport::Endpoint metrics; ///< For counters and histograms.
    transport::Endpoint store;
    double retryRatio = 0.2; ///< Repeats that all VMs may send a worker service for each request.
    uint32_t retrySlack = 50; ///< Further repeats in a window over all VMs.
    milliseconds retryWindow { 10000 };
    milliseconds grace { 8000 }; ///< From SIGTERM to the end of the process.
    milliseconds leaseTime { 3000 }; ///< Two VMs must not give orders in turn within this time.
    bool workersCheckTokens = true; ///< Workers refuse lower fencing tokens.
    std::chrono::seconds directoryTtl { 2 }; ///< For which callers keep the directory's answer.
    uint32_t connectionLimit = 3000; ///< Callers' connections at once.
    double processorShare = 1; ///< Of a core that this VM may use.
    double processorSpeed = 1; ///< Of that core, where 1 is the usual one.
    double linkMegabits = 1000; ///< A second, of the VM's link.
    transport::LogLevel logLevel = transport::LogLevel::Info;
    std::vector<transport::PartLevel> partLevels;
};

/// Link that one usual core keeps busy by relaying, in megabits a second: 45,000 tokens a second of some 250 bytes, both ways.
constexpr double linkMegabitsPerCore = 200;
/// What a VM can carry, in usual cores: its processor or its link, whichever is less.
double capacityInCores(const Settings& settings);

/// Parses and checks a settings file.
Result<Settings, std::vector<protocol::FileFault>> parseSettings(std::string_view file, std::string_view text);

/// The daemon of one entry VM.
class Edge {
public:
    explicit Edge(Settings settings);
    ~Edge();
    Edge(const Edge&) = delete;
    Edge& operator=(const Edge&) = delete;

    /// Opens the listeners and starts all duties.
    /// @return false if an address can't be bound.
    bool start();
    /// Takes over those settings that may change while the daemon runs: the store's address, bounds and log levels.
    void reload(const Settings& settings);
    /// Leaves: no new callers, open requests end. Blocks the calling thread.
    /// @return true if nothing was cut off.
    bool drain();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace comfreypier::edge
