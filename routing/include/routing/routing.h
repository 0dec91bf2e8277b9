/// Routing: finds the route of a request, chooses the worker that serves it, and decides on waiting, refusal and retries.
///
/// Uses no fibers, sockets, clocks or locks: the caller passes the current time, and guards shared objects with its own mutex.
/// Designed for bursts of long prompts with common prefixes, on few workers with batching and a paged KV cache, behind several
/// entry VMs.
#pragma once

#include <accounts/accounts.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <transport/transport.h>
#include <unordered_map>
#include <vector>

namespace comfreypier::routing {

/// Monotonic point in time, or a duration.
using Time = std::chrono::nanoseconds;
using std::chrono::milliseconds;

/// Prefill speed that is assumed for every worker, in prompt tokens per millisecond. `Worker::slowness` corrects it from the
/// measured times to the first byte.
constexpr double defaultPrefillTokensPerMs = 30;
/// Expected time from sending a request to its first token, without the prefill: network, set-up and one batch step.
constexpr milliseconds firstTokenOverhead { 15 };
/// Expected increase of the batch step time for each request that runs on the worker: the engines' published step time per slot.
constexpr std::chrono::microseconds stepTimePerStream { 400 };
/// Weight of a new sample in the moving average of a worker's slowness.
constexpr double slownessSampleWeight = 0.2;
/// Weight of outcomes that other VMs report, relative to this VM's own: a worker may fail for some callers only.
constexpr double peerOutcomeWeight = 0.5;
/// Successful answers that are assumed for each worker, so that a single failure does not give a failure rate of 1.
constexpr double priorSuccesses = 0.5;
/// Maximum age of peer updates at which VMs choose without a random spread. With older updates all VMs would choose the same
/// worker before they learn of each other's requests.
constexpr Time maxFreshUpdateAge = milliseconds { 200 };
/// Half-life of the exponential decay of a worker's outcome counts to 0 and of its slowness to 1.
constexpr Time estimateHalfLife = std::chrono::seconds { 4 };
/// Backoff after a worker could not be reached, see `recordUnreachable`. It starts at the minimum and doubles with each further
/// failure up to the maximum.
constexpr milliseconds minConnectBackoff { 400 };
constexpr milliseconds maxConnectBackoff { 4000 };
/// Backoff after a worker refused a request because it is full.
constexpr milliseconds fullBackoff { 60 };
/// Longest time for which a worker that names a time gets no requests. After it a request finds out what the worker says now.
constexpr std::chrono::minutes maxWorkerHold { 10 };
/// Share of a worker's KV cache that running requests may fill: above it the engine preempts streams.
constexpr double maxKvCacheFill = 0.92;
/// Share of a worker's KV cache that is assumed to hold cached prefixes: the capacity that callers pass to `PrefixCache::add`.
constexpr double prefixCacheShare = 0.85;
/// Factor on the prefill time of a request's own uncached tokens in the cost of a worker: its prefill also delays the worker's
/// other requests.
constexpr double prefillCostWeight = 1.6;
/// Maximum cost that depends on the hash of worker and prefix. It makes all VMs prefer the same worker for a prefix that no
/// worker has cached yet.
constexpr milliseconds maxAffinityCost { 40 };
/// Cost of a worker in another data centre, in addition to the round trip: traffic between data centres is paid for.
constexpr milliseconds crossDataCentreCost { 50 };
/// Share of its allowed retries that a VM uses. It applies to both parts of a `RetryBudget`, the ratio and the slack.
constexpr double retryBudgetShare = 0.7;
/// A VM sends no new requests to a worker after all of the VM's running streams there have been silent for this long: the
/// worker has stopped or is unreachable.
constexpr milliseconds stallTimeout { 400 };
/// Maximum number of prompt tokens for each expected output token of a stream that is backed up at another worker. Copying
/// the KV cache of a long prompt costs more than the few events that the copy may save.
constexpr double maxBackupPromptRatio = 12;
/// Number of worker crashes without an answer in between after which requests with the same content are refused.
constexpr uint32_t poisonCrashLimit = 2;
/// The same for requests with the same part of a prompt. Higher, because many sound requests may share a part.
constexpr uint32_t poisonPartCrashLimit = 3;
/// Minimum time between the first and the last of these crashes. Workers that fail together are not the fault of a request.
constexpr milliseconds minPoisonCrashSpread { 200 };
/// Time after the newest crash for which a cause is held off, less if workers have answered it before. After it requests pass again;
/// one more crash holds it off again.
constexpr std::chrono::minutes poisonHoldTime { 60 };

/// Item in `Worker::announced` of a worker that executes a model order and therefore loads no adapters.
constexpr const char* orderInProgressMark = "*";

/// A service that a route sends requests to, with its weight in the traffic split.
struct RouteTarget {
    std::string service; ///< Name of the service.
    uint32_t weight = 1; ///< Its share of the requests is this weight divided by the sum over all targets.
};

/// A route of the operators' configuration.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::vector<RouteTarget> targets;
    bool streaming = false; ///< Responses are event streams.
    bool idempotent = false; ///< Requests may run more than once.
    bool resumable = false; ///< A broken stream may resume on another worker.
    milliseconds timeout { 0 }; ///< Time limit of a request; 0 if the route sets none.
    milliseconds targetLatency { 0 }; ///< Target time to the whole response, or to a stream's first event; 0 if not configured.
    milliseconds targetGap { 0 }; ///< Target for the longest pause between two events; 0 if not configured.
    uint32_t priority = 0; ///< 0 is the most urgent.
    uint32_t maxAttempts = 1; ///< Maximum number of attempts in which a worker may have run the request, at least 1.
    bool open = false; ///< Takes requests without a key, if the configuration has client accounts.
};

/// A model that the workers of a service can hold.
struct ModelSpec {
    std::string name;
    double weightsMegabytes = 0; ///< Worker memory that the weights occupy.
    double adapterMegabytes = 0; ///< Worker memory that each adapter occupies.
    uint32_t adapterCount = 0; ///< The adapters are named a1, a2 and so on.
    milliseconds storeLoadTime { 0 }; ///< Load time from the weight store.
    milliseconds diskLoadTime { 0 }; ///< Load time from the worker's own disk.
};

/// Properties that all model workers of a service have in common.
struct EngineSpec {
    uint32_t slots = 1; ///< Maximum number of requests that a worker runs at once.
    double kvCacheTokens = 0; ///< KV cache size, shared by running requests and cached prefixes.
    double weightsMegabytes = 0; ///< Memory for the weights of models and adapters together.
    uint32_t adapterSlots = 0; ///< Maximum number of adapters that a worker holds.
    double storeLoadsPerSecond = 0; ///< Maximum rate of loads from the weight store, over all workers of the service.
    bool supportsBackups = false; ///< Workers can copy the KV cache of a running request to another worker.
    std::vector<ModelSpec> models;
};

