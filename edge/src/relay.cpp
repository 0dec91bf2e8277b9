#include "relay.h"

namespace comfreypier::edge {

namespace {

    using transport::escapeForLog;
    using transport::IoError;

    /// Time limit of a request whose caller sets none.
    constexpr milliseconds defaultTimeout { 30000 };
    /// Part of the caller's time limit that is reserved for sending the answer back.
    constexpr milliseconds replyReserve { 8 };
    /// Time limit for the adapter to be loaded on the worker that resumes a run: a caller gives up after eight target gaps.
    constexpr milliseconds resumeAdapterTimeout { 500 };
    /// Interval at which a waiting request checks whether the fleet has changed, so that a worker may have become available.
    constexpr milliseconds workerPollInterval { 5 };
    /// Interval at which a waiting request chooses again while the fleet does not change: a choice also depends on the time,
    /// for example on the period for which a full worker is avoided.
    constexpr milliseconds workerRetryInterval { 40 };
    /// A retryable request is sent to another worker after this many target latencies without an answer, but not before
    /// `minAttemptTimeout`.
    constexpr double attemptTimeoutTargetLatencies = 2;
    /// Minimum timeout of one attempt, both for connecting and for the response.
    constexpr milliseconds minAttemptTimeout { 200 };
    /// A stream that can go on elsewhere counts as silent after this time without an event, or after `streamIdleTargetGaps` target gaps,
    /// whichever is longer: callers give up after eight gaps, and resuming takes time.
    constexpr milliseconds minStreamIdleTimeout { 700 };
    constexpr int streamIdleTargetGaps = 4;
    /// Interval at which the end of a `StreamRescue` is noticed.
    constexpr milliseconds rescuePollInterval { 10 };
    /// Retry-After for conditions that usually pass soon.
    constexpr milliseconds retryAfterTransient { 200 };
    /// Retry-After while no configuration is known: the store is unreachable, or this VM has just started.
    constexpr milliseconds retryAfterNoConfiguration { 2000 };
    /// Retry-After of a VM that shuts down: the caller retries on another VM.
    constexpr milliseconds retryAfterDraining { 0 };
    /// Worker time for one output token of a batch, in seconds, from which the demand is estimated.
    constexpr double workerSecondsPerOutputToken = 0.0003;
    /// Upper bound of the output tokens that are assumed for a request.
    constexpr uint32_t maxEstimatedOutputTokens = 1200;

    /// Callers give up on a stream that is silent for this time, four target latencies or eight target gaps, whichever is longest.
    constexpr milliseconds minCallerPatience { 2000 };
    /// Largest event of a stream; more bytes without the end of an event are no answer.
    constexpr size_t maxEventBytes = 1024 * 1024;

    /// Largest number of tries to get memory that slow readers are about to give back, and the delay between two.
    constexpr int memoryTries = 10;
    constexpr milliseconds memoryRetryDelay { 2 };

    /// Maximum number of prompt parts whose ids a log line names.
    constexpr size_t maxLoggedParts = 8;

    /// Returns the priority of a request, 0 for the most urgent.
    /// @param account account of the caller, whose priority replaces that of the route; null if it has none.
    uint32_t computePriority(const routing::Route& route, const accounts::ClientAccount* account)
    {
        return account != nullptr ? account->priority.value_or(route.priority) : route.priority;
    }

    /// Returns the urgency that is sent to the workers, from 0 for the most urgent requests to 9: the priority, subdivided by how tight the
    /// route's latency target is.
    /// @param account account of the caller, whose priority replaces that of the route; null if it has none.
    uint32_t computeUrgency(const routing::Route& route, const accounts::ClientAccount* account)
    {
        constexpr uint32_t maxPriority = 4; // Higher values, which are less urgent, count as this one.
        constexpr milliseconds tightLatency { 1000 };
        return std::min(computePriority(route, account), maxPriority) * 2 + (route.targetLatency > tightLatency ? 1 : 0);
    }

    /// Estimates the worker time that a request takes, in seconds.
    double estimateWork(const routing::RequestShape& shape, uint32_t cachedTokens)
    {
        return routing::prefillTime(shape.promptTokens - std::min(cachedTokens, shape.promptTokens)).count() + shape.outputTokens * workerSecondsPerOutputToken;
    }

    /// Formats the ids of the parts of a prompt for log lines, joined by plus signs; "-" if there are none.
    std::string formatParts(const std::vector<routing::PromptPart>& parts)
    {
        std::string text;
        for (size_t i = 0; i < std::min(parts.size(), maxLoggedParts); i++) {
            std::array<char, 20> id {};
            std::snprintf(id.data(), id.size(), "%s%llx", i == 0 ? "" : "+", static_cast<unsigned long long>(parts[i].id));
            text += id.data();
        }
        return text.empty() ? "-" : text;
    }

    /// Formats a worker's limit for log lines; "-" if it named none.
    std::string formatLimit(std::optional<double> limit)
    {
        std::array<char, 32> text { "-" };
        if (limit)
            std::snprintf(text.data(), text.size(), "%.3g", *limit);
        return text.data();
    }

    /// Returns the time without an event after which a stream counts as silent.
    Time streamIdleTimeout(const routing::Route& route)
    {
        return std::max(minStreamIdleTimeout, streamIdleTargetGaps * route.targetGap);
    }

    /// Returns the silence after which the caller of a stream leaves.
    Time callerPatience(const routing::Route& route)
    {
        return std::max({ minCallerPatience, 4 * route.targetLatency, 8 * route.targetGap });
    }

    /// Formats what was decided about a request's quota for log lines: the cost, the VM that decided, and the time that it took.
    std::string formatQuota(double cost, const QuotaDecision& decision, Time duration)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.0f", cost);
        return std::string(text.data()) + ":" + (decision.decidedBy.empty() ? "-" : transport::escapeForLog(decision.decidedBy)) + ":" + formatMilliseconds(duration);
    }

    /// Formats the workers that a request passed over for log lines, for example `w1:held+w2:leaving`; "-" if there are none.
    std::string formatPassedOver(const std::map<std::string, routing::WorkerBlock>& workers)
    {
        std::string text;
        for (const auto& [worker, block] : workers)
            text += (text.empty() ? "" : "+") + worker + ":" + routing::name(block);
        return text.empty() ? "-" : text;
    }

    /// Returns whether callers understand `status` as a statement that the request did not run.
    bool impliesNotRun(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

} // namespace

std::string formatMilliseconds(Time time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.1f", std::chrono::duration<double, std::milli>(time).count());
    return text.data();
}

/// State of one request while it is served.
struct Relay::RequestContext {
    RequestContext(transport::BufferMemory& memory, const transport::HttpRequest& request, transport::ResponseWriter& writer)
        : request(request)
        , writer(writer)
        , head(platform::decodeRequestHead(request))
        , startedAt(monotonicNow())
        , buffered(memory)
    {
    }

