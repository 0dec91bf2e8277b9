/// Routing: which route a request takes, which worker answers it, and when it is refused or repeated.
///
/// Free of fibers, sockets and clocks: every function takes the time from its caller. The load it answers: bursts of
/// long prompts that share their beginnings, on few workers with batches, paged prompt memory and several entry VMs.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <transport/transport.h>
#include <unordered_map>
#include <vector>

namespace comfreypier::routing {

/// Monotonic time.
using Time = std::chrono::nanoseconds;
using std::chrono::milliseconds;

// ---------------------------------------------------------------- limits and defaults

/// Prompt tokens that a worker of unknown speed is taken to read a millisecond; corrected by each answer.
constexpr double defaultPrefillTokensPerMs = 30;
/// Usual time from sending a request to the first token besides the prefill: network, set-up and one batch step.
constexpr milliseconds firstTokenOverhead { 15 };
/// Longer batch step for each stream that runs on the worker. From the engines' published step time a slot.
constexpr std::chrono::microseconds stepTimePerStream { 400 };
/// Weight of a new sample in a worker's speed average.
constexpr double speedSampleWeight = 0.2;
/// Weight of an answer that another VM had: a worker may fail for some callers only.
constexpr double peerOutcomeWeight = 0.5;
/// Answers without a failure that are assumed for each worker, so that one failure does not count as a sure one.
constexpr double priorSuccesses = 0.5;
/// Age of the other VMs' news up to which all may choose alike: above it they would all take the same worker meanwhile.
constexpr Time maxFreshUpdateAge = milliseconds { 200 };
/// Time after which half of what is known of a worker's failures and slowness is forgotten.
constexpr Time estimateHalfLife = std::chrono::seconds { 4 };
/// A worker whose calls fail to connect is left alone for this long, doubled each time up to the most.
constexpr milliseconds minConnectBackoff { 400 };
constexpr milliseconds maxConnectBackoff { 4000 };
/// A worker that said it is full is left alone for this long.
constexpr milliseconds fullBackoff { 60 };
/// Share of a worker's prompt memory that running requests may fill: above it the engine preempts streams.
constexpr double maxKvCacheFill = 0.92;
/// Share of a worker's prompt memory that is taken to hold kept parts.
constexpr double prefixCacheShare = 0.85;
/// Extra cost of reading a prompt part again, beyond its time: it takes the worker from other requests.
constexpr double prefillCostWeight = 1.6;
/// Spread that makes all VMs prefer the same worker for a prompt part that nobody keeps yet.
constexpr milliseconds maxAffinityCost { 40 };
/// Cost of leaving the data centre, beyond the measured distance: traffic between data centres is paid for.
constexpr milliseconds crossDataCentreCost { 50 };
/// Share of the first tries and the fixed number of repeats that this VM uses of what the deployment allows.
constexpr double retryBudgetShare = 0.7;
/// A worker whose running streams are all silent for this long gets no new requests: it has stopped or is cut off.
constexpr milliseconds stallTimeout { 400 };
/// A stream is backed up at another worker if its prompt has at most this many tokens for each expected output token:
/// copying the memory of a long prompt costs more than the few events that it may save.
constexpr double maxBackupPromptRatio = 12;
/// Crashes after which a request content is refused.
constexpr uint32_t poisonCrashLimit = 2;

/// Announced for a worker that loads no adapters now because it carries out a model order.
constexpr const char* orderInProgressMark = "*";

// ---------------------------------------------------------------- configuration

/// One service that a route leads to, with its share of the route's requests.
struct RouteTarget {
    std::string service;
    uint32_t weight = 1;
};

/// One route of the operators' configuration.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::vector<RouteTarget> targets;
    bool streaming = false; ///< Answers are event streams.
    bool idempotent = false; ///< Requests may run more than once.
    bool resumable = false; ///< A stream may go on at another worker.
    milliseconds timeout { 0 }; ///< Longest time a caller is kept waiting; 0 is without limit.
    milliseconds targetLatency { 0 }; ///< Time to the whole answer, or to a stream's first event.
    milliseconds targetGap { 0 }; ///< Longest pause between events.
    uint32_t priority = 0; ///< 0 is the most urgent.
    uint32_t maxAttempts = 1; ///< Workers that may be handed one request.
};

/// One model that a service's workers can hold.
struct ModelSpec {
    std::string name;
    double weightsMegabytes = 0;
    double adapterMegabytes = 0;
    uint32_t adapterCount = 0; ///< Named a1, a2 and so on.
    milliseconds storeLoadTime { 0 }; ///< Load time from the weight store,
    milliseconds diskLoadTime { 0 }; ///< and from the worker's own disk.
};