/// A service of the configuration.
struct Service {
    std::string name;
    /// Maximum number of connections that a worker accepts from all VMs together; 0 is unlimited. VMs don't enforce it.
    uint32_t connectionLimit = 0;
    std::optional<EngineSpec> engine; ///< Set if the workers serve models.
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
    uint32_t maxHeaderBytes = transport::defaultMaxHeaderBytes;
    uint64_t maxBodyBytes = transport::defaultMaxBodyBytes;
    milliseconds headerTimeout = transport::defaultReadTimeout; ///< Together with `idleTimeout` the time limit for sending a request.
    milliseconds idleTimeout = transport::defaultIdleTimeout; ///< Time after which a connection without a request is closed.
};

/// The complete configuration that the operators publish.
struct Configuration {
    uint64_t version = 0; ///< A VM replaces its configuration only by one with a higher version.
    std::vector<Route> routes;
    std::map<std::string, Service> services; ///< By name.
    CallerLimits limits;
    /// Client accounts, without their keys. Nothing if the configuration has no such list: then callers need no key.
    std::optional<std::vector<accounts::ClientAccount>> accounts;
    std::shared_ptr<const accounts::KeyTable> keys; ///< Set if `accounts` is.
};

/// How grave a finding of `checkConfiguration` is.
enum class FindingLevel {
    Warning, ///< The configuration works, but an entry has no effect or hardly the wanted one.
    Error, ///< Requests fail because of it, it can't be read, entries contradict each other, or a key can be guessed.
    Count
};

/// Something that is wrong with a configuration.
struct ConfigurationFinding {
    FindingLevel level = FindingLevel::Error;
    std::string entry; ///< Kind and name of the entry, for example `route orders`; empty for the whole configuration.
    std::string text; ///< What is wrong, without the entry.
    bool operator==(const ConfigurationFinding&) const = default;
};

/// Checks a configuration for entries that can never match, names that don't exist and limits that contradict each other.
std::vector<ConfigurationFinding> checkConfiguration(const Configuration& configuration);

/// How an entry differs between two configurations.
struct ConfigurationChange {
    enum class Kind {
        Added,
        Removed,
        Changed,
        Count
    };
    Kind kind = Kind::Changed;
    std::string entry; ///< As in `ConfigurationFinding`.
    std::string text; ///< The fields that differ, with both values; empty unless the entry was changed.
    bool operator==(const ConfigurationChange&) const = default;
};

/// Returns the name of the kind, for example `added`.
const char* name(ConfigurationChange::Kind kind);

/// Compares two configurations, entry by entry. Keys of accounts are not compared.
std::vector<ConfigurationChange> compareConfigurations(const Configuration& before, const Configuration& after);

/// Returns the route of `host` with the longest path prefix that matches `path`, or null if there is none.
/// @param host value of the Host header; case and port are ignored.
const Route* findRoute(const Configuration& configuration, std::string_view host, std::string_view path);

/// Picks one of the route's services by weight. With the same targets the same `key` always picks the same service.
/// @param key id of the request.
/// @return null if all weights are 0 or the picked service is not configured.
const Service* pickService(const Configuration& configuration, const Route& route, std::string_view key);

/// Returns the model `name` of a service, or null if the service has no such model.
const ModelSpec* findModel(const Service& service, std::string_view name);

/// A model that a worker holds, with its adapters.
struct ResidentModel {
    std::string name;
    uint64_t version = 0; ///< As the worker reports it; not used for the choice of a worker.
    std::set<std::string> adapters; ///< Names without the model.
    bool operator==(const ResidentModel&) const = default;
};

/// Entry that a worker publishes about itself.
struct WorkerEntry {
    std::string id;
    std::string service; ///< Name of the service.
    transport::Endpoint address; ///< Where the worker accepts requests and orders.
    std::string dataCentre;
    int64_t startedAt = 0; ///< Start time of the worker, in Unix milliseconds. A different one shows that it has restarted.
    uint32_t slots = 1; ///< Maximum number of requests that it runs at once. For model workers `EngineSpec::slots` is used.
    bool draining = false; ///< It gets no new requests.
    std::vector<ResidentModel> models;
    std::set<std::string> onDisk; ///< Models whose weights are on the worker's disk or in its host memory.
    bool operator==(const WorkerEntry&) const = default;
};

/// A part of a prompt. Requests that begin with the same parts in the same order share a cached prefix.
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/// Properties of a request that the choice of a worker depends on.
struct RequestShape {
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the base model.
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; ///< Expected number, or the maximum if that is unknown; 0 if neither is known.
    std::vector<PromptPart> parts; ///< Empty if the caller does not name the parts of its prompt.
    uint64_t contentHash = 0; ///< Hash of method, path and body.
};

/// Returns for each part of the prompt the hash of model, adapter and all parts up to and including it.
std::vector<uint64_t> hashPrefixes(const RequestShape& shape);

/// Returns a 64-bit hash of `text` that is the same on all VMs.
uint64_t hashText(std::string_view text, uint64_t seed = 0);

/// Estimate of the prompt prefixes that a worker has in its KV cache, with LRU eviction.
class PrefixCache {
public:
    /// Adds a prefix that the worker has prefilled, or marks it as most recently used.
    /// @param prefixHash one of the results of `hashPrefixes`.
    /// @param tokens number of tokens of the prefix's last part; ignored if the prefix is cached already.
    /// @param capacity maximum number of cached tokens; the least recently used prefixes are evicted above it.
    void add(uint64_t prefixHash, uint32_t tokens, double capacity);
    /// Returns true if the prefix is estimated to be cached.
    bool contains(uint64_t prefixHash) const { return this->entries.contains(prefixHash); }
    /// Removes all prefixes: a worker that restarts loses its KV cache.
    void clear();

private:
    struct Entry {
        uint32_t tokens = 0; ///< Of the prefix's last part.
        std::list<uint64_t>::iterator lruPosition;
    };
    std::list<uint64_t> lruOrder; ///< Least recently used first.
    std::unordered_map<uint64_t, Entry> entries;
    double totalTokens = 0; ///< Sum over all entries.
};

/// Returns the length of the longest prefix of the prompt in `cache`, in tokens. It is at most `promptTokens`, even if the parts
/// add up to more.
/// @param prefixHashes result of `hashPrefixes` for `shape`.
uint32_t cachedTokens(const PrefixCache& cache, const RequestShape& shape, const std::vector<uint64_t>& prefixHashes);

/// Load of a worker by the requests of one VM, as that VM estimates it.
struct WorkerLoad {
    double prefillTokens = 0; ///< Uncached prompt tokens of requests that have not received their first token.
    double memoryTokens = 0; ///< KV cache that the requests occupy: uncached prompt tokens and expected output tokens.
    uint32_t requests = 0; ///< Requests that were sent and are not completely answered yet.
    bool operator==(const WorkerLoad&) const = default;
};