    const transport::HttpRequest& request;
    transport::ResponseWriter& writer;
    platform::RequestHead head;
    Time startedAt;
    Time deadline { 0 }; ///< End of the caller's or the route's time limit, whichever is earlier.
    Time firstByteDeadline { 0 }; ///< The caller gives up if no byte of the answer has arrived by then.
    ConfigurationPtr configuration;
    const routing::Route* route = nullptr;
    const routing::Service* service = nullptr;
    const accounts::ClientAccount* account = nullptr; ///< Account of the caller; null if it has none.
    QuotaCharge quotaCharge; ///< What was charged for the request and not given back.
    std::set<routing::CrashCause> crashCauses;
    bool progressed = false; ///< An answer got beyond its first event, or is complete.
    std::vector<uint64_t> prefixHashes; ///< Result of `routing::hashPrefixes`; empty if the service has no engine.
    transport::CancelToken cancel; ///< Cancelled when the caller closes its connection or the VM's shutdown ends. Aborts the call to the worker.
    WaitingRoom::Place* place = nullptr; ///< Set while the request waits in a queue.
    bool endedByShutdown = false; ///< The shutdown has ended the request: nothing more is sent to a worker.
    std::set<std::string> excludedWorkers; ///< Workers that failed this request.
    /// Connections on which an attempt was answered. All attempts have the same id, so on such a connection a late copy of the answer to
    /// one attempt would be taken for the answer to the next.
    std::set<uint64_t> usedConnections;
    uint32_t sendCount = 0; ///< Number of attempts.
    uint32_t possibleRuns = 0; ///< Number of attempts in which a worker may have run the request.
    bool streamStarted = false; ///< The head of the stream was sent to the caller.
    std::optional<std::string> lastEventId; ///< ID of the last event forwarded to the caller.
    std::optional<routing::WorkerEntry> backupWorker; ///< Worker that receives a backup copy of the run of the current attempt.
    std::optional<routing::WorkerEntry> resumeWorker; ///< Worker that resumes the run from its backup copy.
    std::optional<transport::HttpResponse> workerError; ///< Error answer of a worker, forwarded if no later attempt succeeds.
    SendResult lastResult = SendResult::NotSent; ///< Result of the last attempt.
    transport::BufferReservation buffered; ///< Memory for `workerError` and for what the current attempt has received.
    // Reported in the log line of the request.
    std::string workerId; ///< Worker of the last attempt.
    std::string outcome = "none";
    unsigned status = 0; ///< Status sent to the caller; 0 if none was sent.
    uint32_t cachedTokens = 0; ///< Prompt tokens that the worker is estimated to have cached.
    Time expectedFirstByte { 0 }; ///< Expected time from sending the request to the first byte.
    Time waitTime { 0 }; ///< Time for which the request waited for a worker.
    std::optional<size_t> queuePosition; ///< Number of requests before it when it began to wait in a queue.
    Time timeToFirstByte { 0 }; ///< Time from the request's arrival to the first byte sent to the caller.
    Time entryAge { 0 }; ///< See `Fleet::Selection`.
    std::map<std::string, routing::WorkerBlock> passedOver; ///< Workers that the choices passed over, and the last reason of each.
    std::string quotaNote; ///< Cost of the request, VM that decided about it and the time that this took; empty without a quota.
    std::optional<double> requestLimit; ///< Limit that the worker named in its answer, in requests per second.

    /// Ends what the request waits for.
    void end()
    {
        this->cancel.cancel();
        if (this->place != nullptr)
            this->place->wake();
    }
    bool isCancelled() const { return this->cancel.isCancelled(); }
    bool isCallerGone() const { return this->cancel.isCancelled() && !this->endedByShutdown; }
    /// Returns the time until the deadline; negative after it.
    milliseconds remaining() const { return std::chrono::duration_cast<milliseconds>(this->deadline - monotonicNow()); }
    bool hasUsableBackup() const { return this->backupWorker && !this->excludedWorkers.contains(this->backupWorker->id); }
    /// Returns whether the request may run more than once.
    bool isRetryable() const { return this->route->idempotent || this->route->resumable; }
};

/// An attempt whose worker has begun to answer.
struct Relay::Attempt {
    Attempt(Fleet::Selection selection, LoadReservation reservation, std::unique_ptr<transport::ResponseStream> stream)
        : selection(std::move(selection))
        , reservation(std::move(reservation))
        , stream(std::move(stream))
        , headReceivedAt(monotonicNow())
        , lastEventAt(this->headReceivedAt)
    {
    }

    Fleet::Selection selection;
    LoadReservation reservation; ///< Updated when the prefill is done and when data arrives.
    std::unique_ptr<transport::ResponseStream> stream;
    std::string buffer; ///< Received bytes of a stream that are not yet forwarded.
    Time headReceivedAt;
    Time lastEventAt; ///< Of a stream. Bytes that complete no event are no progress.
    Time nextSilenceCheckAt { 0 }; ///< Not before the stream counts as silent.
    bool awaitsFirstEvent = true;
};

/// Adds a request to the open ones until it goes out of scope.
class Relay::ScopedOpenRequest {
public:
    ScopedOpenRequest(std::set<RequestContext*>& openRequests, RequestContext& context)
        : openRequests(openRequests)
        , context(&context)
    {
        this->openRequests.insert(this->context);
    }
    ~ScopedOpenRequest() { this->openRequests.erase(this->context); }
    ScopedOpenRequest(const ScopedOpenRequest&) = delete;
    ScopedOpenRequest& operator=(const ScopedOpenRequest&) = delete;

private:
    std::set<RequestContext*>& openRequests;
    RequestContext* context;
};

Relay::Relay(Vm& vm, Peers& peers, CrashTracker& crashes, QuotaTask& quota, std::function<size_t()> closeSlowReaders)
    : vm(vm)
    , peers(peers)
    , crashes(crashes)
    , quota(quota)
    , closeSlowReaders(std::move(closeSlowReaders))
    , slackFrom(vm.settings.firstStart ? Time { 0 } : monotonicNow() + vm.settings.retryWindow)
    , waitingRoom(vm.counters)
{
    this->vm.fleet.setRoomListener([this] { this->waitingRoom.wakeFirsts(); });
}

Relay::~Relay()
{
    this->vm.fleet.setRoomListener({});
}

transport::HttpResponse Relay::refuseMalformed(unsigned status, std::string_view reason)
{
    // The request did not run, and the memory that it lacks is soon free again.
    return platform::makeErrorResponse(status, "", reason, status == 503 ? std::optional(retryAfterTransient) : std::nullopt);
}

bool Relay::tryHold(transport::BufferReservation& reservation, uint64_t bytes)
{
    for (int i = 0; i < memoryTries; i++) {
        if (reservation.tryHold(bytes))
            return true;
        if (!this->vm.bufferMemory.couldHold(bytes) || this->closeSlowReaders() == 0)
            return false;
        sleepFor(memoryRetryDelay);
    }
    return false;
}

void Relay::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    increment(this->vm.counters, CountedEvent::Requests);
    RequestContext context(this->vm.bufferMemory, request, writer);
    writer.watchCaller([&context] { context.end(); });
    const ScopedOpenRequest open(this->openRequests, context);
    if (this->resolveRoute(context))
        this->run(context);
    writer.unwatchCaller();
    this->vm.counters.totalTime.record(monotonicNow() - context.startedAt);
    this->logRequest(context);
}

size_t Relay::endOpenRequests()
{
    for (auto* context : this->openRequests) {
        if (context->isCancelled())
            continue;
        context->endedByShutdown = true;
        context->end();
    }
    return this->openRequests.size();
}

void Relay::logRequest(const RequestContext& context)
{
    this->log.info("event=request id=" + escapeForLog(context.head.id) + " route=" + (context.route ? escapeForLog(context.route->name) : "-") + (context.account ? " account=" + escapeForLog(context.account->name) : "") + (context.quotaNote.empty() ? "" : " quota=" + context.quotaNote) + " version=" + (context.configuration ? std::to_string(context.configuration->version) : "-")
        + " model=" + escapeForLog(context.head.shape.model) + (context.head.shape.adapter.empty() ? "" : "/" + escapeForLog(context.head.shape.adapter))
        + " parts=" + formatParts(context.head.shape.parts) + " tokens=" + std::to_string(context.head.shape.promptTokens) + " kept=" + std::to_string(context.cachedTokens)
        + " worker=" + (context.workerId.empty() ? "-" : escapeForLog(context.workerId)) + " entry_age_ms=" + formatMilliseconds(context.entryAge) + " sends=" + std::to_string(context.sendCount)
        + " waited_ms=" + formatMilliseconds(context.waitTime) + (context.queuePosition ? " position=" + std::to_string(*context.queuePosition) : "") + " expected_ms=" + formatMilliseconds(context.expectedFirstByte) + " first_ms=" + formatMilliseconds(context.timeToFirstByte)
        + " total_ms=" + formatMilliseconds(monotonicNow() - context.startedAt) + " limit=" + formatLimit(context.requestLimit) + " passed_over=" + formatPassedOver(context.passedOver) + " status=" + std::to_string(context.status) + " outcome=" + context.outcome);
}

