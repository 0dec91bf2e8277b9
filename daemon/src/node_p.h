/// Shared inside the daemon: what its parts work on.
#pragma once

#include <state/state.h>

namespace comfreypier::daemon {

using coordination::Time;
using protocol::Offset;
using protocol::SessionId;
using transport::monotonicNow;
using transport::sleepFor;

/// Where the daemon stands in its life.
struct Lifecycle {
    std::atomic<bool> caughtUp { false }; ///< Both streams have been replayed once.
    std::atomic<bool> draining { false }; ///< Leaves: no new work of its own after the notice.
    std::atomic<bool> forwarding { false }; ///< New requests go to peers.
    std::atomic<bool> stopping { false }; ///< Duties end.
};

/// State and services that all parts share.
struct Node {
    Node(const protocol::NodeSettings& settings, transport::HttpClient& client)
        : settings(settings)
        , client(client)
        , log(protocol::makeHttpLog(client, settings.log))
        , vmList(protocol::makeHttpVmList(client, settings.vmList))
        , engines(protocol::makeHttpEngine(client))
        , regionStream("region." + settings.region)
        , writerNumber(protocol::makeRecordId().high)
        , queue(this->writerNumber)
        , region(coordination::applyRegionRecord)
        , config(coordination::applyConfigRecord)
    {
    }

    const protocol::NodeSettings& settings;
    transport::HttpClient& client;
    protocol::LogService log;
    protocol::VmListService vmList;
    protocol::EngineService engines;
    std::string regionStream;
    std::string configStream = "config";
    uint64_t writerNumber;
    state::AppendQueue queue;
    state::RegionReplica region;
    state::ConfigReplica config;
    state::Counters counters;
    state::LoadTable loads;
    state::DemandTable demand;
    state::GossipTable gossip;
    transport::Distribution firstTokenTimes;
    transport::Distribution addedTimes;
    Lifecycle lifecycle;
};

} // namespace comfreypier::daemon