WorkerLoad operator+(const WorkerLoad& a, const WorkerLoad& b);

/// Counts of recent request outcomes at a worker, with an exponential decay of half-life `estimateHalfLife`.
struct RecentOutcomes {
    double failures = 0;
    double total = 0; ///< Failures included.
    Time at { 0 }; ///< Time to which both counts are decayed.
};

/// Returns `outcomes` decayed to `now`. The counts are unchanged if `now` is before `outcomes.at`.
RecentOutcomes decayedTo(const RecentOutcomes& outcomes, Time now);

/// Returns the time in which a worker of default speed prefills `tokens` prompt tokens.
std::chrono::duration<double> prefillTime(double tokens);

/// State of a worker as this VM estimates it. `edge::Fleet` guards it with its mutex.
struct Worker {
    WorkerEntry entry;
    WorkerLoad ownLoad; ///< Load by requests of this VM.
    std::map<std::string, WorkerLoad> peerLoads; ///< Load by requests of other VMs, by VM.
    PrefixCache prefixCache;
    /// Items that the lease holder announced: `model`, `model/adapter`, `!model` for a model that is being unloaded, or
    /// `orderInProgressMark`.
    std::set<std::string> announced;
    /// Moving average of the measured time to the first byte over the time expected at default speed: 2 is half the default speed.
    double slowness = 1;
    Time slownessUpdatedAt { 0 }; ///< Time of the last sample in `slowness`.
    RecentOutcomes outcomes; ///< Outcomes of this VM's requests.
    /// Outcomes of other VMs' requests, by VM. VMs that report no recent failures have no entry.
    std::map<std::string, RecentOutcomes> peerOutcomes;
    Time avoidUntil { 0 }; ///< No requests are sent before this time: the worker was full or unreachable.
    uint32_t connectFailures = 0; ///< Number of consecutive calls of `recordUnreachable`, without a request that reached the worker.
    Time limitedUntil { 0 }; ///< When this VM may send the next request, because of the limit that the worker names.
    Time heldUntil { 0 }; ///< When the time ends that the worker named in a refusal.
    bool leaving = false; ///< The worker has said in an answer that it leaves. It counts as draining, whatever its entry says.
    uint32_t runningStreams = 0; ///< Number of open streams of this VM that have received their first event.
    Time lastByteAt { 0 }; ///< When any of these streams last received data. Outdated while there are none.
};

/// Returns true if the worker is estimated to hold `model`, from its entry and the lease holder's announcements. A model that is
/// being unloaded does not count.
bool holdsModel(const Worker& worker, const std::string& model);
/// Returns true if the worker is estimated to hold the adapter of the request, or if the request needs none. Does not check the
/// model.
bool holdsAdapter(const Worker& worker, const RequestShape& shape);

/// Returns the load of a worker by the requests of all VMs.
WorkerLoad totalLoad(const Worker& worker);

/// Returns the expected share of requests that fail at the worker, from 0 to 1, from the outcomes at this VM and at its peers.
double expectedFailureRate(const Worker& worker, Time now);

/// Records the outcome of a request that reached the worker and, if it succeeded, updates the worker's slowness.
/// @param expected `Choice::timeToFirstByte` of the request; 0 leaves the slowness unchanged.
/// @param measured measured time to the first byte, or to the whole response of a plain service.
void recordAnswer(Worker& worker, bool failed, Time expected, Time measured, Time now);
/// Records that the worker could not be reached at its address: no connection, or another worker answered there. Counts it as a
/// failure and starts a backoff, which doubles with each further call.
void recordUnreachable(Worker& worker, Time now);
/// Records that the worker refused a request because it is full, and starts a backoff. It does not count as a failure.
void recordFull(Worker& worker, Time now);
/// Returns when the time ends that a worker names in a refusal.
/// @param delay longer ones count as `maxWorkerHold`.
Time holdEnd(Time delay, Time now);
/// Records that the worker turned a request away and named the time after which it wants the next one. Of several the latest counts.
void recordHold(Worker& worker, Time delay, Time now);

/// Returns whether the process of an entry may have made a statement that came from its worker at `saidAt`: it had started by then. The clocks of
/// VMs and workers may differ by seconds, so this decides only about statements that end by themselves.
/// @param saidAt wall-clock time since the Unix epoch.
bool mayHaveSaid(const WorkerEntry& worker, milliseconds saidAt);

/// Why a worker may be sent no request now, whatever the request is.
enum class WorkerBlock {
    None, ///< It may be sent requests.
    Leaving, ///< Its entry is draining, or it has said in an answer that it leaves.
    Held, ///< It has named a time until which it wants no request of this VM.
    Limited, ///< This VM's share of the limit that it names is used up.
    Unreachable, ///< In backoff after it was unreachable.
    Full, ///< In backoff after it was full.
    Stalled, ///< All of this VM's streams there are silent.
    Count ///< Number of values, for arrays.
};

/// Returns the name of `block`, for example `leaving`.
const char* name(WorkerBlock block);

/// Result of `checkWorker`.
struct WorkerAvailability {
    WorkerBlock block = WorkerBlock::None;
    Time until { 0 }; ///< When the block ends, as far as it is known; `Time::max()` if it is not.
};

/// Decides whether this VM may send a worker a request now. Of several blocks the one that ends last is returned.
WorkerAvailability checkWorker(const Worker& worker, Time now);

/// Returns whether a worker takes requests of this VM now, by what it has said. Asked again before a request is written, as backoffs and load,
/// which don't count, were considered in the choice.
bool wantsRequests(const Worker& worker, Time now);

/// Returns whether a run may resume now from its backup copy at a worker. Backoffs and silence, unlike what the worker has said, don't
/// count: it has the copy, and without that the stream is cut.
bool mayResumeAt(const Worker& worker, Time now);

/// Why no worker can take a request.
enum class BlockReason {
    None, ///< A worker can take it.
    NoWorker, ///< No worker of the service is known, or all are draining or leaving.
    Unreachable, ///< All workers are excluded, stalled, or in backoff after they were unreachable or full.
    NoModel, ///< No reachable worker holds the model.
    NoAdapter, ///< Reachable workers hold the model, but none holds the adapter.
    NoCapacity, ///< The KV cache or the slots of all suitable workers are occupied.
    Limited, ///< All suitable workers take no request of this VM now; the first to do so again names a limit.
    Held, ///< All suitable workers take no request of this VM now; the first to do so again has named the time.
    Count ///< Number of values, for arrays.
};

/// Returns the name of `reason`, for example `no_worker`.
const char* name(BlockReason reason);