void Relay::refuse(RequestContext& context, unsigned status, RefusalReason refusal, std::optional<milliseconds> retryAfter)
{
    increment(this->vm.counters, refusal);
    // Requests refused for lack of capacity count as demand too: otherwise a model whose workers are full would never get
    // another replica. Requests that were sent are counted already.
    bool lacksCapacity = refusal == RefusalReason::NoRoom || refusal == RefusalReason::WorkerHold || refusal == RefusalReason::WorkerLimit || refusal == RefusalReason::Hopeless || refusal == RefusalReason::Outranked;
    if (lacksCapacity && context.sendCount == 0 && context.service != nullptr && context.service->engine)
        this->peers.recordWork(context.head.shape.model, estimateWork(context.head.shape, 0));
    context.outcome = name(refusal);
    context.status = status;
    if (impliesNotRun(status) || context.sendCount == 0)
        this->quota.giveBack(context.quotaCharge);
    if (context.isCallerGone()) {
        context.writer.abort();
        return;
    }
    context.writer.send(platform::makeErrorResponse(status, context.head.id, name(refusal), retryAfter));
}

bool Relay::resolveRoute(RequestContext& context)
{
    context.configuration = this->vm.fleet.configuration();
    if (this->endIfLeaving(context, Time { 0 }))
        return false;
    if (!context.configuration || !this->vm.status.workersKnown) {
        this->refuse(context, 503, RefusalReason::NoConfiguration, retryAfterNoConfiguration);
        return false;
    }
    context.route = routing::findRoute(*context.configuration, transport::findHeader(context.request.headers, "Host"), transport::targetPath(context.request.target));
    if (context.route == nullptr) {
        this->refuse(context, 404, RefusalReason::NoRoute, std::nullopt);
        return false;
    }
    if (!this->resolveAccount(context))
        return false;
    context.service = routing::pickService(*context.configuration, *context.route, context.head.id);
    if (context.service == nullptr) {
        this->refuse(context, 503, RefusalReason::NoService, retryAfterTransient);
        return false;
    }
    auto timeout = context.head.remainingTime.value_or(defaultTimeout);
    if (context.route->timeout > milliseconds { 0 })
        timeout = std::min(timeout, context.route->timeout);
    context.deadline = context.startedAt + timeout;
    context.firstByteDeadline = context.deadline;
    if (context.route->streaming)
        context.firstByteDeadline = std::min<Time>(context.deadline, context.startedAt + callerPatience(*context.route));
    context.head.shape.outputTokens = std::min(context.head.shape.outputTokens, maxEstimatedOutputTokens);
    if (context.service->engine) {
        context.prefixHashes = routing::hashPrefixes(context.head.shape);
        // Without a token count from the caller, the prompt has the tokens of its parts.
        if (context.head.shape.promptTokens == 0) {
            uint64_t tokens = 0;
            for (const auto& part : context.head.shape.parts)
                tokens += part.tokens;
            context.head.shape.promptTokens = static_cast<uint32_t>(std::min<uint64_t>(tokens, UINT32_MAX));
        }
    }
    context.crashCauses = routing::crashCauses(context.head.shape);
    return this->chargeQuota(context);
}

bool Relay::chargeQuota(RequestContext& context)
{
    if (context.account == nullptr || context.account->quota.ratePerSecond <= 0)
        return true;
    auto cost = accounts::quotaCost(context.account->quota, context.head.tokens);
    auto startedAt = monotonicNow();
    auto decision = this->quota.charge(*context.account, cost, context.route->targetLatency);
    context.quotaCharge = std::move(decision.charge);
    context.quotaNote = formatQuota(cost, decision, monotonicNow() - startedAt);
    if (decision.granted)
        return true;
    auto retryAfter = decision.retryAfter ? std::optional(std::chrono::ceil<milliseconds>(*decision.retryAfter)) : std::nullopt;
    // Another VM may reach one that knows the level.
    if (decision.known)
        this->refuse(context, 429, RefusalReason::OverQuota, retryAfter);
    else
        this->refuse(context, 503, RefusalReason::QuotaUnknown, retryAfter);
    return false;
}

bool Relay::resolveAccount(RequestContext& context)
{
    const auto& configuration = *context.configuration;
    if (!configuration.accounts)
        return true;
    auto position = configuration.keys->find(context.head.key);
    if (position)
        context.account = &(*configuration.accounts)[*position];
    // Looked up only for a key that is not known.
    auto newestVersion = position ? configuration.version : this->peers.newestConfigurationVersion();
    switch (accounts::decideKey(!context.route->open, position.has_value(), configuration.version, newestVersion)) {
    case accounts::KeyDecision::Unknown:
        this->refuse(context, 401, RefusalReason::UnknownKey, std::nullopt);
        return false;
    case accounts::KeyDecision::Outdated:
        this->refuse(context, 503, RefusalReason::OutdatedKeys, retryAfterTransient);
        return false;
    default:
        return true;
    }
}

void Relay::recordProgress(RequestContext& context)
{
    if (!std::exchange(context.progressed, true))
        this->crashes.recordProgress(context.crashCauses);
}

routing::RetryBudget& Relay::retryBudget(const std::string& service)
{
    const auto& settings = this->vm.settings;
    auto [found, added] = this->retryBudgets.try_emplace(service, settings.retryRatio, settings.retrySlack, settings.retryWindow, this->slackFrom);
    return found->second;
}

bool Relay::mayHaveRun(SendResult result)
{
    return result != SendResult::NotSent && result != SendResult::NotRun && result != SendResult::Withdrawn;
}

bool Relay::prepareRetry(RequestContext& context, SendResult result)
{
    bool mayHaveRun = Relay::mayHaveRun(result);
    bool canRunAgain = context.isRetryable() && context.possibleRuns < context.route->maxAttempts;
    if (context.remaining() <= replyReserve || context.endedByShutdown)
        return false;
    // A run that resumes from its backup copy is still the same run. Before its first event there may be no copy yet.
    if (mayHaveRun && !canRunAgain && context.hasUsableBackup() && this->vm.fleet.mayResume(context.backupWorker->id, monotonicNow()) && context.streamStarted && result != SendResult::WorkerError)
        context.resumeWorker = std::exchange(context.backupWorker, std::nullopt);
    if (mayHaveRun && !canRunAgain && !context.resumeWorker)
        return false;
    // This attempt did not run, but an earlier one may have.
    if (!mayHaveRun && context.possibleRuns > 0 && !canRunAgain)
        return false;
    std::lock_guard lock(this->mutex);
    return this->retryBudget(context.service->name).tryAcquire(monotonicNow(), this->peers.memberCount());
}

/// Reports to the lease holder what a request waits for, and withdraws the report when it goes out of scope.
class Relay::ScopedMissingItem {
public:
    explicit ScopedMissingItem(Peers& peers)
        : peers(peers)
    {
    }
    ~ScopedMissingItem() { this->set(std::nullopt); }
    ScopedMissingItem(const ScopedMissingItem&) = delete;
    ScopedMissingItem& operator=(const ScopedMissingItem&) = delete;

    void set(const std::optional<MissingItem>& next)
    {
        if (this->item == next)
            return;
        if (this->item)
            this->peers.removeMissingItem(*this->item);
        this->item = next;
        if (next)
            this->peers.addMissingItem(*next);
    }

private:
    Peers& peers;
    std::optional<MissingItem> item;
};

/// Place of a request in the queue of its service while it goes through `waitForWorker`.
class Relay::ScopedPlace {
public:
    ScopedPlace(RequestContext& context, WaitingRoom& room, const routing::WaitingRequest& request)
        : context(context)
        , place(room, context.service->name, request, monotonicNow())
    {
        context.place = &this->place;
    }
    ~ScopedPlace() { this->context.place = nullptr; }
    ScopedPlace(const ScopedPlace&) = delete;
    ScopedPlace& operator=(const ScopedPlace&) = delete;

