/// Coordination layer: decisions as pure functions over plain structs.
///
/// The functions use no sockets, fibers or clocks; the caller passes the current time. Replicated state depends only on
/// the order of records in the log, so every node that replays a stream reaches the same state.
/// A rule marked `Model:` is checked under the same name by a Promela model in spec/.
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
using Time = std::chrono::nanoseconds; ///< Time on the local monotonic clock, or a duration.

// Limits and defaults.

/// Maximum number of writers per stream whose last record number is tracked.
constexpr size_t maxTrackedWriters = 4096;
/// Maximum number of workers that routing compares for one request, in addition to the one that has probably cached its prefix.
constexpr size_t maxRoutingCandidates = 3;
/// Maximum number of entries in the publish history and in the plan history.
constexpr size_t maxHistoryEntries = 200;
/// Maximum number of unresolved copies of one load order. A copy is one attempt to send the order, see `LoadIntent`.
constexpr size_t maxOpenCopies = 3;
/// Number of data centres in which the planner places each declared item, as far as memory allows.
constexpr size_t dataCentresPerItem = 2;

// Verdicts.

/// Result of applying one log entry at its offset.
enum class Verdict {
    Applied,
    Duplicate, ///< The log already contains a record of this writer with the same or a higher number.
    SessionEnded, ///< The writer's session is not live at this offset.
    Void, ///< The entry's precondition does not hold at this offset.
    NotOwner, ///< The writer does not own the worker or role at this offset.
    OverCapacity, ///< The reservations would exceed the worker's memory.
    LastCopy, ///< The unload would remove the last resident copy.
    KeyTaken, ///< The idempotency key is already in use.
    Conflict, ///< The change is based on a version other than the accepted one.
    InvalidFile, ///< The published file is not valid.
    Count
};

/// Returns the name of a verdict in the admin API.
const char* name(Verdict verdict);

// Sessions and views. A view is the set of live sessions at one offset.

/// One live session, as recorded in the log.
struct Session {
    SessionId id = protocol::invalidOffset;
    Offset lastSeen = protocol::invalidOffset; ///< Offset of the newest record of this session.
    protocol::SessionOpen open; ///< The entry that opened the session.
};

/// Last record number of each writer, used to drop duplicate records. Evicts the least recently used writer when full.
struct WriterTable {
    struct Writer {
        uint64_t lastNumber = 0;
        uint64_t lastUsed = 0; ///< Value of `logicalClock` at the writer's newest accepted record.
    };
    std::map<uint64_t, Writer> writers; ///< By `RecordId::high`.
    uint64_t logicalClock = 0; ///< Incremented once per record, also for duplicates.
};

/// Registers record `id`.
/// @return false if the record is a duplicate or older than one that was already accepted. Model: `dropDuplicates`.
bool acceptRecord(WriterTable& table, const RecordId& id);

/// The session holder's own view of its lease.
struct Lease {
    SessionId session = protocol::invalidOffset;
    /// Start of the newest append that was read back while the session was live. The TTL counts from it, because no other node
    /// can have read the record earlier.
    Time confirmedStart { 0 };
    Time ttl { 0 }; ///< Time without a renewal after which other nodes expire the session.
    Time margin { 0 }; ///< The holder stops this long before the TTL ends, to allow for clock drift.
};

/// Returns whether the holder may still act on behalf of its session; false if it has none.
/// Model: `leaseMargin`, `countFromRequestStart`.
bool mayAct(const Lease& lease, Time now);

/// Returns the time at which `mayAct` becomes false.
Time leaseDeadline(const Lease& lease);

/// What this node has observed of another node's session.
struct SessionWatch {
    Offset lastSeen = protocol::invalidOffset; ///< `Session::lastSeen` at the previous call of `updateViewWatch`.
    Time silentFor { 0 }; ///< Time without a new record of the session, counted only while the log is readable.
};