/// Result of `chooseWorker`.
struct Choice {
    Worker* worker = nullptr; ///< Set if `blockReason` is `None`, null otherwise.
    BlockReason blockReason = BlockReason::None;
    Worker* preferredWorker = nullptr; ///< Set for `NoAdapter`: the worker that should load the adapter.
    /// Set for `None`: expected time to the first token, or to the whole response of a plain service.
    Time timeToFirstByte { 0 };
    uint32_t cachedTokens = 0; ///< Set for `None`: estimated number of prompt tokens in the prefix cache of `worker`.
    /// Set for `NoCapacity`, `Limited` and `Held`: expected time until the first worker has capacity for the request or takes it.
    Time timeToCapacity { 0 };
    uint32_t fullWorkers = 0; ///< Set for `NoCapacity`: number of suitable workers, none of which has capacity.
    /// Workers that hold the model but may be sent no request now, at most `maxPassedOver`.
    std::vector<std::pair<std::string, WorkerBlock>> passedOver;
};

/// Maximum number of workers in `Choice::passedOver`.
constexpr size_t maxPassedOver = 8;

/// Inputs of `chooseWorker` and `chooseBackup`. `chooseBackup` uses only `service`, `shape` and `now`.
struct ChoiceInputs {
    const Service* service = nullptr;
    const RequestShape* shape = nullptr;
    const std::vector<uint64_t>* prefixHashes = nullptr; ///< Result of `hashPrefixes` for `shape`.
    std::string_view dataCentre; ///< Data centre of this VM.
    const std::set<std::string>* excluded = nullptr; ///< Ids of workers that failed this request; null if there are none.
    milliseconds targetLatency { 0 }; ///< Target latency of the route. Expected failures cost a multiple of it.
    milliseconds crossDataCentreRoundTrip { 0 }; ///< Round-trip time to another data centre.
    Time peerUpdateAge { 0 }; ///< Interval of the heartbeats in which other VMs report their load.
    uint64_t choiceSeed = 0; ///< Differs for each choice and VM; seeds the random spread of choices.
    Time now { 0 };
};

/// Chooses the worker with the lowest cost: the expected time to the first byte plus penalties for the delay of other requests,
/// expected failures and traffic between data centres. For models further costs are added: one makes all VMs prefer the same few workers
/// for a prefix (`maxAffinityCost`, more if some worker has the long shared parts of the prompt), one grows with the requests that the prompt's
/// prefill would delay, and one spreads choices from old peer updates (`maxFreshUpdateAge`).
/// @param workers not null. Workers of other services are left out.
Choice chooseWorker(const std::vector<Worker*>& workers, const ChoiceInputs& inputs);

/// Returns true if none of this VM's streams at the worker received data within `timeout`. Meaningful only while one of them is
/// open. Only if the result is true should a stream that has been silent for `timeout` resume on another worker. On a busy worker
/// single streams pause for longer than that, and moving them adds to the load.
bool isWorkerSilent(const Worker& worker, Time timeout, Time now);

/// Returns true if a stream should be copied to a second worker while it runs: the workers support it, the expected output is
/// known, and the prompt is short compared to it (`maxBackupPromptRatio`).
bool isBackupWorthwhile(const Service& service, const RequestShape& shape);

/// Chooses the worker that receives a copy of a running request. It must hold the model; the one whose KV cache is occupied least
/// is preferred. A missing adapter counts like a full KV cache, another data centre than that of `primary` like half of one.
/// @param workers workers of `inputs.service`, which must have an engine.
/// @param primary worker that runs the request.
/// @return null if there is none.
Worker* chooseBackup(const std::vector<Worker*>& workers, const ChoiceInputs& inputs, const WorkerEntry& primary);

/// Minimum share of a data centre's VMs that must not be overloaded for the directory to leave out those that are.
constexpr double minAddressShare = 0.5;
/// Number of addresses below which the directory also returns those of VMs in other data centres.
constexpr size_t minAddresses = 2;

/// A VM whose address the directory may return to callers.
struct AddressCandidate {
    transport::Endpoint endpoint; ///< Address for callers.
    bool overloaded = false;
};

/// Chooses the addresses that the directory returns. Bursts can overload single weak VMs; those are left out while at least half
/// of the VMs in their data centre are not overloaded. Overloaded VMs of other data centres are returned only if there are no
/// others at all.
/// @param local VMs of the caller's data centre that accept requests.
/// @param remote VMs of the other data centres that accept requests.
std::vector<transport::Endpoint> chooseAddresses(const std::vector<AddressCandidate>& local, const std::vector<AddressCandidate>& remote);

/// Maximum share of a caller's timeout that its request waits for a worker. The rest lets the caller retry at another VM.
constexpr double maxWaitShare = 0.6;
/// Bounds of Retry-After. The upper bound is low because most block reasons pass quickly, and callers wait for at most a third of
/// their remaining time in any case.
constexpr milliseconds minRetryAfter { 200 };
constexpr milliseconds maxRetryAfter { 2000 };

/// Whether a request is admitted (to wait for a worker or to be sent to one) or refused.
struct AdmissionDecision {
    bool admitted = false;
    milliseconds retryAfter { 0 }; ///< Set on refusal: time until there may be capacity.
};

/// Decides whether a blocked request waits. It waits while the block reason can pass before the caller gives up, for at most
/// `maxWaitShare` of the caller's timeout. A request that can't be served in time is refused at once, and so is one for which all workers
/// have named a time, unless it ends sooner than the caller could come back.
/// @param choice result of `chooseWorker` for the request, with the reason why it is blocked.
/// @param model model that the request needs, or null if its service has no such model. Only used for `BlockReason::NoModel`.
/// @param waited time since the request arrived.
/// @param timeout time from the request's arrival within which the caller expects the first byte.
AdmissionDecision decideWait(const Choice& choice, const ModelSpec* model, Time waited, Time timeout);

/// Spreads the return of callers that are refused until the same moment, so that they don't all come back in it.
/// @param earliest time until there may be room.
/// @param seed differs for each request.
/// @return `earliest` or later: by up to half of it, within the bounds of Retry-After.
milliseconds spreadRetryAfter(milliseconds earliest, uint64_t seed);

/// Decides whether a request is sent to the chosen worker. Refuses it if the first byte would come after the caller gave up; the
/// caller is then told to retry after half of the expected time to the first byte, within the bounds of Retry-After.
/// @param choice result of `chooseWorker` for the request, with `BlockReason::None`.
/// @param remaining time until the caller gives up.
AdmissionDecision decideSend(const Choice& choice, Time remaining);

/// What is known of a run whose stream is silent.
enum class RunEvidence {
    Running, ///< Its worker answers and has the run, or may have preempted it.
    Ended, ///< Its worker has ended, or no longer has the run.
    Unreachable, ///< No connection to its worker can be opened.
    NoAnswer, ///< Its worker accepts connections and does not answer.
    Count
};

/// Returns the name of the evidence for the log.
const char* name(RunEvidence evidence);