    routing::QueueDecision decide(const routing::Choice& choice, Time now)
    {
        if (choice.blockReason != routing::BlockReason::None)
            this->place.recordBlocked(choice, now);
        return this->place.decide(now);
    }
    void start(Time now) { this->place.start(now); }
    void refuse(Time now) { this->place.refuse(now); }
    /// Waits until the request may find a worker.
    void wait(const routing::QueueDecision& decision)
    {
        if (!this->context.queuePosition)
            this->context.queuePosition = decision.position;
        this->place.wait(workerRetryInterval);
    }

private:
    RequestContext& context;
    WaitingRoom::Place place;
};

void Relay::recordPassedOver(RequestContext& context, const routing::Choice& choice)
{
    for (const auto& [worker, block] : choice.passedOver) {
        auto [known, added] = context.passedOver.try_emplace(worker, block);
        if (added || std::exchange(known->second, block) != block)
            increment(this->vm.counters, block);
    }
}

void Relay::refuseBlocked(RequestContext& context, const routing::Choice& choice, milliseconds retryAfter)
{
    // By block reason. The first is that of `BlockReason::None`, which refuses nothing.
    constexpr std::array<RefusalReason, static_cast<size_t>(routing::BlockReason::Count)> refusals {
        RefusalReason::NoWorker, RefusalReason::NoWorker, RefusalReason::Unreachable, RefusalReason::NoModel, RefusalReason::NoAdapter, RefusalReason::NoRoom, RefusalReason::WorkerLimit, RefusalReason::WorkerHold
    };
    // All callers that are refused now would come back at the same moment.
    if (choice.blockReason == routing::BlockReason::Held || choice.blockReason == routing::BlockReason::Limited)
        retryAfter = routing::spreadRetryAfter(retryAfter, routing::hashText(context.head.id));
    this->refuseUnlessRun(context, refusals[static_cast<size_t>(choice.blockReason)], retryAfter);
}

void Relay::refuseUnlessRun(RequestContext& context, RefusalReason refusal, std::optional<milliseconds> retryAfter)
{
    if (context.possibleRuns > 0)
        return this->finish(context, context.lastResult);
    this->refuse(context, 503, refusal, retryAfter);
}

bool Relay::ordersByUrgency(const routing::Configuration& configuration) const
{
    return this->vm.settings.queueByUrgency || configuration.accounts.has_value();
}

routing::WaitingRequest Relay::makeWaitingRequest(const RequestContext& context)
{
    const auto& shape = context.head.shape;
    bool hasEngine = context.service->engine.has_value();
    routing::WaitingRequest request;
    request.model = hasEngine ? shape.model : "";
    request.adapter = hasEngine ? shape.adapter : "";
    request.alone = !context.excludedWorkers.empty();
    request.priority = computePriority(*context.route, context.account);
    request.account = context.account != nullptr ? context.account->name : "";
    request.accountWeight = context.account != nullptr ? context.account->weight : 0;
    request.arrivedAt = context.startedAt;
    request.deadline = context.firstByteDeadline;
    request.targetAt = context.route->targetLatency > milliseconds { 0 } ? context.startedAt + context.route->targetLatency : request.deadline;
    request.workSeconds = hasEngine ? estimateWork(shape, 0) : 0;
    return request;
}

bool Relay::refuseInQueue(RequestContext& context, const routing::QueueDecision& decision)
{
    if (decision.refusal == routing::QueueRefusal::None)
        return false;
    context.place->refuse(monotonicNow());
    this->refuseUnlessRun(context, decision.refusal == routing::QueueRefusal::Outranked ? RefusalReason::Outranked : RefusalReason::Hopeless, decision.retryAfter);
    return true;
}

void Relay::waitForChange(const RequestContext& context) const
{
    auto end = monotonicNow() + workerRetryInterval;
    auto seenChanges = this->vm.fleet.changes();
    do
        sleepFor(workerPollInterval);
    while (!context.isCancelled() && this->vm.fleet.changes() == seenChanges && monotonicNow() < end);
}

/// Waits until a worker can take the request.
/// @return false if the request was refused or the caller has gone.
bool Relay::waitForWorker(RequestContext& context, Fleet::Selection& selection)
{
    const auto& shape = context.head.shape;
    ScopedMissingItem missingItem(this->peers);
    auto lastChoiceAt = monotonicNow();
    std::optional<ScopedPlace> place; // Without a queue all requests look for a worker by themselves, as if each were the first.
    if (this->ordersByUrgency(*context.configuration))
        place.emplace(context, this->waitingRoom, Relay::makeWaitingRequest(context));
    while (!context.isCancelled()) {
        // What crashes workers may become known while the request waits, and a shutdown may begin.
        if (this->endIfHeldOff(context) || this->endIfLeaving(context, Time { 0 }))
            return false;
        auto now = monotonicNow();
        selection = this->vm.fleet.chooseWorker(*context.service, shape, context.prefixHashes, context.excludedWorkers, context.route->targetLatency, now);
        this->recordPassedOver(context, selection.choice);
        auto blockReason = selection.choice.blockReason;
        context.waitTime += now - std::exchange(lastChoiceAt, now);
        auto turn = place ? place->decide(selection.choice, now) : routing::QueueDecision {};
        if (blockReason == routing::BlockReason::None && (turn.isFirst || !place)) {
            if (place)
                place->start(now);
            return true;
        }
        if (blockReason == routing::BlockReason::NoModel)
            missingItem.set(MissingItem { "", shape.model, "" });
        else if (blockReason == routing::BlockReason::NoAdapter)
            missingItem.set(MissingItem { selection.id, shape.model, shape.adapter });
        // The rate at which room becomes free tells nothing of loads, limits and holds that a request waits for.
        bool lacksRoom = blockReason == routing::BlockReason::NoCapacity || blockReason == routing::BlockReason::None;
        if (lacksRoom && this->refuseInQueue(context, turn))
            return false;
        auto decision = routing::decideWait(selection.choice, routing::findModel(*context.service, shape.model), now - context.startedAt, context.firstByteDeadline - context.startedAt);
        if (!decision.admitted) {
            if (place)
                place->refuse(now);
            this->refuseBlocked(context, selection.choice, decision.retryAfter);
            return false;
        }
        if (place)
            place->wait(turn);
        else
            this->waitForChange(context);
    }
    this->finish(context, context.lastResult);
    return false;
}

bool Relay::endIfLeaving(RequestContext& context, Time expected)
{
    auto schedule = this->vm.drainSchedule();
    // The refusal states that the request did not run.
    if (!schedule || context.streamStarted || context.possibleRuns > 0 || routing::maySendWhileDraining(*schedule, expected, context.remaining(), monotonicNow()))
        return false;
    this->refuse(context, 503, RefusalReason::Leaving, retryAfterDraining);
    return true;
}

bool Relay::endIfHeldOff(RequestContext& context)
{
    if (context.progressed || !this->crashes.isHeldOff(context.crashCauses))
        return false;
    this->refuseUnlessRun(context, RefusalReason::CrashesWorkers, std::nullopt);
    return true;
}

/// Waits until the worker that resumes a run holds its adapter, but no longer than `resumeAdapterTimeout`.
void Relay::waitForAdapter(RequestContext& context, const routing::WorkerEntry& worker)
{
    const auto& shape = context.head.shape;
    if (shape.adapter.empty() || this->vm.fleet.holdsAdapter(worker.id, shape))
        return;
    MissingItem item { worker.id, shape.model, shape.adapter };
    this->peers.addMissingItem(item);
    auto deadline = monotonicNow() + resumeAdapterTimeout;
    while (!context.isCancelled() && monotonicNow() < deadline && !this->vm.fleet.holdsAdapter(worker.id, shape))
        sleepFor(workerPollInterval);
    this->peers.removeMissingItem(item);
}