/// Watches of all sessions in the view.
struct ViewWatch {
    std::map<SessionId, SessionWatch> sessions;
    Time lastTick { 0 }; ///< `now` of the previous call of `updateViewWatch`.
};

/// Updates the watches and returns an expiry for each session that has been silent for its TTL. Each expiry names the
/// last record seen of its session, so that a later renewal voids it. Model: `expiryNamesRenewal`.
/// Each further call returns the expiry again until the session ends or renews, or the caller erases its watch.
/// @param now start of the newest read that reached the end of the log.
/// @param logReadable whether all of the observer's reads and appends succeeded since the previous call. If false, the
/// silence of every session is counted from zero again, because renewals may have been impossible or unread.
std::vector<protocol::SessionExpire> updateViewWatch(ViewWatch& watch, const std::map<SessionId, Session>& sessions, Time now, bool logReadable);

/// Key of the planner role, for `rendezvousOwner`. A `PlanChange` applies only if the role's owner wrote it.
constexpr std::string_view plannerRole = "role/planner";
/// Key of the snapshot role, for `rendezvousOwner`. The owner of the role appends the snapshots and drops old idempotency keys.
constexpr std::string_view snapshotRole = "role/snapshot";

/// Returns the session that owns `key` by rendezvous hashing, or `invalidOffset` if there is no live session.
SessionId rendezvousOwner(const std::map<SessionId, Session>& sessions, std::string_view key);

// Ledger: reservations of the workers' memory.

/// Memory reserved for one item on one worker, from the load intent until the engine reports the memory as free.
struct Reservation {
    uint64_t bytes = 0; ///< Size of the item.
    std::set<uint64_t> openCopies; ///< Copies of the load order that may still arrive at the engine.
    uint64_t lastCopy = 0; ///< Copy that arrived last, or 0. A report that lists it was made after its arrival.
    bool loaded = false; ///< The engine reported the item as loaded.
    bool unloading = false; ///< An unload intent was applied. The item takes no further requests.
};

/// One worker, as recorded in the log.
struct Worker {
    protocol::WorkerDeclared declared;
    std::map<std::string, Reservation> reservations; ///< By item key.
    SessionId owner = protocol::invalidOffset; ///< Session that sends the orders; `invalidOffset` if none is live.
    /// Offset at which the owner was assigned. It is the fencing number of the owner's orders.
    Offset ownerSince = protocol::invalidOffset;
};

using Workers = std::map<std::string, Worker>;

/// Returns the memory that is in use or, in the worst case, may become used, in bytes.
uint64_t reservedBytes(const Worker& worker);

/// Counts the workers, other than `excludedWorker`, on which the item with key `item` is loaded and not being unloaded.
size_t countResidentCopies(const Workers& workers, std::string_view item, std::string_view excludedWorker = {});

// The following five functions return `NotOwner` if the session `writer` does not own the worker. All of them but
// `applyLoadIntent` and `applyWorkerRestarted` return `Void` if the item has no reservation.

/// Reserves memory for an item, or adds a copy of the load order to the item's reservation.
/// @return `Void` if the reservation is being unloaded, has another size or has `maxOpenCopies` open copies.
Verdict applyLoadIntent(Workers& workers, const protocol::LoadIntent& intent, SessionId writer);
/// Removes a copy of a load order from the open ones, and records whether the item is loaded unless it is being unloaded.
Verdict applyLoadResolved(Workers& workers, const protocol::LoadResolved& resolved, SessionId writer);
/// Marks an item as being unloaded. Its memory stays reserved.
/// @return `Void` if it is already marked; `LastCopy` if the item is loaded only here and the intent does not allow that.
Verdict applyUnloadIntent(Workers& workers, const protocol::UnloadIntent& intent, SessionId writer);
/// Frees the memory of an item that is being unloaded.
/// @return `Void` if it is not being unloaded, or a copy of its load order may still arrive.
Verdict applyUnloadResolved(Workers& workers, const protocol::UnloadResolved& resolved, SessionId writer);
/// Frees all memory of a worker whose engine has restarted.
/// @return `Void` if the restart was already recorded.
Verdict applyWorkerRestarted(Workers& workers, const protocol::WorkerRestarted& restarted, SessionId writer);