/// Longest time for which a sound worker that does not answer is expected to be silent.
constexpr milliseconds maxWorkerPause { 1500 };
/// Time that a stream needs to go on at another worker before its caller leaves.
constexpr milliseconds resumeReserve { 500 };

/// Returns the time without an event after which a silent stream tries to go on at another worker. A worker that still has the run goes
/// on with it sooner or later; one that only does not answer may be pausing.
/// @param patience silence after which the caller leaves.
/// @return nothing if the stream stays where it is.
std::optional<Time> silenceBeforeResume(RunEvidence evidence, Time patience);

/// Time after the start of a graceful shutdown for which a VM still takes requests: some callers do not know yet that it leaves.
constexpr milliseconds drainServeTime { 3000 };
/// Part of the grace period that is reserved for the end of the process: at most this time, and at most this share.
constexpr milliseconds maxShutdownReserve { 400 };
constexpr double shutdownReserveShare = 0.1;
/// Factor on the expected time of an answer: a request that is refused moves to another VM at once, one that is cut off has run in vain.
constexpr double drainTimeMargin = 1.25;

/// Course of a graceful shutdown.
struct DrainSchedule {
    Time refuseAt { 0 }; ///< From this time on no request is sent to a worker for the first time.
    Time closeAt { 0 }; ///< New connections are no longer accepted.
    Time endAt { 0 }; ///< Open requests get their final answer.
    Time exitAt { 0 }; ///< Answers that are still being written are cut off.
};

/// Plans a graceful shutdown.
/// @param grace time from the start to the end of the process.
DrainSchedule planDrain(Time startedAt, milliseconds grace);

/// Decides whether a VM that shuts down sends a request that no worker may have run, or keeps it waiting. A request that is not expected
/// to end in time is refused, so that its caller turns to another VM at once.
/// @param expected expected time to the end of the answer; 0 if it is not known.
/// @param remaining time until the caller or the route gives up: then the request ends in any case.
bool maySendWhileDraining(const DrainSchedule& schedule, Time expected, Time remaining, Time now);

/// Measures how long streams take from their first event to their end, for each output token that was expected. The measured time
/// corrects expectations that are too high or too low as well as the speed of the workers.
class StreamPace {
public:
    /// Records a stream that was answered whole. Without expected tokens it tells nothing.
    void record(uint32_t expectedTokens, Time duration);
    /// Returns the expected time from the first event to the end; 0 if none was recorded or the number of tokens is not known.
    Time expectedTime(uint32_t expectedTokens) const;

private:
    double nanosecondsPerToken = 0; ///< Moving average; 0 before the first record.
};

/// Limits the retries of this VM to its share of what the deployment allows in a sliding window. The shares of all VMs together
/// stay within the limit while VMs restart, join, leave or lose sight of each other.
class RetryBudget {
public:
    /// @param ratio retries allowed for each request of this VM in the window.
    /// @param slack additional retries allowed in the window, shared by all VMs.
    /// @param window length of the sliding window.
    /// @param slackFrom time from which this VM uses its share of the slack. A VM that restarts does not know how much of its
    /// share it has used before; after a whole window that no longer counts.
    RetryBudget(double ratio, double slack, Time window, Time slackFrom);
    /// Records the first attempt of a request.
    void recordRequest(Time now);
    /// Returns true if a retry is allowed now, without using it up.
    /// @param memberCount number of VMs that share the slack, reachable or not; 0 if unknown, which allows no use of the slack.
    bool allowsRetry(Time now, uint32_t memberCount);
    /// Uses up one retry if it is allowed. @return whether it was allowed.
    /// @param memberCount as for `allowsRetry`.
    bool tryAcquire(Time now, uint32_t memberCount);

private:
    struct CountSample {
        Time at { 0 };
        uint32_t count = 0;
    };

    /// Removes the times that are older than the window.
    void removeExpired(Time now);
    /// Returns the highest member count of the window: a VM that has left may have used its share shortly before.
    uint32_t highestMemberCount(uint32_t memberCount, Time now);
    double ratio;
    double slack;
    Time window;
    Time slackFrom;
    std::deque<Time> requestTimes; ///< First attempts in the window, oldest first.
    std::deque<Time> retryTimes; ///< Retries in the window, oldest first.
    std::deque<CountSample> memberCounts; ///< Counts in the window that no later one exceeds, oldest first.
};

/// Share of a worker's limit that the VMs use together. The rest covers changes of the membership that some VMs learn late.
constexpr double workerLimitShare = 0.9;
/// Number of VMs that share the limit of a worker, in addition to one for each request per second. Each of them may be one request ahead
/// of its share, so that many VMs would be a burst.
constexpr uint32_t minLimitSharers = 4;
/// Lower limits count as this one, in requests per second: without a request no VM would learn that the limit is over.
constexpr double minWorkerLimit = 0.1;

/// What a worker said about its limit.
struct LimitReport {
    uint64_t worker = 0; ///< Result of `workerStart`.
    double limit = 0; ///< Requests per second from all VMs together; 0 if the worker no longer names a limit.
    Time age { 0 }; ///< Time since the answer that said so.
};

/// Returns a hash of a worker's id and start.
uint64_t workerStart(const WorkerEntry& worker);

/// Divides the limits that workers name among the VMs. A few VMs, the same in the view of each, send to a limited worker, each at an equal
/// share of the rate. No VM uses a share before it knows the members, and none relies on news of what others have sent.
class WorkerLimits {
public:
    /// @param node name of this VM.
    explicit WorkerLimits(std::string node);
    /// Sets the VMs that share the limits, reachable or not, with this one if it is one of them. Until the first call this VM sends nothing
    /// to limited workers.
    void setMembers(std::vector<std::string> names);
    /// Records what an answer said.
    /// @param worker result of `workerStart`.
    /// @param limit requests per second; nothing if the answer named no limit.
    /// @return whether the worker's limit is another one now.
    bool recordAnswer(uint64_t worker, std::optional<double> limit, Time now);
    /// Records that the entry of a worker tells of another start of it than the entry before. A limit that the later process may have named,
    /// before its entry, holds for it.
    /// @param wallNow wall-clock time since the Unix epoch.
    void recordRestart(const WorkerEntry& before, const WorkerEntry& after, Time now, milliseconds wallNow);
    /// Applies reports of another VM. The newest answer counts, and the lower limit if it is not clear which one is newer.
    /// @param relay whether `takeReports` returns what was new to this VM.
    /// @return the workers whose limits are other ones now.
    std::vector<uint64_t> merge(const std::vector<LimitReport>& reports, bool relay, Time now);
    /// Returns the reports for the next heartbeat: recent changes, and in turn the limits in force.
    std::vector<LimitReport> takeReports(Time now);
    /// Returns when this VM may send the next request to the worker; not after `now` if it may at once. For a VM that has no share it
    /// is the time in which others may send one.
    Time nextSendAt(uint64_t worker, Time now) const;
    /// Records that a request is sent to the worker.
    void recordSend(uint64_t worker, Time now);
    /// Returns whether no worker is known to have named a limit lately.
    bool isEmpty() const { return this->limits.empty(); }
    /// Returns the limit of a worker that is in force, or 0.
    double limitOf(uint64_t worker) const;

private:
    /// What is known of one worker.
    struct Limit {
        double limit = 0; ///< 0 if the worker no longer names one.
        Time answeredAt { 0 }; ///< When the newest known answer arrived.
        int repeats = 0; ///< Number of heartbeats that still carry it.
        uint32_t sharers = 0; ///< Number of VMs that share the limit.
        bool shared = false; ///< This VM is one of them.
        double tokens = 0; ///< Requests that this VM may send at `tokensAt`; at most 1.
        Time tokensAt { 0 };
    };

