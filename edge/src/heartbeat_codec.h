/// Heartbeats between VMs and the member record that each VM publishes in the store, with their encoding.
#pragma once

#include <edge/edge.h>
#include <placement/placement.h>

namespace comfreypier::edge {

/// The record that a VM publishes about itself in the store.
struct Member {
    uint64_t incarnation = 0; ///< Random number drawn at each start.
    transport::Endpoint inner; ///< UDP address for heartbeats.
    transport::Endpoint front; ///< Address for callers.
    std::string dataCentre;
    double capacity = 0; ///< Result of `capacityInCores`.
};

/// A record of the member stream.
struct MemberRecord {
    std::string node;
    std::optional<Member> member; ///< Not set if the member has left, or the record is unreadable.
};

/// Result of a read of the member stream.
struct MemberRecords {
    std::vector<MemberRecord> records;
    bool complete = false; ///< These are all members.
    ownership::LogPosition end; ///< Position up to which the stream was read.
};

std::string encodeMember(const Member& member);
/// @return nothing if the bytes are no valid member record.
std::optional<Member> decodeMember(std::string_view bytes);

/// 32-bit hash that stands for a worker id in heartbeats.
using WorkerKey = uint32_t;

/// Returns the key of a worker id.
WorkerKey workerKey(std::string_view worker);

/// A record of the worker stream that a VM forwards to the other VMs.
struct ForwardedEntry {
    std::string worker;
    std::string value; ///< Empty if the record deletes its key.
    uint64_t offset = 0; ///< Offset of the record in the stream.
    uint64_t number = 0; ///< Counts the records that the sender has forwarded, from 1.
    uint64_t era = ownership::firstEra; ///< Era in which the sender read the record.
    bool fromCopy = false; ///< The record may stem from the copy with which that era began.
    bool isNewWorker = false; ///< It makes the worker known, and nothing else. Not sent.
};

/// A prompt prefix that a VM has just sent to a worker, which now has it in its prefix cache.
struct SentPrefix {
    WorkerKey worker = 0;
    uint64_t hash = 0; ///< Hash of the prefix, see `routing::hashPrefixes`.
    uint32_t tokens = 0; ///< Tokens of the last part of the prefix.
};

/// A missing adapter on a worker or, if `worker` and `adapter` are empty, a model that no worker holds. Also names an adapter
/// in use.
struct MissingItem {
    std::string worker;
    std::string model;
    std::string adapter;
    auto operator<=>(const MissingItem&) const = default;
};

/// Asks another VM to charge a request against the quota of its account.
struct QuotaAsk {
    std::string account;
    uint64_t number = 0; ///< Unique over all VMs and starts.
    double cost = 0;
};

/// Answer to a `QuotaAsk`.
struct QuotaAnswer {
    uint64_t number = 0; ///< That of the ask.
    accounts::ChargeAnswer answer;
};

/// What a VM tells another one about quotas.
struct QuotaMessage {
    std::vector<QuotaAsk> asks;
    std::vector<QuotaAnswer> answers;
    std::vector<accounts::LevelReport> levels;
    std::vector<uint64_t> returns; ///< Numbers of asks whose charge is given back.
    bool isEmpty() const { return this->asks.empty() && this->answers.empty() && this->levels.empty() && this->returns.empty(); }
};

/// The state that a VM sends to the other VMs at regular intervals.
struct Heartbeat {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
    bool ready = false; ///< The VM can serve callers.
    bool draining = false; ///< The VM is shutting down.
    bool overloaded = false; ///< The VM's timers fire late, so callers should use other VMs if they can.
    uint64_t leaseToken = 0; ///< Fencing token while the VM orders workers as lease holder, else 0.
    ownership::LogPosition leasePosition; ///< From the lease holder: position of the newest lease record.
    uint64_t storeEra = 0; ///< Newest era of the store that the VM knows of; 0 from VMs that know none.
    uint64_t configVersion = 0; ///< Version of the configuration in force, or 0.
    /// Sent for an urgent change, or part of a full heartbeat, see `splitHeartbeat`. Loads, outcomes and demand are left out and stay as they
    /// are. For an urgent change it carries only the missing items and, from the lease holder, the newest changes of `resident`.
    bool partial = false;
    bool readsWorkers = false; ///< The VM has recently read the worker stream and forwards its new records.
    bool readsConfiguration = false; ///< The VM has recently read the configuration as well, and passes it on.
    std::optional<Member> member; ///< The VM's member record, for some time after it has been published.
    std::vector<ForwardedEntry> forwardedEntries; ///< Records of the worker stream, each in `forwardRepeats` heartbeats.
    uint64_t forwardedCount = 0; ///< Number of records that the VM has forwarded to its group.
    /// Data centre whose VMs' loads and outcomes the heartbeat sums up; empty if it tells of one VM. Of a summary only `node`,
    /// `incarnation`, `sequence`, `partial`, `loads`, `outcomes`, `sentPrefixes`, `leaveReports` and `relayed` are used.
    std::string summaryOf;
    bool relayed = false; ///< A summary that a VM of the receiver's own group passes on.
    std::map<WorkerKey, routing::WorkerLoad> loads; ///< Load from this VM, by worker. Workers without any are left out.
    std::map<WorkerKey, routing::RecentOutcomes> outcomes; ///< Of workers that recently failed requests. `at` is left out.
    std::vector<SentPrefix> sentPrefixes;
    std::map<std::string, double> demand; ///< By model, in worker seconds per second.
    std::vector<MissingItem> missingItems; ///< What requests on this VM wait for.
    std::vector<MissingItem> usedAdapters; ///< Adapters used by requests since the last full heartbeat.
    /// From the lease holder, by worker: `model`, `model/adapter`, `!model` for a model that is being unloaded, or
    /// `routing::orderInProgressMark`.
    std::map<std::string, std::set<std::string>> resident;
    std::vector<routing::LimitReport> limitReports; ///< Limits that workers name, and those that they no longer name.
    std::vector<uint64_t> leaveReports; ///< Workers that have said that they leave, as results of `routing::workerStart`.
    std::vector<routing::CrashReport> crashReports; ///< Crashes of workers and what requests there had in common.
    /// If it is not empty, only it, `node` and `incarnation` are set, and the message says nothing about the VM's state.
    QuotaMessage quota;
};

std::string encodeHeartbeat(const Heartbeat& heartbeat);
/// @return nothing if the bytes are no valid heartbeat.
std::optional<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace comfreypier::edge