// Actions: requests with an idempotency key, which run at most once.

/// State of one idempotency key.
struct Action {
    uint64_t requestHash = 0; ///< Hash of the request, to detect that the key is reused for a different one.
    SessionId session = protocol::invalidOffset; ///< Session of the node that runs the request.
    Offset begin = protocol::invalidOffset; ///< Offset of the `ActionBegin`.
    uint64_t token = 0; ///< Token of the `ActionBegin`. Only an end or a void with the same token applies.
    std::optional<protocol::ActionEnd> end; ///< Outcome of the request; empty until it is recorded.
};

using Actions = std::map<ActionKey, Action>;

/// Applies a begin, which lies at `offset`. The first begin of a key wins; others get `KeyTaken`.
/// Model: `firstBeginWins`, `noRerunAfterOpenBegin`.
Verdict applyActionBegin(Actions& actions, const protocol::ActionBegin& begin, SessionId writer, Offset offset);
/// Records the outcome of an action.
/// @return `Void` if the key has no begin with the same token, or has an outcome already.
Verdict applyActionEnd(Actions& actions, const protocol::ActionEnd& end);
/// Frees the key of an action that was not run.
/// @return `Void` if the key has no begin with the same token, or has an outcome already.
Verdict applyActionVoid(Actions& actions, const protocol::ActionVoid& voided);
/// Removes all keys whose begin precedes the given offset, whether or not their action has ended.
Verdict applyActionsForget(Actions& actions, const protocol::ActionsForget& forget);

/// How a node handles a request with an idempotency key.
enum class IdempotencyDecision {
    Run, ///< The key is free.
    Recorded, ///< The request has ended; return the recorded outcome.
    Wait, ///< The request is running on a live node.
    Unknown, ///< The node that ran the request ended before it recorded an outcome. Do not run it again.
    KeyReused, ///< The key was used with a different request.
    Count
};

/// Looks up an idempotency key and decides how to handle a request that carries it.
IdempotencyDecision checkIdempotencyKey(const Actions& actions, const std::map<SessionId, Session>& sessions, const ActionKey& key, uint64_t requestHash);

/// Hashes an `Idempotency-Key` header together with the name of the plain service that it was sent to.
ActionKey makeActionKey(std::string_view service, std::string_view headerValue);

// Replay of a region's stream.

/// One accepted change of the plan, kept for `explain` of the admin API.
struct PlanRecord {
    Offset offset = 0;
    protocol::PlanChange change;
};

/// Replayed state of one region's stream.
struct RegionState {
    Offset next = 0; ///< Offset of the next record to apply.
    Offset viewOffset = protocol::invalidOffset; ///< Offset of the newest change of the view.
    WriterTable writers;
    std::map<SessionId, Session> sessions;
    Workers workers;
    std::set<protocol::PlanMove> plan; ///< Desired placement: which worker should hold which item.
    std::vector<PlanRecord> planHistory; ///< Newest changes of the plan. Not part of snapshots.
    Actions actions;
};

/// Applies the record at `offset`. Any record of a live session also renews the session.
/// @return one verdict per entry.
std::vector<Verdict> applyRegionRecord(RegionState& state, Offset offset, const Envelope& envelope);

protocol::Snapshot makeSnapshot(const RegionState& state);
RegionState restoreRegion(const protocol::Snapshot& snapshot);

// Replay of the configuration stream.

/// One accepted service file.
struct AcceptedFile {
    protocol::ConfigPublish publish;
    Offset offset = protocol::invalidOffset; ///< Offset of the publish, which serves as the file's version.
};

/// Verdict on one publish, kept for `history` of the admin API.
struct PublishOutcome {
    Offset offset = 0;
    RecordId id; ///< Id of the record with the publish.
    std::string service;
    std::string author;
    Verdict verdict = Verdict::Applied;
    std::string detail; ///< Reason for a rejection; empty if accepted.
};

