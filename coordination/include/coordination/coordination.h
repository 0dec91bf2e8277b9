/// Coordination layer: the decisions, as pure functions over plain structs.
///
/// Nothing here knows of sockets, fibers or clocks; the time is passed in. What is agreed follows from
/// the order of records in the log alone, so every node that replays a stream reaches the same state.
/// Rules marked `Model:` have a counterpart of that name in spec/.
#pragma once

#include <protocol/protocol.h>
#include <set>
#include <unordered_map>

namespace comfreypier::coordination {

using protocol::ActionKey;
using protocol::Envelope;
using protocol::Offset;
using protocol::RecordId;
using protocol::SessionId;
using Time = std::chrono::nanoseconds; ///< Monotonic time of the node itself.

// ---------------------------------------------------------------- limits and defaults

/// Writers whose last record number is remembered in one stream.
constexpr size_t maxTrackedWriters = 4096;
/// Workers that routing compares for one request, besides the one with the cached prefix.
constexpr size_t maxRoutingCandidates = 3;
/// Accepted changes that `history` can show.
constexpr size_t maxHistoryEntries = 200;
/// Copies of one load order that may be open at a time.
constexpr size_t maxOpenCopies = 3;
/// Data centres in which each declared item is kept while memory allows.
constexpr size_t dataCentresPerItem = 2;

// ---------------------------------------------------------------- verdicts

/// What the total order says of one entry.
enum class Verdict {
    Applied,
    Duplicate, ///< A record of this writer with this or a later number stands before it.
    SessionEnded, ///< The writer's session is not live at this offset.
    Void, ///< The entry's condition does not hold at this offset.
    NotOwner, ///< The writer does not own the worker at this offset.
    OverCapacity, ///< The load would overcommit the worker's memory.
    LastCopy, ///< The unload would remove the last resident copy.
    KeyTaken, ///< The idempotency key is in use.
    Conflict, ///< The change was made against another version.
    InvalidFile, ///< The published file is not valid.
    Count
};

const char* name(Verdict verdict);

// ---------------------------------------------------------------- sessions and views

/// One live session as the log shows it.
struct Session {
    SessionId id = protocol::invalidOffset;
    Offset lastSeen = protocol::invalidOffset; ///< Newest record of this session.
    protocol::SessionOpen open;
};

/// Last record number of each writer, oldest writer forgotten first.
struct WriterTable {
    struct Writer {
        uint64_t lastNumber = 0;
        uint64_t lastUsed = 0;
    };
    std::map<uint64_t, Writer> writers;
    uint64_t logicalClock = 0;
};

/// Notes record `id` and tells whether it is new. Model: `dropRepeats`.
bool acceptRecord(WriterTable& table, const RecordId& id);

/// What a session's holder knows of its own lease.
struct Lease {
    SessionId session = protocol::invalidOffset;
    Time confirmedStart { 0 }; ///< Start of the newest append that was read back while the session was live.
    Time ttl { 0 };
    Time margin { 0 };
};

/// Tells whether the holder may still act for its session. Model: `lapseMargin`, `countFromStart`.
bool mayAct(const Lease& lease, Time now);

/// Time until which `mayAct` holds.
Time leaseDeadline(const Lease& lease);

/// What one node has seen of another's session.
struct SessionWatch {
    Offset lastSeen = protocol::invalidOffset;
    Time silentFor { 0 }; ///< Observed silence while the log could be read.
};

/// Watches all sessions of a view.
struct ViewWatch {
    std::map<SessionId, SessionWatch> sessions;
    Time lastTick { 0 };
};

/// Advances the watches and returns the sessions to expire, with the record each was last seen at.
/// @param now start of the newest read that reached the log's end.
/// @param readable no read or append of the observer failed since the last call; otherwise all silence counts from now on.
/// Model: `silenceWhileReadable`, `expiryNamesRenewal`.
std::vector<protocol::SessionExpire> updateViewWatch(ViewWatch& watch, const std::map<SessionId, Session>& sessions, Time now, bool readable);

/// Key under which the planner role is owned.
constexpr std::string_view plannerRole = "role/planner";
/// Key under which the snapshot role is owned.
constexpr std::string_view snapshotRole = "role/snapshot";

/// Returns the session that owns `key`, by rendezvous hashing, or `invalidOffset` in an empty view.
SessionId rendezvousOwner(const std::map<SessionId, Session>& sessions, std::string_view key);

// ---------------------------------------------------------------- ledger of workers' memory

/// Memory of one item on one worker, from the intent until the engine shows that it is free.
struct Reservation {
    uint64_t bytes = 0;
    std::set<uint64_t> openCopies; ///< Copies of the load order that may still arrive.
    uint64_t lastCopy = 0; ///< Copy that arrived last; a report that lists it is newer than its arrival.
    bool loaded = false;
    bool unloading = false;
};

/// One worker as the log shows it.
struct Worker {
    protocol::WorkerDeclared declared;
    std::map<std::string, Reservation> reservations; ///< By item key.
    SessionId owner = protocol::invalidOffset;
    Offset ownerSince = protocol::invalidOffset; ///< Fencing number of the owner's orders.
};

using Workers = std::map<std::string, Worker>;

/// Bytes that are, or in the worst case may come to be, in use.
uint64_t reservedBytes(const Worker& worker);

/// Counts workers other than `except` that hold `item` loaded and not unloading.
size_t countResidentCopies(const Workers& workers, std::string_view item, std::string_view except = {});

Verdict applyLoadIntent(Workers& workers, const protocol::LoadIntent& intent, SessionId writer);
Verdict applyLoadResolved(Workers& workers, const protocol::LoadResolved& resolved, SessionId writer);
Verdict applyUnloadIntent(Workers& workers, const protocol::UnloadIntent& intent, SessionId writer);
Verdict applyUnloadResolved(Workers& workers, const protocol::UnloadResolved& resolved, SessionId writer);
Verdict applyWorkerRestarted(Workers& workers, const protocol::WorkerRestarted& restarted, SessionId writer);

// ---------------------------------------------------------------- requests that may not be repeated

/// One idempotency key.
struct Action {
    uint64_t requestHash = 0;
    SessionId session = protocol::invalidOffset; ///< Session of the node that runs or ran it.
    Offset begin = protocol::invalidOffset;
    uint64_t token = 0; ///< Token of the begin.
    std::optional<protocol::ActionEnd> end;
};

using Actions = std::map<ActionKey, Action>;

/// The first begin of a key wins. Model: `firstBeginWins`, `noRerunAfterOpenBegin`.
Verdict applyActionBegin(Actions& actions, const protocol::ActionBegin& begin, SessionId writer, Offset offset);
Verdict applyActionEnd(Actions& actions, const protocol::ActionEnd& end);
Verdict applyActionVoid(Actions& actions, const protocol::ActionVoid& taken);
Verdict applyActionsForget(Actions& actions, const protocol::ActionsForget& forget);

/// What a node does with a request whose key is in the log already.
enum class IdempotencyDecision {
    Run, ///< The key is free.
    Recorded, ///< Give the recorded outcome.
    Wait, ///< It runs on a live node.
    Unknown, ///< Its node died before the end; not run again.
    KeyReused, ///< The key came with another request.
    Count
};

IdempotencyDecision checkIdempotencyKey(const Actions& actions, const std::map<SessionId, Session>& sessions, const ActionKey& key, uint64_t requestHash);

/// Key of an `Idempotency-Key` header sent to one plain service.
ActionKey makeActionKey(std::string_view service, std::string_view headerValue);

// ---------------------------------------------------------------- a region's stream

/// One accepted change of the plan, for `explain`.
struct PlanRecord {
    Offset offset = 0;
    protocol::PlanChange change;
};

/// Replayed state of one region's stream.
struct RegionState {
    Offset next = 0; ///< First offset that is not applied yet.
    Offset viewOffset = protocol::invalidOffset; ///< Newest change of the set of live sessions.
    WriterTable writers;
    std::map<SessionId, Session> sessions;
    Workers workers;
    std::set<protocol::PlanMove> plan; ///< Which worker is to hold which item.
    std::vector<PlanRecord> planHistory; ///< Newest changes; not part of snapshots.
    Actions actions;
};

/// Applies the record at `offset` and returns one verdict for each entry.
std::vector<Verdict> applyRegionRecord(RegionState& state, Offset offset, const Envelope& envelope);

protocol::Snapshot makeSnapshot(const RegionState& state);
RegionState restoreRegion(const protocol::Snapshot& snapshot);

// ---------------------------------------------------------------- the configuration stream

/// One accepted service file.
struct AcceptedFile {
    protocol::ConfigPublish publish;
    Offset offset = protocol::invalidOffset;
};

/// Verdict on one publish, for `history`.
struct PublishOutcome {
    Offset offset = 0;
    RecordId id;
    std::string service;
    std::string author;
    Verdict verdict = Verdict::Applied;
    std::string detail;
};

/// Replayed state of the configuration stream.
struct ConfigState {
    Offset next = 0;
    WriterTable writers;
    std::map<std::string, AcceptedFile> services;
    protocol::DeploymentSpec deployment; ///< Merged from the accepted files.
    std::vector<PublishOutcome> history;
};

/// Applies the record at `offset`. A change is accepted exactly if it was made against the accepted version
/// and the files together stay valid.
std::vector<Verdict> applyConfigRecord(ConfigState& state, Offset offset, const Envelope& envelope);

protocol::Snapshot makeSnapshot(const ConfigState& state);
ConfigState restoreConfig(const protocol::Snapshot& snapshot);

/// Collects the parts of snapshots while a stream is read.
struct SnapshotCollector {
    std::map<Offset, std::map<uint32_t, std::string>> parts;
    std::optional<protocol::Snapshot> newest;
};

/// Adds the snapshot parts of one record.
void collectSnapshotParts(SnapshotCollector& collector, const Envelope& envelope);

/// Cuts an encoded snapshot into parts for the log.
std::vector<protocol::SnapshotPart> splitSnapshot(const protocol::Snapshot& snapshot);

// ---------------------------------------------------------------- orders to engines

/// What an owner remembers of the orders it sent itself; lost when it dies.
struct OrderTracker {
    std::set<uint64_t> unsentCopies; ///< Copies whose intent this owner appended and which it has not sent.
    std::set<uint64_t> undeliverableCopies; ///< Copies that can't arrive: no byte left, or the engine refused them.
    std::map<std::string, Time> reportWaitStart; ///< By item: start of the wait for a report of an open copy.
    std::map<protocol::PlanMove, Time> unloadSentAt;
};

/// What an owner has to do for one worker.
struct OrderRound {
    std::vector<protocol::Entry> append; ///< Ledger entries to put into the log.
    std::vector<protocol::EngineOrder> send; ///< Orders whose intent is in the log.
};

/// What one worker is to hold.
struct DesiredItem {
    std::string item;
    uint64_t bytes = 0;
};

/// Inputs of one round for one worker.
struct OrderInputs {
    std::vector<DesiredItem> desired; ///< Base models stand before their adapters.
    std::set<std::string> declared; ///< Item keys that the configuration still declares.
    const protocol::EngineReport* report = nullptr; ///< Newest report, or null.
    Time now { 0 };
    Time resendTimeout { 0 }; ///< Silence after which another copy is announced.
    size_t maxLoads = 0; ///< Loads that the store's budget allows now.
};

/// Compares the ledger, the plan and the engine's report.
/// @param nextCopy makes a number for a new copy.
OrderRound decideOrders(const Workers& workers, const std::string& workerName, OrderTracker& memory, const OrderInputs& inputs, const std::function<uint64_t()>& nextCopy);

// ---------------------------------------------------------------- placement

/// Demand for one item, in requests a second.
struct DemandRate {
    double rate = 0;
};

/// Inputs of one planning round.
struct PlanInputs {
    const protocol::DeploymentSpec* deployment = nullptr;
    const Workers* workers = nullptr;
    const std::set<protocol::PlanMove>* plan = nullptr;
    std::map<std::string, double> demand; ///< Requests a second, by item name.
    std::set<std::string> avoidedWorkers; ///< Workers that leave or do not answer.
    double requestRatePerCopy = 1; ///< Requests a second that one copy answers within target.
    size_t maxMoves = 0; ///< Optional moves in this round.
};

/// Computes the next changes of the plan. Reachability goes first, then demand.
protocol::PlanChange computePlanChange(const PlanInputs& inputs);

// ---------------------------------------------------------------- routing

/// What a node knows of one worker's load.
struct WorkerLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 1;
    uint32_t dispatched = 0; ///< Own requests that no report covers yet.
    std::chrono::microseconds firstTokenTime { 0 };
    std::chrono::microseconds requestTime { 0 }; ///< Usual time a request holds its slot.
    std::chrono::microseconds oneWayLatency { 0 }; ///< One way.
    bool suspectedDown = false;
    bool draining = false;
    bool hasPrefix = false;
};