    /// Sets what an answer at `answeredAt` said.
    /// @param value requests per second, or 0 for no limit.
    /// @return whether the limit is another one now.
    bool set(uint64_t worker, double value, Time answeredAt, int repeats, Time now);
    /// Chooses the sharers of a limit.
    void updateShare(uint64_t worker, Limit& limit) const;
    /// Returns the rate at which this VM may send, in requests per second.
    static double rate(const Limit& limit);
    /// Returns the tokens at `now`.
    static double tokensAt(const Limit& limit, Time now);

    std::string node;
    std::vector<std::string> members;
    std::map<uint64_t, Limit> limits; ///< By worker.
    uint64_t lastSentInTurn = 0; ///< The next heartbeat continues after this worker.
};

/// What an answer shows about the worker that sent it.
struct AnswerSource {
    unsigned status = 0;
    bool matchesRequest = true; ///< It carries the id of the request that was sent, or none: not that of another one.
    std::string worker; ///< Id of the worker that it names as its sender. Empty if it names none.
    std::optional<int64_t> startedAt; ///< Start of that worker that it names, see `WorkerEntry::startedAt`.
    bool signatureDue = false; ///< Answers of this kind carry the worker's signature.
    bool signedByWorker = false;
};

/// Returns the id of the worker, of whichever start, whose statement an answer is; nothing if it is none. Another worker may have the address by
/// now; only a rejection that names its sender tells the two apart.
/// @param called the worker that was called.
std::optional<std::string> statementSender(const AnswerSource& answer, const WorkerEntry& called);
/// Returns whether an answer to a call to `worker` is a statement of it.
bool isStatementOf(const AnswerSource& answer, const WorkerEntry& worker);

/// Time for which a worker that leaves is remembered after its entry was last known. An entry may come back.
constexpr std::chrono::minutes leaveMemoryTime { 10 };
/// Maximum number of leaving workers that one heartbeat names.
constexpr size_t maxLeaveReports = 64;

/// Remembers which workers have said that they leave, by their start: a worker that has started again does not leave. All VMs tell each
/// other of those whose entries they know, so that a VM that starts later learns of them too.
///
/// A VM may know a worker by the entry of an earlier start, and most answers don't name theirs. A start that follows one which is said to leave
/// is therefore in doubt, and counts as leaving, until the worker was asked.
class LeavingWorkers {
public:
    /// Records that a worker, or another VM, said so.
    /// @param worker result of `workerStart`.
    /// @return whether it is news.
    bool record(uint64_t worker, Time now);
    /// Records that a worker said so in an answer.
    /// @param called its entry with which it was called.
    /// @param namedStart start that the answer names; nothing if it names none.
    /// @param known its entry that is known now; null if there is none.
    /// @return whether it is news.
    bool recordAnswer(const WorkerEntry& called, std::optional<int64_t> namedStart, const WorkerEntry* known, Time now);
    /// Records that the entry of a worker tells of another start of it than the entry before.
    void recordRestart(const WorkerEntry& before, const WorkerEntry& after);
    /// Ends the doubt whether a start leaves: it was asked, and what it said is recorded.
    void settle(uint64_t worker);
    /// Returns whether it is not clear if a start or one before it has said so.
    bool isInDoubt(uint64_t worker) const { return this->doubts.contains(worker); }
    /// Returns whether a worker has said so, or may have.
    bool isLeaving(uint64_t worker) const { return this->lastKnownAt.contains(worker) || this->doubts.contains(worker); }
    bool isEmpty() const { return this->lastKnownAt.empty() && this->earlierStarts.empty() && this->doubts.empty(); }
    /// Returns the workers that the next heartbeat names, in turn if they are more than `maxLeaveReports`. Forgets those of the past.
    /// @param known starts of the workers whose entries are known.
    std::vector<uint64_t> takeReports(const std::set<uint64_t>& known, Time now);

private:
    std::map<uint64_t, Time> lastKnownAt; ///< By worker: when it was last heard of, or its entry was last known.
    std::map<uint64_t, uint64_t> earlierStarts; ///< By start that was not asked yet: the one in the entry before.
    std::set<uint64_t> doubts; ///< Starts in doubt.
    uint64_t lastSentInTurn = 0; ///< The next heartbeat continues after this worker.
};

/// A property of requests that may make workers crash.
struct CrashCause {
    enum class Kind : uint8_t {
        Content, ///< `id` is `RequestShape::contentHash`.
        Part, ///< `id` is `PromptPart::id`.
        Count
    };
    Kind kind = Kind::Content;
    uint64_t id = 0;
    auto operator<=>(const CrashCause&) const = default;
};

/// Returns what a crash of its worker may be blamed on: the content of the request and the parts of its prompt, except the last,
/// which belongs to the request alone.
std::set<CrashCause> crashCauses(const RequestShape& shape);

/// Statement that a worker crashed while it ran a request with this cause.
struct CrashReport {
    CrashCause cause;
    uint64_t crash = 0; ///< Hash of the worker and its start, so that a crash that several VMs report counts once.
    Time age { 0 }; ///< Time since the crash.
    bool cleared = false; ///< A worker has answered a request with this cause since.
    bool answeredBefore = false; ///< Workers are known to have answered requests with this part at any time.
};