void Relay::run(RequestContext& context)
{
    {
        std::lock_guard lock(this->mutex);
        this->retryBudget(context.service->name).recordRequest(monotonicNow());
    }
    while (!this->endIfHeldOff(context)) {
        Fleet::Selection selection;
        if (context.resumeWorker) {
            this->waitForAdapter(context, *context.resumeWorker);
            // A stream that has started does not wait until its worker may be sent requests again.
            if (!this->vm.fleet.mayResume(context.resumeWorker->id, monotonicNow()))
                return this->finish(context, context.lastResult);
            selection.id = context.resumeWorker->id;
            selection.entry = *context.resumeWorker;
            // The backup copy contains the KV cache of the prompt.
            selection.choice.cachedTokens = context.head.shape.promptTokens;
        } else if (context.streamStarted) {
            // A stream that has started does not wait for a worker: it resumes now or ends.
            selection = this->vm.fleet.chooseWorker(*context.service, context.head.shape, context.prefixHashes, context.excludedWorkers, context.route->targetLatency, monotonicNow());
            this->recordPassedOver(context, selection.choice);
            if (selection.choice.blockReason != routing::BlockReason::None)
                return this->finish(context, SendResult::Resumable);
        } else if (!this->waitForWorker(context, selection))
            return;
        // The refusal states that the request did not run, so it is allowed only if no attempt may have run it.
        if (!context.streamStarted && !context.resumeWorker && context.possibleRuns == 0) {
            auto decision = routing::decideSend(selection.choice, context.firstByteDeadline - monotonicNow());
            if (!decision.admitted)
                return this->refuse(context, 503, RefusalReason::Hopeless, decision.retryAfter);
            if (this->endIfLeaving(context, selection.choice.timeToFirstByte + this->expectedStreamTime(context)))
                return;
        }
        auto result = this->sendOnce(context, selection);
        bool resumed = std::exchange(context.resumeWorker, std::nullopt).has_value();
        if (result == SendResult::Withdrawn) {
            // The copy from which the run was to resume is at that worker.
            if (resumed || context.isCancelled() || context.remaining() <= replyReserve)
                return this->finish(context, context.lastResult);
            sleepFor(workerPollInterval);
            continue;
        }
        context.lastResult = result;
        if (result == SendResult::Answered)
            this->recordStreamTime(context);
        if (result == SendResult::Answered || result == SendResult::CallerGone)
            return;
        if (mayHaveRun(result))
            context.possibleRuns++;
        if (!this->prepareRetry(context, result))
            return this->finish(context, result);
        // By result of the attempt. Those of `Answered`, `CallerGone` and `Withdrawn` are never used.
        constexpr std::array<RetryReason, static_cast<size_t>(SendResult::Count)> reasons {
            RetryReason::Failed, RetryReason::NotSent, RetryReason::NotRun, RetryReason::Broken, RetryReason::Silent, RetryReason::Unusable, RetryReason::Failed, RetryReason::Resumed, RetryReason::Failed, RetryReason::Failed
        };
        increment(this->vm.counters, reasons[static_cast<size_t>(result)]);
        this->log.info("event=repeat id=" + escapeForLog(context.head.id) + " worker=" + escapeForLog(selection.id) + " reason=" + name(reasons[static_cast<size_t>(result)]) + " left_ms=" + std::to_string(context.remaining().count()));
    }
}

Time Relay::expectedStreamTime(const RequestContext& context)
{
    if (!context.route->streaming)
        return Time { 0 };
    std::lock_guard lock(this->mutex);
    auto found = this->streamPaces.find({ context.service->name, context.head.shape.model });
    return found == this->streamPaces.end() ? Time { 0 } : found->second.expectedTime(context.head.shape.outputTokens);
}

void Relay::recordStreamTime(const RequestContext& context)
{
    // A caller that has gone, or that resumes a stream, gets less than the whole of it.
    if (!context.streamStarted || context.outcome != "answered" || context.head.lastEventId)
        return;
    std::lock_guard lock(this->mutex);
    this->streamPaces[{ context.service->name, context.head.shape.model }].record(context.head.shape.outputTokens, monotonicNow() - context.startedAt - context.timeToFirstByte);
}

void Relay::finish(RequestContext& context, SendResult result)
{
    if (context.streamStarted) {
        increment(this->vm.counters, CountedEvent::StreamsCut);
        context.outcome = "cut";
        context.writer.abort();
        return;
    }
    if (context.isCallerGone())
        return this->refuse(context, 0, RefusalReason::CallerGone, std::nullopt);
    if (context.workerError) {
        context.status = context.workerError->status;
        context.outcome = "worker_error";
        context.writer.send(*context.workerError);
        return;
    }
    // Status 503 states that the request did not run.
    if (context.endedByShutdown)
        return this->refuse(context, context.possibleRuns > 0 ? 502 : 503, RefusalReason::Leaving, context.possibleRuns > 0 ? std::nullopt : std::optional(retryAfterDraining));
    if (context.possibleRuns == 0) {
        // The workers may have said meanwhile when they take requests again.
        auto next = this->vm.fleet.chooseWorker(*context.service, context.head.shape, context.prefixHashes, {}, context.route->targetLatency, monotonicNow()).choice;
        if (next.blockReason == routing::BlockReason::Held || next.blockReason == routing::BlockReason::Limited)
            return this->refuseBlocked(context, next, std::max(routing::minRetryAfter, std::chrono::ceil<milliseconds>(next.timeToCapacity)));
        return this->refuse(context, 503, result == SendResult::NotSent ? RefusalReason::Unreachable : RefusalReason::NoRoom, retryAfterTransient);
    }
    bool deadlinePassed = context.remaining() <= replyReserve;
    this->refuse(context, deadlinePassed ? 504 : 502, deadlinePassed ? RefusalReason::TimedOut : RefusalReason::WorkerFailed, std::nullopt);
}

Relay::SendResult Relay::sendOnce(RequestContext& context, const Fleet::Selection& selection)
{
    auto remaining = context.remaining();
    if (remaining <= replyReserve)
        return SendResult::NotRun;
    // `possibleRuns` does not count the current attempt yet.
    bool canRetry = context.isRetryable() && context.possibleRuns + 1 < context.route->maxAttempts;
    auto timeLimit = remaining;
    if (canRetry && !context.route->streaming && this->hasOtherWorker(context, selection.id))
        timeLimit = std::min(remaining, std::max(minAttemptTimeout, std::chrono::duration_cast<milliseconds>(context.route->targetLatency * attemptTimeoutTargetLatencies)));
    auto sentAt = monotonicNow();
    auto started = this->startAttempt(context, selection, timeLimit, context.cancel);
    if (!started && started.error() == SendResult::CallerGone)
        this->refuse(context, 0, RefusalReason::CallerGone, std::nullopt);
    if (!started)
        return started.error();
    auto& stream = *started.value()->stream;
    if (context.route->streaming && stream.status() == 200)
        return this->relayStream(context, std::move(started.value()));
    auto result = this->relayWholeAnswer(context, selection, stream);
    auto elapsed = monotonicNow() - sentAt;
    bool failed = (result != SendResult::Answered && result != SendResult::CallerGone) || stream.status() >= 500;
    // On a streaming route an answer that is read whole is no stream: its time says nothing about the time to the first event.
    auto expected = context.route->streaming ? Time { 0 } : context.expectedFirstByte;
    if (result != SendResult::CallerGone && !context.endedByShutdown)
        this->vm.fleet.updateWorker(selection.id, [&](routing::Worker& worker) { routing::recordAnswer(worker, failed, expected, elapsed, monotonicNow()); });
    return result;
}

bool Relay::hasOtherWorker(RequestContext& context, const std::string& worker)
{
    auto excludedWorkers = context.excludedWorkers;
    excludedWorkers.insert(worker);
    auto next = this->vm.fleet.chooseWorker(*context.service, context.head.shape, context.prefixHashes, excludedWorkers, context.route->targetLatency, monotonicNow());
    return next.choice.blockReason == routing::BlockReason::None;
}