/// What all model workers of a service have in common.
struct EngineSpec {
    uint32_t slots = 1;
    double kvCacheTokens = 0; ///< Shared by running requests and kept prompt parts.
    double weightsMegabytes = 0; ///< For models and adapters together.
    uint32_t adapterSlots = 0;
    double storeLoadsPerSecond = 0; ///< Over all workers of the service.
    bool supportsBackups = false; ///< Workers can copy a run's memory to another worker while it runs.
    std::vector<ModelSpec> models;
};

/// One service of the configuration.
struct Service {
    std::string name;
    uint32_t connectionLimit = 0; ///< Connections that a worker accepts from all callers; 0 is without limit.
    std::optional<EngineSpec> engine; ///< Present if its workers serve models.
};

/// Bounds on what a caller may send.
struct CallerLimits {
    uint32_t maxHeaderBytes = transport::defaultHeaderLimit;
    uint64_t maxBodyBytes = transport::defaultBodyLimit;
    milliseconds headerTimeout = transport::defaultReadTimeout;
    milliseconds idleTimeout = transport::defaultIdleTimeout;
};

/// The operators' configuration as a whole.
struct Configuration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    CallerLimits limits;
};

/// Returns the route with the longest prefix of `path` among those of `host`, or null.
/// @param host value of the Host field; a port is ignored.
const Route* findRoute(const Configuration& configuration, std::string_view host, std::string_view path);

/// Picks one of the route's services by weight. The same `key` picks the same service.
const Service* pickService(const Configuration& configuration, const Route& route, std::string_view key);

/// Returns the model called `name` of a service, or null.
const ModelSpec* findModel(const Service& service, std::string_view name);

// ---------------------------------------------------------------- workers

/// One model that a worker holds, with its adapters.
struct ResidentModel {
    std::string name;
    uint64_t version = 0;
    std::set<std::string> adapters;
    bool operator==(const ResidentModel&) const = default;
};

/// What a worker last published of itself.
struct WorkerEntry {
    std::string id;
    std::string service;
    transport::Endpoint address;
    std::string dataCentre;
    int64_t startedAt = 0; ///< Unix milliseconds of the worker's start.
    uint32_t slots = 1;
    bool draining = false;
    std::vector<ResidentModel> models;
    std::set<std::string> onDisk; ///< Models whose weights lie on the worker's disk or in its host memory.
    bool operator==(const WorkerEntry&) const = default;
};

// ---------------------------------------------------------------- requests

/// One part of a prompt. Requests that name the same parts in the same order share what a worker keeps of them.
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/// What the choice of a worker needs to know of a request.
struct RequestShape {
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the base model.
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; ///< Expected, or the most.
    std::vector<PromptPart> parts;
    uint64_t contentHash = 0; ///< Of method, path and body.
};

/// Hash of the prompt up to and including each part, with model and adapter.
std::vector<uint64_t> hashPrefixes(const RequestShape& shape);

/// 64-bit hash of text.
uint64_t hashText(std::string_view text, uint64_t seed = 0);

// ---------------------------------------------------------------- kept prompt parts

/// Prompt beginnings that a worker is believed to keep, least recently used first.
class PrefixCache {
public:
    /// Notes that a worker has read a prompt up to `chain`.
    /// @param tokens tokens of the last part.
    /// @param capacity tokens that are believed to be kept at most.
    void add(uint64_t chain, uint32_t tokens, double capacity);
    /// Tells whether the prompt up to `chain` is believed to be kept.
    bool contains(uint64_t chain) const { return this->entries.contains(chain); }
    void clear();

private:
    struct Entry {
        uint32_t tokens = 0;
        std::list<uint64_t>::iterator position;
    };
    std::list<uint64_t> order;
    std::unordered_map<uint64_t, Entry> entries;
    double total = 0;
};

/// Tokens at the beginning of the prompt that `cache` keeps.
uint32_t cachedTokens(const PrefixCache& cache, const RequestShape& shape, const std::vector<uint64_t>& chains);

// ---------------------------------------------------------------- choice of a worker

/// Requests at a worker, as their sender knows them.
struct WorkerLoad {
    double prefillTokens = 0; ///< Prompt tokens still to be read before the first token.
    double memoryTokens = 0; ///< Prompt and output tokens that the requests occupy.
    uint32_t requests = 0; ///< Sent and not yet answered whole.
    bool operator==(const WorkerLoad&) const = default;
};