/// Replayed state of the configuration stream.
struct ConfigState {
    Offset next = 0; ///< Offset of the next record to apply.
    WriterTable writers;
    std::map<std::string, AcceptedFile> services; ///< By service name.
    protocol::DeploymentSpec deployment; ///< Merged from all accepted files.
    std::vector<PublishOutcome> history; ///< Newest publishes, accepted or not. Not part of snapshots.
};

/// Applies the record at `offset`. A change is accepted if and only if it is based on the accepted version and all files
/// together remain valid.
/// @return one verdict per entry.
std::vector<Verdict> applyConfigRecord(ConfigState& state, Offset offset, const Envelope& envelope);

protocol::Snapshot makeSnapshot(const ConfigState& state);
ConfigState restoreConfig(const protocol::Snapshot& snapshot);

/// Reassembles snapshots from their parts while a stream is read.
struct SnapshotCollector {
    std::map<Offset, std::map<uint32_t, std::string>> parts; ///< Parts of incomplete snapshots, by `upTo` and part number.
    std::optional<protocol::Snapshot> newest; ///< Newest complete snapshot.
};

/// Adds the snapshot parts of one record, and decodes a snapshot once all of its parts are present. Ignores parts with invalid
/// numbers, and snapshots that cannot be decoded.
void collectSnapshotParts(SnapshotCollector& collector, const Envelope& envelope);

/// Encodes a snapshot and splits it into parts that fit into log records.
std::vector<protocol::SnapshotPart> splitSnapshot(const protocol::Snapshot& snapshot);

// Orders to engines.

/// What a worker's owner remembers of the orders it sent. Not replicated, so a new owner starts without it.
struct OrderTracker {
    std::set<uint64_t> unsentCopies; ///< Copies for which this owner decided an intent and which it has not yet sent.
    std::set<uint64_t> undeliverableCopies; ///< Copies that cannot arrive: no byte was sent, or the engine refused them.
    std::map<std::string, Time> reportWaitStart; ///< Start of the wait until a report lists an ordered item, by item key.
    std::map<protocol::PlanMove, Time> unloadSentAt; ///< Time of the last unload order, by worker and item.
};

/// What an owner has to do for one worker in one reconciliation round.
struct OrderRound {
    std::vector<protocol::Entry> append; ///< Ledger entries to append to the log.
    std::vector<protocol::EngineOrder> send; ///< Orders to send; the intents of load orders are already in the log.
};

/// An item that a worker should hold.
struct DesiredItem {
    std::string item; ///< Item key.
    uint64_t bytes = 0;
};

/// Inputs of one reconciliation round for one worker.
struct OrderInputs {
    std::vector<DesiredItem> desired; ///< Base models precede their adapters.
    std::set<std::string> declared; ///< Item keys that the configuration declares. Only other items may lose their last copy.
    const protocol::EngineReport* report = nullptr; ///< Newest report, or null if there is none.
    Time now { 0 };
    /// Time without an effect on the report after which an order is repeated: a load by another copy, an unload as it is.
    Time resendTimeout { 0 };
    size_t maxLoads = 0; ///< Maximum number of items whose load this round may start, to bound the load on the weight store.
};

/// Compares the ledger, the desired items and the engine's report, and decides what to append and send. Must not be called again
/// for the worker before the verdicts on the appended entries were read back, since it would decide the same entries again.
/// @param nextCopy returns a unique number other than 0 for a new copy of a load order.
/// @return an empty round if the worker is unknown.
OrderRound decideOrders(const Workers& workers, const std::string& workerName, OrderTracker& tracker, const OrderInputs& inputs, const std::function<uint64_t()>& nextCopy);

// Placement.

/// Demand for one item, in requests per second. Not used.
struct DemandRate {
    double rate = 0;
};

