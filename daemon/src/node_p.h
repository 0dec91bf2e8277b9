/// Internal header of the daemon: the settings, services and state that all of its parts share.
#pragma once

#include <state/state.h>

namespace comfreypier::daemon {

using coordination::Time;
using protocol::Offset;
using protocol::SessionId;
using transport::monotonicNow;
using transport::sleepFor;

/// Lifecycle flags of the daemon. Each is set once and never cleared.
struct Lifecycle {
    std::atomic<bool> caughtUp { false }; ///< Both streams were read to their end, or a peer's state was restored instead.
    std::atomic<bool> draining { false }; ///< The daemon shuts down and announces this to its peers.
    std::atomic<bool> forwarding { false }; ///< New requests are forwarded to peers.
    std::atomic<bool> stopping { false }; ///< Background tasks return.
};

/// State and services that all parts of the daemon share.
struct Node {
    /// @param answerMemory also that of the clients.
    /// @param controlClient for the engines' reports and orders, whose answers carry no id: on connections of their own, a late copy of
    /// another answer is not taken for theirs.
    Node(const protocol::NodeSettings& settings, transport::BufferMemory& answerMemory, transport::HttpClient& client, transport::HttpClient& controlClient)
        : settings(settings)
        , answerMemory(answerMemory)
        , client(client)
        , log(protocol::makeHttpLog(client, settings.log))
        , vmList(protocol::makeHttpVmList(client, settings.vmList))
        , engines(protocol::makeHttpEngine(controlClient))
        , regionStream("region." + settings.region)
        , writerNumber(protocol::makeRandomId().high)
        , queue(this->writerNumber)
        , region(coordination::applyRegionRecord)
        , config(coordination::applyConfigRecord)
    {
    }

    const protocol::NodeSettings& settings;
    transport::BufferMemory& answerMemory; ///< For answers that are not complete.
    transport::HttpClient& client;
    protocol::LogService log;
    protocol::VmListService vmList;
    protocol::EngineService engines;
    std::string regionStream; ///< Log stream of this node's region.
    std::string configStream = "config"; ///< Log stream of the configuration.
    uint64_t writerNumber; ///< Random number that identifies this process as a writer of log records.
    state::AppendQueue queue; ///< Entries for the region's stream. Only `LogWriter` builds records from them.
    state::RegionReplica region;
    state::ConfigReplica config;
    state::Counters counters;
    state::LoadTable loads;
    state::DemandTable demand;
    state::GossipTable gossip;
    transport::Distribution firstTokenTimes; ///< Times from the admission of a streamed completion to its first event.
    transport::Distribution addedTimes; ///< Unused: nothing is recorded in it.
    Lifecycle lifecycle;
};

} // namespace comfreypier::daemon