Result<std::unique_ptr<Relay::Attempt>, Relay::SendResult> Relay::startAttempt(RequestContext& context, const Fleet::Selection& selection, milliseconds timeLimit, transport::CancelToken& cancel)
{
    auto remaining = context.remaining();
    const auto& shape = context.head.shape;
    double kvCacheTokens = context.service->engine ? context.service->engine->kvCacheTokens : 0;
    context.workerId = selection.id;
    context.cachedTokens = selection.choice.cachedTokens;
    context.expectedFirstByte = selection.choice.timeToFirstByte;
    context.entryAge = selection.entryAge;
    context.sendCount++;
    auto reservation = this->vm.fleet.reserve(selection.id, shape, context.prefixHashes, context.cachedTokens, kvCacheTokens);
    if (context.service->engine) {
        this->peers.recordWork(shape.model, estimateWork(shape, context.cachedTokens));
        if (!shape.adapter.empty())
            this->peers.recordAdapterUse({ selection.id, shape.model, shape.adapter });
    }
    // A resumed stream starts after the last event that was forwarded, a new one after the event that the caller names, if any.
    platform::WorkerCallOptions call { selection.id, remaining - replyReserve, computeUrgency(*context.route, context.account), context.lastEventId ? context.lastEventId : context.head.lastEventId };
    if (context.resumeWorker)
        call.backupSource = selection.entry.address;
    call.hasAccounts = context.configuration->accounts.has_value();
    if (context.account != nullptr)
        call.account = context.account->name;
    // The worker that was to keep a copy of the last attempt keeps none of this one. Resumable streams need no copy.
    context.backupWorker.reset();
    if (context.route->streaming && !context.route->resumable && routing::isBackupWorthwhile(*context.service, shape))
        context.backupWorker = this->vm.fleet.chooseBackup(*context.service, shape, selection.entry, monotonicNow());
    if (context.backupWorker)
        call.backupTarget = context.backupWorker->address;
    auto request = platform::makeWorkerRequest(context.request, call);
    transport::CallLimits limits;
    // Connecting may use only a part of the remaining time, so that another worker can still be tried.
    limits.connect = std::min<milliseconds>(remaining, std::max(minAttemptTimeout, remaining / 4));
    limits.response = timeLimit;
    // Streams have no size. Everything else is bounded by the buffer memory while it is read.
    limits.maxBodyBytes = UINT64_MAX;
    limits.cancel = &cancel;
    limits.idHeader = platform::requestIdHeader;
    limits.connections = &this->vm.connections;
    limits.avoidedConnections = &context.usedConnections;
    limits.maySend = [this, &selection] { return this->vm.fleet.wantsRequests(selection.id, monotonicNow()); };
    auto opened = this->vm.client.open(selection.entry.address, request, limits);
    if (!opened && opened.error() == IoError::Withdrawn) {
        context.sendCount--;
        increment(this->vm.counters, CountedEvent::Withdrawals);
        this->log.info("event=send_withdrawn id=" + escapeForLog(context.head.id) + " worker=" + escapeForLog(selection.id) + " left_ms=" + std::to_string(context.remaining().count()));
        return SendResult::Withdrawn;
    }
    if (!opened)
        return this->recordSendError(context, selection, opened.error());
    auto stream = std::move(opened.value());
    context.usedConnections.insert(stream->connectionNumber());
    auto head = platform::decodeResponseHead(stream->status(), stream->headers());
    context.requestLimit = head.requestLimit;
    // A worker that did not run the request may leave its id out. On a connection with earlier requests it may refuse one of those: the request
    // may run, but what the worker says of itself holds.
    bool refusedWithoutId = head.notExecuted && head.requestId.empty() && stream->isFirstOnConnection();
    bool matchesRequest = head.requestId == context.head.id || refusedWithoutId;
    // Only an answer with an error or a redirect may lack the worker's signature header.
    bool signatureDue = stream->status() < 300;
    bool mayBeToRequest = matchesRequest || head.requestId.empty();
    this->recordSignals(selection, stream->status(), head, mayBeToRequest, signatureDue);
    // Another worker may have sent a 421. Only an answer of the worker itself shows that it no longer names a limit.
    if (mayBeToRequest && !head.misdirected && (head.requestLimit || (matchesRequest && head.signedByWorker)))
        this->recordLimit(selection.entry, head.requestLimit);
    if (!matchesRequest) {
        this->log.warn("event=answer_unmatched id=" + escapeForLog(context.head.id) + " worker=" + escapeForLog(selection.id) + " status=" + std::to_string(stream->status()) + " answered_id=" + (head.requestId.empty() ? "-" : "other")
            + " first_on_connection=" + (stream->isFirstOnConnection() ? "yes" : "no"));
        return this->handleInvalidAnswer(context, selection);
    }
    if (head.notExecuted)
        return this->handleNotRun(context, selection, head);
    if (!head.identityEncoding || (!head.signedByWorker && signatureDue))
        return this->handleInvalidAnswer(context, selection);
    // The caller has already received the head of a stream: only further events of it can follow.
    if (context.streamStarted && (stream->status() != 200 || !head.isEventStream))
        return this->handleInvalidAnswer(context, selection);
    return std::make_unique<Attempt>(selection, std::move(reservation), std::move(stream));
}

void Relay::recordSignals(const Fleet::Selection& selection, unsigned status, const platform::ResponseHead& head, bool matchesRequest, bool signatureDue)
{
    const routing::AnswerSource source { status, matchesRequest, head.workerId, std::nullopt, signatureDue, head.signedByWorker };
    if (head.leaving)
        this->peers.recordLeaving(selection.entry, source, "answer");
    if (status == 503 && head.retryAfter)
        this->peers.recordHold(selection.entry, source, *head.retryAfter, "answer");
}

void Relay::recordLimit(const routing::WorkerEntry& worker, std::optional<double> limit)
{
    if (!this->vm.fleet.recordLimit(worker, limit, monotonicNow()))
        return;
    this->log.info("event=worker_limit worker=" + escapeForLog(worker.id) + " limit=" + formatLimit(limit));
    this->peers.sendHeartbeat();
}

void Relay::recordFailedWorker(RequestContext& context, const std::string& worker)
{
    this->vm.fleet.updateWorker(worker, [](routing::Worker& known) { routing::recordAnswer(known, true, Time { 0 }, Time { 0 }, monotonicNow()); });
    context.excludedWorkers.insert(worker);
}

Relay::SendResult Relay::handleInvalidAnswer(RequestContext& context, const Fleet::Selection& selection)
{
    this->recordFailedWorker(context, selection.id);
    return SendResult::InvalidAnswer;
}

Relay::SendResult Relay::handleSendError(RequestContext& context, const Fleet::Selection& selection, IoError error)
{
    auto result = this->recordSendError(context, selection, error);
    if (result == SendResult::CallerGone)
        this->refuse(context, 0, RefusalReason::CallerGone, std::nullopt);
    return result;
}

Relay::SendResult Relay::recordSendError(RequestContext& context, const Fleet::Selection& selection, IoError error)
{
    if (context.endedByShutdown)
        return SendResult::TimedOut; // That is no fault of the worker.
    if (context.isCallerGone() || error == IoError::Cancelled)
        return SendResult::CallerGone;
    auto now = monotonicNow();
    // Another worker may have an idle connection.
    context.excludedWorkers.insert(selection.id);
    if (error == IoError::NoPlace)
        return SendResult::NotSent;
    if (transport::isConnectError(error)) {
        this->vm.fleet.updateWorker(selection.id, [now](routing::Worker& worker) { routing::recordUnreachable(worker, now); });
        // A refused connection, unlike one that times out, counts as a crash of the worker.
        if (error == IoError::Refused)
            this->crashes.recordCrash(selection.id, "refused");
        return SendResult::NotSent;
    }
    this->vm.fleet.updateWorker(selection.id, [now](routing::Worker& worker) { routing::recordAnswer(worker, true, Time { 0 }, Time { 0 }, now); });
    if (error == IoError::Timeout)
        return SendResult::TimedOut;
    if (!context.progressed)
        this->crashes.recordBroken(selection.entry, context.crashCauses);
    return SendResult::ConnectionLost;
}

Relay::SendResult Relay::handleNotRun(RequestContext& context, const Fleet::Selection& selection, const platform::ResponseHead& head)
{
    auto now = monotonicNow();
    const auto& shape = context.head.shape;
    this->vm.fleet.updateWorker(selection.id, [&](routing::Worker& worker) {
        if (!head.misdirected)
            return routing::recordFull(worker, now);
        // Another worker answered, or the worker does not hold the model or adapter: correct the estimate until the worker's next
        // entry.
        if (shape.model.empty())
            return routing::recordUnreachable(worker, now);
        if (!shape.adapter.empty()) {
            worker.announced.erase(shape.model + "/" + shape.adapter);
            for (auto& model : worker.entry.models) {
                if (model.name == shape.model)
                    model.adapters.erase(shape.adapter);
            }
            return;
        }
        worker.announced.erase(shape.model);
        std::erase_if(worker.entry.models, [&](const auto& model) { return model.name == shape.model; });
    });
    return SendResult::NotRun;
}