/// Finds out which requests crash workers, from the crashes and answers that the VMs tell each other of.
///
/// A cause is held off after a number of crashes without an answer to any request with it in between. Causes that always occurred
/// together can't be told apart: then only requests that have all of them are held off, so that the answers to others clear
/// the sound causes. Parts that workers have answered before are held off only if there is no other explanation.
class PoisonRequests {
public:
    /// Records that the answer to a request broke off before it made progress. Its causes are blamed if the worker turns out to have
    /// crashed.
    void recordBroken(const WorkerEntry& worker, const std::set<CrashCause>& causes, Time now);
    /// Records that a worker crashed: it refuses connections, has restarted or is gone. Blames the causes of the requests that broke
    /// off there in the seconds before. A crash that is reported again counts only once.
    /// @return number of requests that were blamed.
    size_t recordCrash(const std::string& worker, Time now);
    /// Records that a worker still runs although answers broke off there: they are not blamed for a later crash.
    void recordAlive(const std::string& worker) { this->forgetBroken(worker); }
    /// Records that the answer to a request made progress, which clears its causes.
    void recordProgress(const std::set<CrashCause>& causes, Time now);
    /// Applies reports of another VM.
    /// @param relay whether `takeReports` returns what was new to this VM, for VMs that the other one does not reach.
    void merge(const std::vector<CrashReport>& reports, bool relay, Time now);
    /// Returns the reports for the next heartbeat: recent changes, and in turn those about causes that are held off.
    std::vector<CrashReport> takeReports(Time now);
    /// Returns the causes for which requests with `causes` are held off, or nothing.
    std::set<CrashCause> findPoison(const std::set<CrashCause>& causes, Time now) const;
    /// Returns the groups of causes that are held off: requests that have all causes of a group.
    std::vector<std::set<CrashCause>> heldOff(Time now) const;

private:
    struct BrokenRequest {
        std::string worker;
        uint64_t crash = 0; ///< As `CrashReport::crash`, if the worker has crashed.
        std::set<CrashCause> causes;
        Time at { 0 };
    };
    /// What is known of one crash and one cause.
    struct Evidence {
        Time at { 0 }; ///< When the worker crashed.
        bool cleared = false;
        Time clearedAt { 0 }; ///< When its clearing became known to this VM; without meaning before.
    };
    using EvidenceKey = std::pair<CrashCause, uint64_t>; ///< Cause and crash.
    using CrashTimes = std::map<uint64_t, Time>;
    /// A group of causes that is held off.
    struct Hold {
        std::set<CrashCause> causes;
        Time until { 0 };
    };

    void forgetBroken(const std::string& worker);
    /// Adds evidence, or clears it.
    /// @param repeats number of heartbeats that carry the news.
    /// @return whether anything changed.
    bool apply(const CrashCause& cause, uint64_t crash, Time at, bool cleared, bool answeredBefore, int repeats, Time now);
    /// Marks evidence as cleared. The parameters and the result are as for `apply`.
    bool clear(const CrashCause& cause, uint64_t crash, Evidence& item, int repeats, Time now);
    /// Returns the crashes of a cause that are not cleared.
    CrashTimes openCrashes(const CrashCause& cause) const;
    /// Computes `holds` anew, after the evidence has changed.
    void updateHolds();
    /// @return whether anything was removed.
    bool removeExpired(Time now);

    std::deque<BrokenRequest> brokenRequests; ///< Oldest first.
    std::map<CrashCause, std::map<uint64_t, Evidence>> evidence; ///< By cause and crash.
    std::map<CrashCause, Time> progressTimes; ///< Last progress of answers by prompt part, for crashes that become known later.
    std::set<CrashCause> answered; ///< Parts with evidence that workers have answered at any time.
    std::vector<Hold> holds;
    std::map<EvidenceKey, int> pendingReports; ///< News for peers, with the number of heartbeats that still carry each.
    Time expiredAt { 0 }; ///< When expired evidence was last removed.
    EvidenceKey lastSentInTurn; ///< The next heartbeat continues after it.
};

// Waiting requests and their order

/// Share of a request's own time, from its arrival to its deadline, after which it goes before requests that are one step more urgent.
/// Of the time for which a request may wait this leaves at least two such steps.
constexpr double queueAgingShare = 0.25;
/// Shares of requests served, relative to all of them, below which a priority counts as starved and goes first, and relative to their priority
/// or to all, below which a size, a model or an adapter does and gives way to none.
constexpr double minServedShareOfKind = 0.4;
constexpr double minServedShare = 0.6;
/// Half-life of what a queue has measured: rates of arrivals and starts, and shares of served requests.
constexpr std::chrono::seconds queueHalfLife { 4 };
/// Half-life of the demand that counts as usual for an account.
constexpr std::chrono::minutes usualDemandHalfLife { 2 };
/// Factor on an account's fair share of the recent starts above which its requests go after those of the others.
constexpr double fairShareTolerance = 1.1;
/// Share of its target latency that a request must be expected to have left at its first byte, to be found to meet the target.
constexpr double queueTargetReserve = 0.125;
/// Smallest share of a queue's rate of starts that requests are expected to get while more urgent ones arrive.
constexpr double minRateShare = 0.02;
/// Interval at which the order is computed anew while no request comes or goes.
constexpr milliseconds queuePlanInterval { 20 };
/// Share of their remaining time for which callers wait before they come back, whatever Retry-After says.
constexpr double maxHonouredRetryShare = 1.0 / 3;
/// Least urgent level that is told apart; higher priorities count as this one.
constexpr uint32_t maxQueuePriority = 9;

/// A request that waits for a worker.
struct WaitingRequest {
    uint64_t id = 0; ///< Unique within its queue.
    std::string model; ///< Empty for plain services.
    std::string adapter; ///< Empty for the base model.
    bool alone = false; ///< It waits for other workers than the rest, as some have failed it.
    uint32_t priority = 0; ///< 0 is the most urgent.
    std::string account; ///< Name of the client account; empty if there is none.
    Time arrivedAt { 0 };
    Time targetAt { 0 }; ///< When the first byte should be there.
    Time deadline { 0 }; ///< When the first byte is worth nothing any more.
    double workSeconds = 0; ///< Estimated work of a worker, in seconds.
    double accountWeight = 0; ///< Share of the account relative to the others, if the operators state one; 0 if they don't.
};

/// Why a queue refuses a request.
enum class QueueRefusal {
    None,
    Outranked, ///< It would be served in time, but requests that go before it take the room.
    Hopeless, ///< It would not be served in time without them either.
    Count
};

/// What a queue says of a request that waits in it.
struct QueueDecision {
    bool isFirst = false; ///< No request that waits for the same goes before it: it may be sent as soon as there is room.
    QueueRefusal refusal = QueueRefusal::None; ///< Whether it is refused now.
    milliseconds retryAfter { 0 }; ///< Set on refusal: time until there is expected to be room.
    size_t position = 0; ///< Number of requests for the same that go before it.
    Time expectedStart { 0 }; ///< Expected time until it is sent.
};