/// Expected time until the first token of a new request.
std::chrono::microseconds estimateFirstTokenTime(const WorkerLoad& load);

/// Returns the index of the better candidate, or -1 if none may take the request.
int chooseWorker(std::span<const WorkerLoad> candidates);

// ---------------------------------------------------------------- retries

/// Bounds retries to a share of first tries.
struct RetryBudget {
    double share = 0.1;
    double burst = 10; ///< Most retries saved up; also what a quiet model starts with.
    double tokens = burst;
};

/// Notes a first try.
void recordFirstAttempt(RetryBudget& budget);
/// Takes one retry from the budget if there is one.
bool tryConsumeRetry(RetryBudget& budget);

// ---------------------------------------------------------------- suspects

/// A request content seen on crashed endpoints.
struct PoisonCandidate {
    uint32_t crashes = 0;
    Time lastCrash { 0 };
    bool running = false; ///< It runs alone now.
};

/// What to do with a request of some content.
enum class PoisonDecision { Allow,
    Refuse,
    Count };

/// Crashes after which a content is refused.
constexpr uint32_t poisonCrashLimit = 2;

struct PoisonRequests {
    std::unordered_map<uint64_t, PoisonCandidate> candidates; ///< By content hash.
};

/// Most contents that are kept under suspicion.
constexpr size_t maxPoisonCandidates = 4096;

PoisonDecision checkPoisonRequest(const PoisonRequests& table, uint64_t contentHash);
/// Notes that the endpoint crashed while these contents ran on it.
void recordCrash(PoisonRequests& table, std::span<const uint64_t> contents, Time now);
/// Notes that a content was answered whole.
void clearPoisonCandidate(PoisonRequests& table, uint64_t contentHash);
/// Takes over another node's count.
void mergeCrashCount(PoisonRequests& table, uint64_t contentHash, uint32_t crashes, Time now);

} // namespace comfreypier::coordination