/// Inputs of one planning round. No pointer may be null.
struct PlanInputs {
    const protocol::DeploymentSpec* deployment = nullptr;
    const Workers* workers = nullptr;
    const std::set<protocol::PlanMove>* plan = nullptr; ///< Current plan.
    std::map<std::string, double> demand; ///< Requests per second, by item name.
    std::set<std::string> avoidedWorkers; ///< Workers that are draining or do not answer.
    double requestRatePerCopy = 1; ///< Requests per second that one copy can answer within the latency target.
    size_t maxMoves = 0; ///< Maximum number of copies that this round adds because of demand.
};

/// Computes the next change of the plan. Reachability of every item takes precedence over demand.
protocol::PlanChange computePlanChange(const PlanInputs& inputs);

// Routing.

/// A node's estimate of one worker's load.
struct WorkerLoad {
    uint32_t running = 0; ///< Requests being processed.
    uint32_t waiting = 0; ///< Requests in the worker's queue.
    uint32_t slots = 1; ///< Maximum number of requests processed at once.
    uint32_t dispatched = 0; ///< Requests that this node has sent since the worker's last report, less those that ended since.
    std::chrono::microseconds firstTokenTime { 0 }; ///< Prefill time of an average request.
    std::chrono::microseconds requestTime { 0 }; ///< Average time for which a request occupies its slot.
    std::chrono::microseconds oneWayLatency { 0 }; ///< Network latency to the worker.
    bool suspectedDown = false;
    bool draining = false;
    bool hasPrefix = false; ///< The worker has probably cached a prefix of the prompt.
};

/// Estimates the time until the first token of a new request.
std::chrono::microseconds estimateFirstTokenTime(const WorkerLoad& load);

/// Returns the index of the candidate with the lowest estimate, or -1 if there is none or all are draining.
/// A worker that is suspected to be down is chosen only if all others are too.
int chooseWorker(std::span<const WorkerLoad> candidates);

// Retries.

/// Token bucket that limits retries to a share of first attempts.
struct RetryBudget {
    double share = 0.1; ///< Retries earned per first attempt.
    double burst = 10; ///< Maximum number of saved retries, and the initial budget of a model.
    double tokens = burst;
};

/// Adds the share earned by one first attempt.
void recordFirstAttempt(RetryBudget& budget);
/// Consumes one retry.
/// @return false if the budget has none left.
bool tryConsumeRetry(RetryBudget& budget);

// Poison requests: request contents that crash endpoints. The daemon uses only `poisonCrashLimit` and keeps its own counts, in
// `GossipTask`.

/// A request content that was running on an endpoint when it crashed.
struct PoisonCandidate {
    uint32_t crashes = 0; ///< Number of crashes of endpoints that were running the content.
    Time lastCrash { 0 };
    bool running = false; ///< Not used.
};

/// Whether a request content may run.
enum class PoisonDecision { Allow,
    Refuse,
    Count };

/// Number of crashes from which on a content is refused.
constexpr uint32_t poisonCrashLimit = 2;

/// Crash counts of the contents that were running on crashed endpoints.
struct PoisonRequests {
    std::unordered_map<uint64_t, PoisonCandidate> candidates; ///< By content hash.
};

/// Maximum number of candidates. The one with the oldest crash is evicted first.
constexpr size_t maxPoisonCandidates = 4096;

/// Refuses a content whose crash count has reached `poisonCrashLimit`.
PoisonDecision checkPoisonRequest(const PoisonRequests& table, uint64_t contentHash);
/// Counts a crash for every content that was running on the crashed endpoint.
void recordCrash(PoisonRequests& table, std::span<const uint64_t> contents, Time now);
/// Removes a content after it was answered completely.
void clearPoisonCandidate(PoisonRequests& table, uint64_t contentHash);
/// Merges the crash count that another node reported: the higher count is kept. `now` counts as the time of the last crash.
void mergeCrashCount(PoisonRequests& table, uint64_t contentHash, uint32_t crashes, Time now);

} // namespace comfreypier::coordination