Relay::SendResult Relay::handleOversizedAnswer(RequestContext& context, const Fleet::Selection& selection, size_t bytes)
{
    increment(this->vm.counters, CountedEvent::OversizedAnswers);
    this->log.warn("event=answer_too_large id=" + escapeForLog(context.head.id) + " worker=" + escapeForLog(selection.id) + " buffered_bytes=" + std::to_string(bytes));
    return this->handleInvalidAnswer(context, selection);
}

Relay::SendResult Relay::relayWholeAnswer(RequestContext& context, const Fleet::Selection& selection, transport::ResponseStream& stream)
{
    // An earlier attempt's error is kept until this attempt has an answer.
    auto errorBytes = context.workerError ? context.workerError->body.size() : 0;
    transport::HttpResponse response;
    response.status = stream.status();
    response.headers = transport::endToEndHeaders(stream.headers());
    while (true) {
        if (context.remaining() <= milliseconds { 0 })
            return this->handleSendError(context, selection, IoError::Timeout);
        auto chunk = stream.read(std::max(context.remaining(), milliseconds { 1 }));
        if (!chunk)
            return this->handleSendError(context, selection, chunk.error());
        if (chunk.value().empty())
            break;
        if (!this->tryHold(context.buffered, errorBytes + response.body.size() + chunk.value().size()))
            return this->handleOversizedAnswer(context, selection, response.body.size());
        response.body.append(chunk.value());
    }
    this->recordProgress(context);
    bool succeeded = response.status < 400;
    if (!succeeded && context.isRetryable() && response.status >= 500) {
        context.workerError = std::move(response);
        context.excludedWorkers.insert(selection.id);
        return SendResult::WorkerError;
    }
    // Callers would take such a status to mean that the request did not run, which the worker does not state.
    if (impliesNotRun(response.status)) {
        context.excludedWorkers.insert(selection.id);
        return SendResult::InvalidAnswer;
    }
    context.timeToFirstByte = monotonicNow() - context.startedAt;
    this->vm.counters.timeToFirstByte.record(context.timeToFirstByte);
    context.status = response.status;
    context.outcome = succeeded ? "answered" : "worker_error";
    increment(this->vm.counters, CountedEvent::Answers);
    if (!context.writer.send(response))
        context.outcome = name(RefusalReason::CallerGone);
    return SendResult::Answered;
}

std::optional<Relay::SendResult> Relay::forwardEvents(RequestContext& context, Attempt& attempt)
{
    auto events = platform::findEvents(attempt.buffer, context.lastEventId);
    if (events.count > 0) {
        if (context.streamStarted || events.count > 1)
            this->recordProgress(context);
        if (!context.streamStarted) {
            context.streamStarted = true;
            context.status = attempt.stream->status();
            context.timeToFirstByte = monotonicNow() - context.startedAt;
            this->vm.counters.timeToFirstByte.record(context.timeToFirstByte);
            context.writer.startStream(attempt.stream->status(), transport::endToEndHeaders(attempt.stream->headers()));
        }
        increment(this->vm.counters, CountedEvent::StreamEvents);
        if (!context.writer.writeChunk(std::string_view(attempt.buffer).substr(0, events.length))) {
            context.outcome = name(RefusalReason::CallerGone);
            return SendResult::CallerGone;
        }
        context.lastEventId = events.lastId;
        attempt.buffer.erase(0, events.length);
    }
    if (events.ended) {
        this->log.warn("event=stream_unmatched id=" + escapeForLog(context.head.id) + " worker=" + escapeForLog(attempt.selection.id) + " sends=" + std::to_string(context.sendCount) + " last_event=" + context.lastEventId.value_or("-"));
        this->handleInvalidAnswer(context, attempt.selection);
        return SendResult::Resumable;
    }
    if (events.count == 0)
        return std::nullopt;
    attempt.lastEventAt = monotonicNow();
    if (!std::exchange(attempt.awaitsFirstEvent, false)) {
        attempt.reservation.recordStreamData();
        return std::nullopt;
    }
    this->log.info("event=streaming id=" + escapeForLog(context.head.id) + " worker=" + escapeForLog(attempt.selection.id) + " backup=" + (context.backupWorker ? context.backupWorker->id : "-") + " sends=" + std::to_string(context.sendCount) + " first_ms=" + formatMilliseconds(monotonicNow() - context.startedAt));
    attempt.reservation.markPrefilled();
    // Only a first attempt updates the worker's slowness: a later one may resume a run.
    auto expected = context.sendCount == 1 ? context.expectedFirstByte : Time { 0 };
    this->vm.fleet.updateWorker(attempt.selection.id, [&](routing::Worker& worker) { routing::recordAnswer(worker, false, expected, attempt.lastEventAt - attempt.headReceivedAt, attempt.lastEventAt); });
    return std::nullopt;
}

std::optional<Fleet::Selection> Relay::chooseResumeWorker(RequestContext& context, const std::string& worker)
{
    Fleet::Selection selection;
    if (context.hasUsableBackup()) {
        selection.id = context.backupWorker->id;
        selection.entry = *context.backupWorker;
        // The backup copy contains the KV cache of the prompt.
        selection.choice.cachedTokens = context.head.shape.promptTokens;
        if (!this->vm.fleet.mayResume(selection.id, monotonicNow()))
            return std::nullopt;
    } else {
        auto excludedWorkers = context.excludedWorkers;
        excludedWorkers.insert(worker);
        selection = this->vm.fleet.chooseWorker(*context.service, context.head.shape, context.prefixHashes, excludedWorkers, context.route->targetLatency, monotonicNow());
        if (selection.choice.blockReason != routing::BlockReason::None)
            return std::nullopt;
    }
    std::lock_guard lock(this->mutex);
    if (!this->retryBudget(context.service->name).tryAcquire(monotonicNow(), this->peers.memberCount()))
        return std::nullopt;
    return selection;
}

routing::RunEvidence Relay::askAboutRun(const RequestContext& context, const routing::WorkerEntry& worker, transport::CancelToken& cancel)
{
    if (this->vm.fleet.isHeld(worker.id, monotonicNow()))
        return routing::RunEvidence::NoAnswer;
    auto reply = platform::probeRun(this->vm.controlClient, worker, context.head.id, cancel);
    this->peers.recordStatements(worker, reply, "probe");
    return reply.value;
}

std::unique_ptr<Relay::Attempt> Relay::resumeElsewhere(RequestContext& context, const std::string& worker, Time deadline, transport::CancelToken& cancel)
{
    auto selection = this->chooseResumeWorker(context, worker);
    if (!selection)
        return nullptr;
    if (context.hasUsableBackup()) {
        context.resumeWorker = std::exchange(context.backupWorker, std::nullopt);
        this->waitForAdapter(context, *context.resumeWorker);
    }
    increment(this->vm.counters, RetryReason::Resumed);
    auto timeLimit = std::chrono::duration_cast<milliseconds>(deadline - monotonicNow());
    Result<std::unique_ptr<Attempt>, SendResult> started = SendResult::NotSent;
    if (timeLimit > milliseconds { 0 } && !cancel.isCancelled())
        started = this->startAttempt(context, *selection, timeLimit, cancel);
    context.resumeWorker.reset();
    auto failure = started ? this->awaitEvent(context, *started.value(), deadline) : started.error();
    if (!failure)
        return std::move(started.value());
    if (mayHaveRun(*failure))
        context.possibleRuns++;
    // It was chosen for the attempt that failed.
    context.backupWorker.reset();
    return nullptr;
}

