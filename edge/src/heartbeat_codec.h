/// Beats between VMs and the record that a VM publishes of itself.
#pragma once

#include <edge/edge.h>
#include <placement/placement.h>

namespace comfreypier::edge {

/// What a VM publishes of itself.
struct Member {
    uint64_t incarnation = 0; ///< Drawn anew at each start.
    transport::Endpoint inner;
    transport::Endpoint front;
    std::string dataCentre;
    double capacity = 0; ///< As of `capacityInCores`.
};

std::string encodeMember(const Member& member);
std::optional<Member> decodeMember(std::string_view bytes);

/// Short name of a worker in beats.
using WorkerKey = uint32_t;

/// Returns the short name of a worker.
WorkerKey workerKey(std::string_view worker);

/// A record of the workers' stream that a VM passes on.
struct ForwardedEntry {
    std::string worker;
    std::string value; ///< Empty if the record drops its key.
    uint64_t offset = 0;
};

/// A prompt part that a VM has just sent to a worker.
struct SentPrefix {
    WorkerKey worker = 0;
    uint64_t chain = 0;
    uint32_t tokens = 0;
};

/// An adapter or, if `worker` is empty, a model that a VM misses.
struct MissingItem {
    std::string worker;
    std::string model;
    std::string adapter;
    auto operator<=>(const MissingItem&) const = default;
};

/// What a VM tells the others.
struct Heartbeat {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t sequence = 0; ///< Grows with each beat of an incarnation.
    bool ready = false;
    bool draining = false;
    bool overloaded = false; ///< The VM falls behind: callers that can go elsewhere should.
    uint64_t leaseToken = 0; ///< Fencing token if the VM gives orders now, else 0.
    uint64_t leaseOffset = 0; ///< Newest record of the lease, from its holder.
    uint64_t configVersion = 0;
    bool partial = false; ///< Carries only what is urgent: loads are left out.
    bool readsWorkers = false; ///< The VM has just read the workers' stream and passes news of it on.
    std::vector<ForwardedEntry> forwardedEntries;
    std::map<WorkerKey, routing::WorkerLoad> loads; ///< By worker; others carry none.
    std::map<WorkerKey, routing::Outcomes> outcomes; ///< Of workers that failed requests lately; the time is left out.
    std::vector<SentPrefix> sentPrefixes;
    std::map<std::string, double> demand; ///< By model, in worker seconds a second.
    std::vector<MissingItem> missingItems;
    std::vector<MissingItem> usedAdapters; ///< Adapters that requests have just been sent to.
    /// By worker, from the holder of the lease: `model`, `model/adapter`, or `!model` for a model on its way out.
    std::map<std::string, std::set<std::string>> resident;
    std::map<uint64_t, uint32_t> crashesByContent; ///< Crashes by content.
};

std::string encodeHeartbeat(const Heartbeat& beat);
/// @return nothing if the bytes are no beat.
std::optional<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace comfreypier::edge