/// Orders the requests of one service that wait for a worker, and refuses those that could not be served in time.
///
/// Answers overload, bursts and accounts that send many times their usual. Requests compete if they wait for the same model and adapter, or for
/// any worker of a plain service. Order: priority, then accounts within their fair share, then requests that can still meet their target
/// before those that can't, by the time left. The requests that can meet their targets are found as by J. M. Moore (An n job, one machine
/// sequencing algorithm for minimizing the number of late jobs, 1968): in the order of their targets, and whenever one would be late,
/// that with most work for its remaining time gives way. Aging and the shares in which kinds, sizes and models are served keep all of them
/// from starving.
class WaitQueue {
public:
    /// Adds a request. It stays until one of the three functions below is called.
    void add(const WaitingRequest& request, Time now);
    /// Removes a request that is sent to a worker now.
    void start(uint64_t id, Time now);
    /// Removes a request that is refused now.
    void refuse(uint64_t id, Time now);
    /// Removes a request that ended otherwise: its caller has gone, or the VM shuts down. It counts as not served if it has waited for a step of aging.
    void remove(uint64_t id, Time now);
    /// Records what a request waits for: room, or a model to be loaded or a worker to take requests again. The rate of starts is measured while
    /// one waits for room.
    /// @param timeToCapacity expected time between places, which is used while no rate of starts is known; 0 if it is not known either.
    void recordBlocked(uint64_t id, BlockReason reason, Time timeToCapacity, Time now);
    /// Returns the position of a request and whether it is refused now. The request stays in the queue.
    QueueDecision decide(uint64_t id, Time now);
    /// Returns the first request of each group that waits for the same, in the order of the whole queue, as of the last decisions.
    std::vector<uint64_t> firsts() const;
    size_t size() const { return this->entries.size(); }
    /// Returns the number of waiting requests of a priority.
    size_t waiting(uint32_t priority) const;
    /// Returns the number of groups, shares and accounts of which something is remembered.
    size_t rememberedCount() const { return this->groups.size() + this->served.size() + this->accounts.size(); }

private:
    /// An amount that decays with a half-life.
    struct Decayed {
        double amount = 0;
        Time at { 0 };
        /// Decays to `now` and adds.
        void add(double more, Time now, Time halfLife);
        double value(Time now, Time halfLife) const;
    };
    /// Requests that were served or refused, decayed.
    struct ServedShare {
        Decayed ended;
        Decayed served;
        Decayed work; ///< Of those that ended, in seconds.
    };
    /// Position of a request in the order of its queue; the lower one goes first.
    struct Rank {
        bool usual = true; ///< Its priority is not starved.
        uint32_t level = 0; ///< Priority after aging.
        bool overShare = false; ///< Its account has had more than its share.
        bool late = false; ///< It can't meet its target.
        Time slack { 0 }; ///< Time at which it would have to start.
        uint64_t id = 0;
        auto operator<=>(const Rank&) const = default;
    };
    struct Group;
    struct Entry {
        WaitingRequest request;
        Group* group = nullptr;
        std::string item; ///< Model and adapter.
        bool lacksRoom = false; ///< See `recordBlocked`.
        BlockReason blocked = BlockReason::None; ///< See `recordBlocked`.
        bool mayGiveWay = true; ///< Neither its size nor its model is starved.
        bool admitted = false; ///< It has been found to meet its target, and gives way to none that comes later.
        Rank rank;
        QueueDecision decision;
        double workAhead = 0; ///< Work that goes before it if it comes back, in seconds.
    };
    /// Requests that wait for the same.
    struct Group {
        std::string name;
        size_t lackingRoom = 0; ///< Number of requests that wait for room.
        std::vector<uint64_t> order; ///< As of `plannedAt`.
        bool changed = false; ///< A request has come or gone since.
        bool exists = false; ///< A worker has had the model and adapter.
        Time plannedAt { 0 };
        Decayed startedWork; ///< While requests waited, in seconds of work.
        Decayed busyTime; ///< Time for which requests waited, in seconds.
        Time busyUntil { 0 }; ///< Until when `busyTime` is counted.
        /// In seconds of work, by twice the priority, plus one if the account has had more than its share.
        std::array<Decayed, 2 * (maxQueuePriority + 1)> arrivedWork;
        std::array<Time, maxQueuePriority + 1> promisedUntil {}; ///< By priority: until when refused callers have been told to come back.
        Time timeToCapacity { 0 }; ///< See `recordBlocked`.
    };
    /// Demand and use of an account.
    struct AccountUse {
        Decayed startedWork;
        Decayed recentWork; ///< Arrived lately.
        Decayed usualWork; ///< Arrived over a long time, while there was room for all.
        Time since { 0 }; ///< When its first request came.
        double weight = 0; ///< See `WaitingRequest::accountWeight`.
        size_t waiting = 0; ///< Number of its requests that wait.
    };
    /// How a priority is served.
    struct KindState {
        bool isStarved = false; ///< Much less often than all, and not more often than a more urgent one.
        bool isServedMore = false; ///< More often than all.
        double largeWork = 0; ///< Work above which its requests are large, in seconds.
        bool areLargeStarved = false;
        bool areSmallStarved = false;
    };
    using KindStates = std::array<KindState, maxQueuePriority + 1>;

    /// Removes a request.
    Entry takeOut(uint64_t id, Time now);
    /// Returns the work above which requests of a kind are large, in seconds; infinite if too few ended lately.
    double largeWork(const std::string& kind, Time now) const;
    void recordEnd(const Entry& entry, bool wasServed, Time now);
    /// Returns the share of requests that were served; nothing if too few ended lately.
    std::optional<double> servedShare(const std::string& key, Time now) const;
    /// Returns whether the requests of `key` are served much less often than those of `reference`.
    bool isStarved(const std::string& key, const std::string& reference, double minShare, Time now) const;
    KindStates kindStates(Time now) const;
    static uint32_t levelOf(const WaitingRequest& request, const KindState& kind, Time now);
    /// Returns the rate at which work of an account usually arrives.
    static double usualRate(const AccountUse& use, Time now);
    /// Returns the accounts whose requests have been started for more than their fair share.
    std::set<std::string> accountsOverShare(Time now) const;
    static void countBusyTime(Group& group, Time now);
    /// Returns the work that is started in a second, without that of requests that go first.
    /// @param classes number of entries of `Group::arrivedWork` that go first.
    /// @param typicalWork mean work of the waiting requests, in seconds.
    static double rate(const Group& group, size_t classes, double typicalWork, Time now);
    void plan(Group& group, Time now);
    /// Orders the requests of one level and decides on each.
    /// @param level requests by the time at which they would have to start.
    /// @param ahead work that goes before them, in seconds.
    /// @return that with the work of those that stay.
    double planLevel(const std::vector<Entry*>& level, double ahead, Group& group, double typicalWork, Time now);
    /// Returns when the caller of a request that is refused now should come back.
    static Time returnTime(const Entry& entry, const Group& group, Time now);
    void forgetOld(Time now);

    std::map<uint64_t, Entry> entries;
    std::map<std::string, Group> groups; ///< By what their requests wait for.
    std::map<std::string, ServedShare> served; ///< By priority, by size, by model and adapter, and of all.
    std::map<std::string, AccountUse> accounts;
    std::set<std::string> overShare; ///< Result of `accountsOverShare` when a group was last planned.
    Time forgottenAt { 0 }; ///< When what is old was last forgotten.
};

} // namespace comfreypier::routing