WorkerLoad operator+(const WorkerLoad& a, const WorkerLoad& b);

/// Answers of a worker in the last seconds; both counts fade by half in each `beliefHalfLife`.
struct RecentOutcomes {
    double failures = 0;
    double total = 0; ///< Failed ones included.
    Time at { 0 }; ///< To which the two are faded.
};

/// Returns `outcomes` faded to `now`.
RecentOutcomes decayedTo(const RecentOutcomes& outcomes, Time now);

/// Time in which a worker of usual speed reads prompt tokens.
std::chrono::duration<double> prefillTime(double tokens);

/// What is believed of one worker.
struct Worker {
    WorkerEntry entry;
    WorkerLoad ownLoad; ///< Requests of this VM.
    std::map<std::string, WorkerLoad> peerLoads; ///< Requests of other VMs, by VM.
    PrefixCache prefixCache;
    /// What the holder of the lease announced: `model`, `model/adapter`, `!model` for a model on its way out, or `orderingMark`.
    std::set<std::string> announced;
    double slowness = 1; ///< Measured time over expected time.
    Time slownessUpdatedAt { 0 }; ///< Time of its last correction.
    RecentOutcomes outcomes; ///< Of this VM's requests.
    std::map<std::string, RecentOutcomes> peerOutcomes; ///< Of other VMs' requests, by VM; only of those that saw failures.
    Time avoidUntil { 0 }; ///< It was full or could not be reached.
    uint32_t connectFailures = 0; ///< In a row.
    uint32_t runningStreams = 0; ///< Streams of this VM that have had their first event.
    Time lastByteAt { 0 }; ///< When one of them last had an event.
};

/// Tells whether the worker is believed to hold a model.
bool holdsModel(const Worker& worker, const std::string& model);
/// Tells whether the worker is believed to hold the adapter of a request; true if it needs none.
bool holdsAdapter(const Worker& worker, const RequestShape& shape);

/// All known load of a worker.
WorkerLoad totalLoad(const Worker& worker);

/// Share of requests that the worker is expected to fail, from this VM's answers and what others tell.
double expectedFailureRate(const Worker& worker, Time now);

/// Notes the outcome of a request for later choices.
/// @param expected predicted time to the first byte; 0 leaves the speed as it is.
/// @param measured time to the first byte.
void recordAnswer(Worker& worker, bool failed, Time expected, Time measured, Time now);
/// Notes that a connection could not be opened.
void recordUnreachable(Worker& worker, Time now);
/// Notes that the worker refused a request for lack of room.
void recordFull(Worker& worker, Time now);

/// Why a worker may not take a request.
enum class BlockReason {
    None,
    NoWorker, ///< No worker of the service is known, or all leave.
    Unreachable, ///< All were unreachable or full a moment ago.
    NoModel, ///< No worker holds the model.
    NoAdapter, ///< Workers hold the model, none the adapter.
    NoCapacity, ///< The prompt memory or the slots of all are taken.
    Count
};

const char* name(BlockReason blockReason);

/// Outcome of a choice.
struct Choice {
    Worker* worker = nullptr; ///< Set if `obstacle` is `None`.
    BlockReason blockReason = BlockReason::None;
    Worker* preferredWorker = nullptr; ///< For `NoAdapter`: the worker that should load it.
    Time timeToFirstByte { 0 }; ///< Expected time to the first token, or to the whole answer of a plain service.
    uint32_t cachedTokens = 0; ///< Prompt tokens that the worker is believed to keep.
    Time timeToCapacity { 0 }; ///< For `NoRoom`: expected time until a place is free.
};

/// Inputs of a choice.
struct ChoiceInputs {
    const Service* service = nullptr;
    const RequestShape* shape = nullptr;
    const std::vector<uint64_t>* prefixHashes = nullptr; ///< `hashPrefixes` of the shape.
    std::string_view dataCentre; ///< Of this VM.
    const std::set<std::string>* excluded = nullptr; ///< Workers that failed this request.
    milliseconds targetLatency { 0 };
    milliseconds crossDataCentreRoundTrip { 0 }; ///< Round trip to another data centre.
    Time peerUpdateAge { 0 }; ///< Usual age of what other VMs tell of their load.
    uint64_t requestSeed = 0; ///< Different for each request.
    Time now { 0 };
};

/// Chooses among `workers` the one with the least expected time to the first byte, weighed with what it costs others.
Choice chooseWorker(const std::vector<Worker*>& workers, const ChoiceInputs& inputs);