std::optional<Relay::SendResult> Relay::awaitEvent(RequestContext& context, Attempt& attempt, Time deadline)
{
    // The request's own reservation is for the attempt that this one may replace.
    transport::BufferReservation buffered(this->vm.bufferMemory);
    while (monotonicNow() < deadline) {
        auto chunk = attempt.stream->read(std::chrono::ceil<milliseconds>(deadline - monotonicNow()));
        if (!chunk)
            return this->recordSendError(context, attempt.selection, chunk.error());
        if (!this->tryHold(buffered, attempt.buffer.size() + chunk.value().size()))
            return this->handleOversizedAnswer(context, attempt.selection, attempt.buffer.size());
        attempt.buffer.append(chunk.value());
        auto events = platform::findEvents(attempt.buffer, context.lastEventId);
        if (events.count > 0)
            return std::nullopt;
        if (events.ended || chunk.value().empty() || attempt.buffer.size() > maxEventBytes)
            break;
    }
    return this->handleInvalidAnswer(context, attempt.selection);
}

/// Finds out what has become of the run of a silent stream, and has it go on elsewhere if need be, on a fiber of its own: the stream is
/// read in the meantime.
class Relay::StreamRescue {
public:
    StreamRescue(Relay& relay, RequestContext& context, const Attempt& silent)
        : relay(relay)
        , context(context)
        , worker(silent.selection)
        , lastEventAt(silent.lastEventAt)
    {
        transport::spawnOnCurrentThread([this] {
            this->run();
            this->done = true;
        });
    }
    ~StreamRescue()
    {
        this->abandon();
        this->wait();
        // Backup copies were asked for in the attempt that is dropped.
        if (this->attempt)
            this->context.backupWorker.reset();
    }
    StreamRescue(const StreamRescue&) = delete;
    StreamRescue& operator=(const StreamRescue&) = delete;

    bool isDone() const { return this->done; }
    /// Returns whether the rescue has ended with an attempt that goes on elsewhere.
    bool hasAttempt() const { return this->done && this->attempt && !this->cancel.isCancelled(); }
    /// Gives the rescue up because the stream has gone on.
    void abandon() { this->cancel.cancel(); }
    /// Waits until the rescue has ended, or the request was cancelled.
    void wait()
    {
        while (!this->done) {
            if (this->context.isCancelled())
                this->abandon();
            sleepFor(rescuePollInterval);
        }
    }
    /// Returns the attempt that replaces the silent one; null if there is none or the rescue was given up.
    std::unique_ptr<Attempt> takeAttempt()
    {
        if (!this->hasAttempt())
            return nullptr;
        this->attempt->stream->setCancelToken(&this->context.cancel);
        return std::move(this->attempt);
    }

private:
    void run()
    {
        auto patience = callerPatience(*this->context.route);
        auto evidence = this->relay.askAboutRun(this->context, this->worker.entry, this->cancel);
        auto silence = routing::silenceBeforeResume(evidence, patience);
        while (silence && !this->cancel.isCancelled() && monotonicNow() < this->lastEventAt + *silence)
            sleepFor(rescuePollInterval);
        auto now = monotonicNow();
        auto deadline = std::min<Time>(this->context.deadline - replyReserve, std::max<Time>(now + minAttemptTimeout, this->lastEventAt + patience));
        if (silence && !this->cancel.isCancelled())
            this->attempt = this->relay.resumeElsewhere(this->context, this->worker.id, deadline, this->cancel);
        this->relay.log.info("event=stream_silent id=" + escapeForLog(this->context.head.id) + " worker=" + escapeForLog(this->worker.id) + " silent_ms=" + formatMilliseconds(now - this->lastEventAt) + " evidence=" + routing::name(evidence)
            + " last_event=" + escapeForLog(this->context.lastEventId.value_or("-")) + " resumed_on=" + (this->attempt ? escapeForLog(this->attempt->selection.id) : "-"));
    }

    Relay& relay;
    RequestContext& context;
    const Fleet::Selection worker;
    const Time lastEventAt;
    transport::CancelToken cancel;
    std::unique_ptr<Attempt> attempt; ///< Set at the end if the run goes on elsewhere.
    bool done = false;
};

Relay::SendResult Relay::relayStream(RequestContext& context, std::unique_ptr<Attempt> attempt)
{
    std::unique_ptr<StreamRescue> rescue; // Null unless the stream is silent.
    while (true) {
        // Bytes may arrive without end, so that no read ever times out.
        if (context.remaining() <= milliseconds { 0 }) {
            auto result = this->handleSendError(context, attempt->selection, IoError::Timeout);
            return result == SendResult::CallerGone || !context.streamStarted ? result : SendResult::Resumable;
        }
        if (attempt->buffer.size() > maxEventBytes || !this->tryHold(context.buffered, attempt->buffer.size())) {
            auto result = this->handleOversizedAnswer(context, attempt->selection, attempt->buffer.size());
            return context.streamStarted ? SendResult::Resumable : result;
        }
        if (rescue && rescue->isDone()) {
            auto next = rescue->takeAttempt();
            rescue.reset();
            context.workerId = attempt->selection.id;
            attempt->nextSilenceCheckAt = monotonicNow() + streamIdleTimeout(*context.route);
            if (next) {
                this->replaceAttempt(context, attempt, std::move(next));
                if (auto result = this->forwardEvents(context, *attempt))
                    return *result;
            }
        }
        // `possibleRuns` does not count the current attempt yet.
        bool canResume = context.hasUsableBackup() || (context.route->resumable && context.possibleRuns + 1 < context.route->maxAttempts);
        auto silenceCheckAt = std::max(attempt->lastEventAt + streamIdleTimeout(*context.route), attempt->nextSilenceCheckAt);
        bool checksSilence = !rescue && canResume && context.streamStarted && silenceCheckAt < context.deadline;
        auto wait = std::max(context.remaining(), milliseconds { 1 });
        if (rescue)
            wait = std::min(wait, rescuePollInterval);
        else if (checksSilence)
            wait = std::max(milliseconds { 1 }, std::chrono::ceil<milliseconds>(silenceCheckAt - monotonicNow()));
        auto chunk = attempt->stream->read(wait);
        if (!chunk && chunk.error() == IoError::Timeout && (rescue || checksSilence)) {
            bool silent = this->vm.fleet.isSilent(attempt->selection.id, streamIdleTimeout(*context.route), monotonicNow());
            if (!rescue && silent)
                rescue = std::make_unique<StreamRescue>(*this, context, *attempt);
            else if (!rescue)
                attempt->nextSilenceCheckAt = monotonicNow() + streamIdleTimeout(*context.route);
            continue;
        }
        if (!chunk && rescue) {
            rescue->wait();
            if (rescue->hasAttempt())
                continue;
        }
        if (!chunk) {
            auto result = this->handleSendError(context, attempt->selection, chunk.error());
            if (result == SendResult::CallerGone || !context.streamStarted)
                return result;
            return SendResult::Resumable;
        }
        if (chunk.value().empty())
            break;
        attempt->buffer.append(chunk.value());
        auto eventBefore = attempt->lastEventAt;
        if (auto result = this->forwardEvents(context, *attempt))
            return *result;
        if (rescue && attempt->lastEventAt != eventBefore)
            rescue->abandon();
    }
    // The answer ended within an event or before its first one. A resumed stream without an event may be an error just as well.
    if (!attempt->buffer.empty() || attempt->awaitsFirstEvent)
        return context.streamStarted ? SendResult::Resumable : this->handleSendError(context, attempt->selection, IoError::Closed);
    this->recordProgress(context);
    context.outcome = "answered";
    increment(this->vm.counters, CountedEvent::Answers);
    if (!context.writer.finishStream())
        context.outcome = name(RefusalReason::CallerGone);
    return SendResult::Answered;
}

void Relay::replaceAttempt(RequestContext& context, std::unique_ptr<Attempt>& attempt, std::unique_ptr<Attempt> next)
{
    // The run at the silent worker ends with its connection.
    context.possibleRuns++;
    this->recordFailedWorker(context, attempt->selection.id);
    context.workerId = next->selection.id;
    attempt = std::move(next);
}

} // namespace comfreypier::edge