/// Tells whether a stream that has been silent for `patience` should go on elsewhere: only if the worker sends nothing on this
/// VM's other streams either. On a busy worker single streams pause for longer than that, and moving them adds to its load.
bool isWorkerSilent(const Worker& worker, Time patience, Time now);

/// Tells whether a stream should be copied to a second worker while it runs.
bool isBackupWorthwhile(const Service& service, const RequestShape& shape);

/// Chooses the worker that keeps a copy of a run: it must hold the model; the one with the most free prompt memory in the
/// primary's data centre goes first. @return null if there is none.
Worker* chooseBackup(const std::vector<Worker*>& workers, const ChoiceInputs& inputs, const WorkerEntry& primary);

// ---------------------------------------------------------------- addresses for callers

/// Share of a data centre's VMs that the directory names at least.
constexpr double minAddressShare = 0.5;
/// Addresses below which those of other data centres are named too.
constexpr size_t minAddresses = 2;

/// A VM that callers could be sent to.
struct AddressCandidate {
    transport::Endpoint endpoint;
    bool overloaded = false;
};

/// Chooses the addresses that the directory names. It answers bursts that bring single weak VMs to their limit: those are left
/// out while at least half of their data centre keeps up.
/// @param near VMs of the caller's data centre that take requests. @param far those of the others.
std::vector<transport::Endpoint> chooseAddresses(const std::vector<AddressCandidate>& near, const std::vector<AddressCandidate>& far);

// ---------------------------------------------------------------- waiting and refusing

/// Share of a caller's patience that its request waits for a worker at most. What is left serves its return elsewhere.
constexpr double maxWaitShare = 0.6;
/// Least and most of a Retry-After: most obstacles pass soon, and callers honour a third of the time they have left at most.
constexpr milliseconds minRetryAfter { 200 };
constexpr milliseconds maxRetryAfter { 2000 };

/// Whether a request that no worker can take now waits or is refused.
struct AdmissionDecision {
    bool admitted = false;
    milliseconds retryAfter { 0 }; ///< If it is refused: when there may be room.
};

/// Decides for a request that meets an obstacle. It waits while the obstacle can pass before the caller gives up, and for at
/// most `waitShare` of the caller's patience; what can't be served in time is refused at once.
/// @param model the model that it needs, or null.
/// @param waited time since the request came.
/// @param patience time from then in which the caller expects the first byte.
AdmissionDecision decideWait(const Choice& choice, const ModelSpec* model, Time waited, Time patience);

/// Decides for a request that a worker can take: refuses it at once if the first byte would come too late for its caller.
/// @param left time until the caller gives up.
AdmissionDecision decideSend(const Choice& choice, Time left);

// ---------------------------------------------------------------- repeats

/// Bounds repeats of requests to this VM's part of what the deployment allows in a sliding window.
class RetryBudget {
public:
    /// @param ratio repeats allowed for each request of the window.
    /// @param slack further repeats allowed in the window over all VMs.
    RetryBudget(double ratio, double slack, Time window);
    /// Notes a first try.
    void recordRequest(Time now);
    /// Tells whether one repeat is allowed now. @param vms as below.
    bool allowsRetry(Time now, uint32_t vms);
    /// Takes one repeat if the limit allows it.
    /// @param vms number of VMs that share the slack, at least 1.
    bool tryAcquire(Time now, uint32_t vms);

private:
    void forget(Time now);
    double ratio;
    double slack;
    Time window;
    std::deque<Time> firsts;
    std::deque<Time> repeats;
};

// ---------------------------------------------------------------- requests that crash workers

/// Contents that were running on workers which crashed.
class PoisonRequests {
public:
    /// Notes that a request broke off on a worker; it is suspect once that worker proves dead.
    void recordBroken(const std::string& worker, uint64_t contentHash, Time now);
    /// Notes that a worker crashed: what broke off on it shortly before gets a mark.
    void recordCrash(const std::string& worker, Time now);
    /// Takes over a count from another VM.
    void merge(uint64_t contentHash, uint32_t crashes);
    /// Tells whether a content has crashed `crashLimit` workers.
    bool isPoison(uint64_t contentHash) const;
    const std::map<uint64_t, uint32_t>& crashCounts() const { return this->crashes; }

private:
    struct Broken {
        std::string worker;
        uint64_t contentHash = 0;
        Time at { 0 };
    };
    std::deque<Broken> broken;
    std::map<uint64_t, uint32_t> crashes;
};

} // namespace comfreypier::routing
