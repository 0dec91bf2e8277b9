#include "relay.h"

namespace comfreypier::edge {

namespace {

    using transport::IoError;

    /// Time that a caller waits if it does not say.
    constexpr milliseconds defaultPatience { 30000 };
    /// Part of the caller's time that is left for the way back.
    constexpr milliseconds returnTime { 8 };
    /// Longest wait for the adapter of a run that goes on elsewhere: a caller gives up after eight target gaps.
    constexpr milliseconds adapterPatience { 500 };
    /// Pause between two tries to find a worker for a waiting request after a change,
    constexpr milliseconds waitStep { 5 };
    /// and without one: times pass too, such as that for which a full worker is left alone.
    constexpr milliseconds idleWaitStep { 40 };
    /// A repeatable request is sent to another worker after this many target latencies without an answer,
    constexpr double silentTargets = 2;
    /// but not before this time.
    constexpr milliseconds silentLeast { 200 };
    /// A stream that may go on elsewhere does so after this silence, or after four of its target gaps: callers give up after
    /// eight, and it takes a while to go on.
    constexpr milliseconds streamSilenceLeast { 700 };
    constexpr int streamSilenceGaps = 4;
    /// Retry-After for obstacles that pass soon.
    constexpr milliseconds soon { 200 };
    /// Retry-After while no configuration is known: the store is away, or this VM has just started.
    constexpr milliseconds later { 2000 };
    /// Retry-After of a VM that leaves: the caller comes back at another one.
    constexpr milliseconds atOnce { 0 };
    /// Worker seconds that an output token takes in a batch, for the demand figures.
    constexpr double secondsPerOutputToken = 0.0003;
    /// Most output tokens that are assumed for a request.
    constexpr uint32_t outputTokensMost = 1200;

    /// Callers give a stream up that is silent for this long, for four target latencies or for eight target gaps.
    constexpr milliseconds firstEventPatience { 2000 };

    /// Largest answer that is kept whole before it is passed on, in bytes: some at once must fit a VM's memory.
    constexpr uint64_t wholeAnswerLimit = 16ULL * 1024 * 1024;

    /// Urgency at the workers: the route's rank, split by how tight its target is.
    uint32_t urgencyOf(const routing::Route& route)
    {
        constexpr uint32_t ranks = 4;
        constexpr milliseconds tight { 1000 };
        return std::min(route.priority, ranks) * 2 + (route.targetLatency > tight ? 1 : 0);
    }

    /// Worker seconds that a request takes.
    double workOf(const routing::RequestShape& shape, uint32_t kept)
    {
        return routing::prefillTime(shape.promptTokens - std::min(kept, shape.promptTokens)).count() + shape.outputTokens * secondsPerOutputToken;
    }

    bool promisesNotRun(unsigned status)
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

/// One request on its way.
struct Relay::Exchange {
    Exchange(const transport::HttpRequest& request, transport::ResponseWriter& writer)
        : request(request)
        , writer(writer)
        , head(platform::decodeRequestHead(request))
        , startedAt(monotonicNow())
    {
    }

    const transport::HttpRequest& request;
    transport::ResponseWriter& writer;
    platform::RequestHead head;
    Time startedAt;
    Time until { 0 }; ///< The caller's or the route's time is over.
    Time firstUntil { 0 }; ///< The caller gives up if nothing has come by then.
    ConfigurationPtr configuration;
    const routing::Route* route = nullptr;
    const routing::Service* service = nullptr;
    std::vector<uint64_t> chains;
    transport::CallCancel cancel;
    std::set<std::string> excluded; ///< Workers that failed this request.
    uint32_t sends = 0;
    uint32_t mayHaveRun = 0; ///< Workers that may have run it.
    bool streamStarted = false;
    std::optional<std::string> lastEvent; ///< Last event that was passed on.
    std::optional<routing::WorkerEntry> backup; ///< Worker that receives a copy of the run.
    std::optional<routing::WorkerEntry> continueAt; ///< Worker at which the run goes on from such a copy.
    std::optional<transport::HttpResponse> failure; ///< A worker's own error, passed on if nothing better comes.
    SendResult lastResult = SendResult::NotSent;
    // For the log line.
    std::string worker;
    std::string outcome = "none";
    unsigned status = 0;
    uint32_t kept = 0;
    Time expected { 0 };
    Time waited { 0 };
    Time firstByte { 0 };
    Time entryAge { 0 };

    bool gone() const { return this->cancel.isCancelled(); }
    milliseconds left() const { return std::chrono::duration_cast<milliseconds>(this->until - monotonicNow()); }
    bool hasSoundCopy() const { return this->backup && !this->excluded.contains(this->backup->id); }
    bool repeatable() const { return this->route->idempotent || this->route->resumable; }
};

Relay::Relay(Vm& vm, Peers& peers)
    : vm(vm)
    , peers(peers)
{
}

transport::HttpResponse Relay::refuseMalformed(unsigned status, std::string_view reason)
{
    return platform::makeRefusal(status, "", reason, std::nullopt);
}

void Relay::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    increment(this->vm.counters, CountedEvent::Requests);
    Exchange x(request, writer);
    writer.watchCaller([&x] { x.cancel.cancel(); });
    if (this->findTarget(x))
        this->run(x);
    writer.unwatchCaller();
    this->vm.counters.totalTime.record(monotonicNow() - x.startedAt);
    this->writeLog(x);
}

void Relay::writeLog(const Exchange& x)
{
    this->log.info("event=request id=" + x.head.id + " route=" + (x.route ? x.route->name : "-") + " version=" + (x.configuration ? std::to_string(x.configuration->version) : "-")
        + " model=" + x.head.shape.model + (x.head.shape.adapter.empty() ? "" : "/" + x.head.shape.adapter)
        + " tokens=" + std::to_string(x.head.shape.promptTokens) + " kept=" + std::to_string(x.kept)
        + " worker=" + (x.worker.empty() ? "-" : x.worker) + " entry_age_ms=" + formatMilliseconds(x.entryAge) + " sends=" + std::to_string(x.sends)
        + " waited_ms=" + formatMilliseconds(x.waited) + " expected_ms=" + formatMilliseconds(x.expected) + " first_ms=" + formatMilliseconds(x.firstByte)
        + " total_ms=" + formatMilliseconds(monotonicNow() - x.startedAt) + " status=" + std::to_string(x.status) + " outcome=" + x.outcome);
}

void Relay::refuse(Exchange& x, unsigned status, RefusalReason refusal, std::optional<milliseconds> retryAfter)
{
    increment(this->vm.counters, refusal);
    // What finds no place is demand too: without it a model whose workers are full would never get another copy.
    bool crowded = refusal == RefusalReason::NoRoom || refusal == RefusalReason::Hopeless;
    if (crowded && x.sends == 0 && x.service != nullptr && x.service->engine)
        this->peers.recordWork(x.head.shape.model, workOf(x.head.shape, 0));
    x.outcome = name(refusal);
    x.status = status;
    if (x.gone()) {
        x.writer.abort();
        return;
    }
    x.writer.send(platform::makeRefusal(status, x.head.id, name(refusal), retryAfter));
}

bool Relay::findTarget(Exchange& x)
{
    x.configuration = this->vm.fleet.configuration();
    if (this->vm.status.refusing) {
        this->refuse(x, 503, RefusalReason::Leaving, atOnce);
        return false;
    }
    if (!x.configuration || !this->vm.status.workersKnown) {
        this->refuse(x, 503, RefusalReason::NoConfiguration, later);
        return false;
    }
    x.route = routing::findRoute(*x.configuration, transport::findHeader(x.request.headers, "Host"), transport::targetPath(x.request.target));
    if (x.route == nullptr) {
        this->refuse(x, 404, RefusalReason::NoRoute, std::nullopt);
        return false;
    }
    x.service = routing::pickService(*x.configuration, *x.route, x.head.id);
    if (x.service == nullptr) {
        this->refuse(x, 503, RefusalReason::NoService, soon);
        return false;
    }
    auto patience = x.head.timeLeft.value_or(defaultPatience);
    if (x.route->timeout > milliseconds { 0 })
        patience = std::min(patience, x.route->timeout);
    x.until = x.startedAt + patience;
    x.firstUntil = x.until;
    if (x.route->streaming)
        x.firstUntil = std::min<Time>(x.until, x.startedAt + std::max({ firstEventPatience, 4 * x.route->targetLatency, 8 * x.route->targetGap }));
    x.head.shape.outputTokens = std::min(x.head.shape.outputTokens, outputTokensMost);
    if (x.service->engine) {
        x.chains = routing::hashPrefixes(x.head.shape);
        if (x.head.shape.promptTokens == 0) {
            for (const auto& part : x.head.shape.parts)
                x.head.shape.promptTokens += part.tokens;
        }
    }
    if (this->crashesWorkers(x)) {
        this->refuse(x, 503, RefusalReason::CrashesWorkers, std::nullopt);
        return false;
    }
    return true;
}

bool Relay::crashesWorkers(const Exchange& x)
{
    std::lock_guard lock(this->peers.poisonRequestsMutex);
    return this->peers.poisonRequests.isPoison(x.head.shape.contentHash);
}

routing::RetryBudget& Relay::repeatLimit(const std::string& service)
{
    const auto& settings = this->vm.settings;
    auto [found, added] = this->limits.try_emplace(service, settings.retryRatio, settings.retrySlack, settings.retryWindow);
    return found->second;
}

bool Relay::mayRepeat(Exchange& x, SendResult result)
{
    bool ran = result != SendResult::NotSent && result != SendResult::NotRun;
    bool again = x.repeatable() && x.mayHaveRun < x.route->maxAttempts;
    if (x.left() <= returnTime)
        return false;
    // A run that goes on from its copy is still the same run; before its first event there may be no copy yet.
    if (ran && !again && x.hasSoundCopy() && x.streamStarted && result != SendResult::Failed)
        x.continueAt = std::exchange(x.backup, std::nullopt);
    if (ran && !again && !x.continueAt)
        return false;
    if (!ran && x.mayHaveRun > 0 && !again)
        return false;
    std::lock_guard lock(this->mutex);
    return this->repeatLimit(x.service->name).tryAcquire(monotonicNow(), this->peers.aliveVmCount());
}

/// Tells the holder of the lease what a request waits for.
class Relay::Missing {
public:
    explicit Missing(Peers& peers)
        : peers(peers)
    {
    }
    ~Missing() { this->set(std::nullopt); }
    Missing(const Missing&) = delete;
    Missing& operator=(const Missing&) = delete;

    void set(const std::optional<MissingItem>& next)
    {
        if (this->want == next)
            return;
        if (this->want)
            this->peers.removeMissingItem(*this->want);
        this->want = next;
        if (next)
            this->peers.addMissingItem(*next);
    }

private:
    Peers& peers;
    std::optional<MissingItem> want;
};

/// Waits until a worker can take the request. @return false if the request was refused or the caller has gone.
bool Relay::waitForWorker(Exchange& x, Fleet::Selection& picked)
{
    constexpr std::array<RefusalReason, static_cast<size_t>(routing::BlockReason::Count)> refusals {
        RefusalReason::NoWorker, RefusalReason::NoWorker, RefusalReason::Unreachable, RefusalReason::NoModel, RefusalReason::NoAdapter, RefusalReason::NoRoom
    };
    const auto& shape = x.head.shape;
    Missing missing(this->peers);
    auto startedAt = monotonicNow();
    while (!x.gone()) {
        auto now = monotonicNow();
        picked = this->vm.fleet.chooseWorker(*x.service, shape, x.chains, x.excluded, x.route->targetLatency, now);
        auto obstacle = picked.choice.blockReason;
        x.waited += now - std::exchange(startedAt, now);
        if (obstacle == routing::BlockReason::None)
            return true;
        if (obstacle == routing::BlockReason::NoModel)
            missing.set(MissingItem { "", shape.model, "" });
        else if (obstacle == routing::BlockReason::NoAdapter)
            missing.set(MissingItem { picked.id, shape.model, shape.adapter });
        auto decision = routing::decideWait(picked.choice, routing::findModel(*x.service, shape.model), now - x.startedAt, x.firstUntil - x.startedAt);
        if (!decision.admitted) {
            if (x.mayHaveRun > 0)
                this->finish(x, x.lastResult);
            else
                this->refuse(x, 503, refusals[static_cast<size_t>(obstacle)], decision.retryAfter);
            return false;
        }
        auto seen = this->vm.fleet.changes();
        do
            sleepFor(waitStep);
        while (!x.gone() && this->vm.fleet.changes() == seen && monotonicNow() - now < idleWaitStep);
    }
    this->refuse(x, 0, RefusalReason::CallerGone, std::nullopt);
    return false;
}

/// Waits until the adapter of a run is where it is to go on.
void Relay::waitForAdapter(Exchange& x, const routing::WorkerEntry& worker)
{
    const auto& shape = x.head.shape;
    if (shape.adapter.empty() || this->vm.fleet.holdsAdapter(worker.id, shape))
        return;
    MissingItem want { worker.id, shape.model, shape.adapter };
    this->peers.addMissingItem(want);
    auto until = monotonicNow() + adapterPatience;
    while (!x.gone() && monotonicNow() < until && !this->vm.fleet.holdsAdapter(worker.id, shape))
        sleepFor(waitStep);
    this->peers.removeMissingItem(want);
}

void Relay::run(Exchange& x)
{
    {
        std::lock_guard lock(this->mutex);
        this->repeatLimit(x.service->name).recordRequest(monotonicNow());
    }
    while (true) {
        Fleet::Selection picked;
        if (x.continueAt) {
            this->waitForAdapter(x, *x.continueAt);
            picked.id = x.continueAt->id;
            picked.entry = *x.continueAt;
            picked.choice.cachedTokens = x.head.shape.promptTokens;
        } else if (x.streamStarted) {
            picked = this->vm.fleet.chooseWorker(*x.service, x.head.shape, x.chains, x.excluded, x.route->targetLatency, monotonicNow());
            if (picked.choice.blockReason != routing::BlockReason::None)
                return this->finish(x, SendResult::Resumable);
        } else if (!this->waitForWorker(x, picked))
            return;
        if (!x.streamStarted && !x.continueAt && x.mayHaveRun == 0) {
            auto decision = routing::decideSend(picked.choice, x.firstUntil - monotonicNow());
            if (!decision.admitted)
                return this->refuse(x, 503, RefusalReason::Hopeless, decision.retryAfter);
        }
        auto result = this->sendOnce(x, picked);
        x.continueAt.reset();
        x.lastResult = result;
        if (result == SendResult::Answered || result == SendResult::Gone)
            return;
        if (result != SendResult::NotSent && result != SendResult::NotRun)
            x.mayHaveRun++;
        if (!this->mayRepeat(x, result))
            return this->finish(x, result);
        constexpr std::array<RetryReason, static_cast<size_t>(SendResult::Count)> reasons {
            RetryReason::Failed, RetryReason::NotSent, RetryReason::NotRun, RetryReason::Broken, RetryReason::Silent, RetryReason::Unusable, RetryReason::Failed, RetryReason::Resumed, RetryReason::Failed
        };
        increment(this->vm.counters, reasons[static_cast<size_t>(result)]);
        this->log.info("event=repeat id=" + x.head.id + " worker=" + picked.id + " reason=" + name(reasons[static_cast<size_t>(result)]) + " left_ms=" + std::to_string(x.left().count()));
    }
}

/// Ends a request that is not sent again.
void Relay::finish(Exchange& x, SendResult result)
{
    if (x.streamStarted) {
        increment(this->vm.counters, CountedEvent::StreamsCut);
        x.outcome = "cut";
        x.writer.abort();
        return;
    }
    if (x.gone())
        return this->refuse(x, 0, RefusalReason::CallerGone, std::nullopt);
    if (x.failure) {
        x.status = x.failure->status;
        x.outcome = "worker_error";
        x.writer.send(*x.failure);
        return;
    }
    if (x.mayHaveRun == 0)
        return this->refuse(x, 503, result == SendResult::NotSent ? RefusalReason::Unreachable : RefusalReason::NoRoom, soon);
    bool late = x.left() <= returnTime;
    this->refuse(x, late ? 504 : 502, late ? RefusalReason::TimedOut : RefusalReason::WorkerFailed, std::nullopt);
}

Relay::SendResult Relay::sendOnce(Exchange& x, const Fleet::Selection& picked)
{
    auto left = x.left();
    if (left <= returnTime)
        return SendResult::NotRun;
    const auto& shape = x.head.shape;
    double capacity = x.service->engine ? x.service->engine->kvCacheTokens : 0;
    x.worker = picked.id;
    x.kept = picked.choice.cachedTokens;
    x.expected = picked.choice.timeToFirstByte;
    x.entryAge = picked.entryAge;
    x.sends++;
    auto ticket = this->vm.fleet.reserve(picked.id, shape, x.chains, x.kept, capacity);
    if (x.service->engine) {
        this->peers.recordWork(shape.model, workOf(shape, x.kept));
        if (!shape.adapter.empty())
            this->peers.recordAdapterUse({ picked.id, shape.model, shape.adapter });
    }
    platform::WorkerCall call { picked.id, left - returnTime, urgencyOf(*x.route), x.lastEvent ? x.lastEvent : x.head.resumeAfter };
    if (x.continueAt)
        call.backupOf = picked.entry.address;
    x.backup.reset();
    if (x.route->streaming && !x.route->resumable && routing::isBackupWorthwhile(*x.service, shape))
        x.backup = this->vm.fleet.chooseBackup(*x.service, shape, picked.entry, monotonicNow());
    if (x.backup)
        call.backupAt = x.backup->address;
    auto request = platform::makeWorkerRequest(x.request, call);
    transport::CallLimits limits;
    limits.connect = std::min<milliseconds>(left, std::max(silentLeast, left / 4));
    limits.response = left;
    limits.bodyLimit = x.route->streaming ? UINT64_MAX : wholeAnswerLimit;
    limits.cancel = &x.cancel;
    bool canGoElsewhere = x.repeatable() && x.mayHaveRun + 1 < x.route->maxAttempts;
    if (canGoElsewhere && !x.route->streaming)
        limits.response = std::min(left, std::max(silentLeast, std::chrono::duration_cast<milliseconds>(x.route->targetLatency * silentTargets)));
    auto sentAt = monotonicNow();
    auto opened = this->vm.client.open(picked.entry.address, request, limits);
    if (!opened)
        return this->noteSendError(x, picked, opened.error());
    auto stream = std::move(opened.value());
    auto head = platform::decodeAnswerHead(stream->status(), stream->headers());
    if (head.requestId != x.head.id && !(head.notRun && head.requestId.empty()))
        return this->noteUnusable(x, picked);
    if (head.notRun)
        return this->judgeNotRun(x, picked, head);
    if (!head.plainBody || (!head.authentic && stream->status() < 300))
        return this->noteUnusable(x, picked);
    // The caller has the head of a stream already: nothing but more of it can follow.
    if (x.streamStarted && stream->status() != 200)
        return this->noteUnusable(x, picked);
    if (x.route->streaming && stream->status() == 200)
        return this->relayStream(x, picked, *stream, ticket);
    auto result = this->readWhole(x, picked, *stream);
    auto took = monotonicNow() - sentAt;
    bool failed = (result != SendResult::Answered && result != SendResult::Gone) || stream->status() >= 500;
    auto expected = x.route->streaming ? Time { 0 } : x.expected;
    if (result != SendResult::Gone)
        this->vm.fleet.updateWorker(picked.id, [&](routing::Worker& worker) { routing::recordAnswer(worker, failed, expected, took, monotonicNow()); });
    return result;
}

Relay::SendResult Relay::noteUnusable(Exchange& x, const Fleet::Selection& picked)
{
    this->vm.fleet.updateWorker(picked.id, [](routing::Worker& worker) { routing::recordAnswer(worker, true, Time { 0 }, Time { 0 }, monotonicNow()); });
    x.excluded.insert(picked.id);
    return SendResult::Unusable;
}

Relay::SendResult Relay::noteSendError(Exchange& x, const Fleet::Selection& picked, IoError error)
{
    if (x.gone() || error == IoError::Cancelled) {
        this->refuse(x, 0, RefusalReason::CallerGone, std::nullopt);
        return SendResult::Gone;
    }
    auto now = monotonicNow();
    x.excluded.insert(picked.id);
    if (transport::isBeforeSend(error)) {
        this->vm.fleet.updateWorker(picked.id, [now](routing::Worker& worker) { routing::recordUnreachable(worker, now); });
        std::lock_guard lock(this->peers.poisonRequestsMutex);
        if (error == IoError::Refused)
            this->peers.poisonRequests.recordCrash(picked.id, now);
        return SendResult::NotSent;
    }
    this->vm.fleet.updateWorker(picked.id, [now](routing::Worker& worker) { routing::recordAnswer(worker, true, Time { 0 }, Time { 0 }, now); });
    if (error == IoError::Timeout)
        return SendResult::Silent;
    std::lock_guard lock(this->peers.poisonRequestsMutex);
    this->peers.poisonRequests.recordBroken(picked.id, x.head.shape.contentHash, now);
    return SendResult::Broken;
}

Relay::SendResult Relay::judgeNotRun(Exchange& x, const Fleet::Selection& picked, const platform::AnswerHead& head)
{
    auto now = monotonicNow();
    const auto& shape = x.head.shape;
    this->vm.fleet.updateWorker(picked.id, [&](routing::Worker& worker) {
        if (!head.otherWorker)
            return routing::recordFull(worker, now);
        // It is another worker, or does not hold what was believed: forget that until its next news.
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

Relay::SendResult Relay::readWhole(Exchange& x, const Fleet::Selection& picked, transport::ResponseStream& stream)
{
    transport::HttpResponse response;
    response.status = stream.status();
    response.headers = platform::callerHeaders(stream.headers());
    while (true) {
        auto piece = stream.read(std::max(x.left(), milliseconds { 1 }));
        if (!piece)
            return this->noteSendError(x, picked, piece.error());
        if (piece.value().empty())
            break;
        response.body.append(piece.value());
    }
    bool good = response.status < 400;
    if (!good && x.repeatable() && response.status >= 500) {
        x.failure = std::move(response);
        x.excluded.insert(picked.id);
        return SendResult::Failed;
    }
    // Such a status would promise that the request did not run, which the worker does not say.
    if (promisesNotRun(response.status)) {
        x.excluded.insert(picked.id);
        return SendResult::Unusable;
    }
    x.firstByte = monotonicNow() - x.startedAt;
    this->vm.counters.timeToFirstByte.record(x.firstByte);
    x.status = response.status;
    x.outcome = good ? "answered" : "worker_error";
    increment(this->vm.counters, CountedEvent::Answers);
    if (!x.writer.send(response))
        x.outcome = name(RefusalReason::CallerGone);
    return SendResult::Answered;
}

/// Passes the complete events of `buffer` on. @return false if the caller has gone.
bool Relay::passEvents(Exchange& x, transport::ResponseStream& stream, std::string& buffer)
{
    constexpr std::string_view separator = "\n\n";
    auto end = buffer.rfind(separator);
    if (end == std::string::npos)
        return true;
    end += separator.size();
    std::string_view events(buffer.data(), end);
    auto last = events.substr(0, events.size() - separator.size());
    auto start = last.rfind(separator);
    auto id = platform::eventId(start == std::string_view::npos ? last : last.substr(start + separator.size()));
    if (!x.streamStarted) {
        x.streamStarted = true;
        x.status = stream.status();
        x.firstByte = monotonicNow() - x.startedAt;
        this->vm.counters.timeToFirstByte.record(x.firstByte);
        if (!x.writer.startStream(stream.status(), platform::callerHeaders(stream.headers())))
            return false;
    }
    increment(this->vm.counters, CountedEvent::StreamEvents);
    if (!x.writer.writeChunk(events))
        return false;
    if (id)
        x.lastEvent = id;
    buffer.erase(0, end);
    return true;
}

/// Tells whether a stream that leaves `worker` now would find another place.
bool Relay::couldGoOn(Exchange& x, const std::string& worker)
{
    {
        std::lock_guard lock(this->mutex);
        if (!this->repeatLimit(x.service->name).allowsRetry(monotonicNow(), this->peers.aliveVmCount()))
            return false;
    }
    if (x.hasSoundCopy())
        return true;
    auto excluded = x.excluded;
    excluded.insert(worker);
    auto next = this->vm.fleet.chooseWorker(*x.service, x.head.shape, x.chains, excluded, x.route->targetLatency, monotonicNow());
    return next.choice.blockReason == routing::BlockReason::None;
}

Relay::SendResult Relay::relayStream(Exchange& x, const Fleet::Selection& picked, transport::ResponseStream& stream, LoadReservation& ticket)
{
    std::string buffer;
    auto sentAt = monotonicNow();
    bool first = true;
    while (true) {
        auto wait = std::max(x.left(), milliseconds { 1 });
        bool canGoOn = x.backup || (x.route->resumable && x.mayHaveRun + 1 < x.route->maxAttempts);
        auto patience = std::max(streamSilenceLeast, streamSilenceGaps * x.route->targetGap);
        if (canGoOn && x.streamStarted)
            wait = std::min(wait, patience);
        auto piece = stream.read(wait);
        bool pauses = !piece && piece.error() == IoError::Timeout && wait == patience;
        if (pauses && !(this->vm.fleet.isSilent(picked.id, patience, monotonicNow()) && this->couldGoOn(x, picked.id)))
            continue;
        if (!piece) {
            auto result = this->noteSendError(x, picked, piece.error());
            if (result == SendResult::Gone || !x.streamStarted)
                return result;
            return SendResult::Resumable;
        }
        if (piece.value().empty())
            break;
        buffer.append(piece.value());
        if (!first)
            ticket.recordStreamEvent();
        if (!this->passEvents(x, stream, buffer)) {
            x.outcome = name(RefusalReason::CallerGone);
            return SendResult::Gone;
        }
        if (first && x.streamStarted) {
            first = false;
            this->log.info("event=streaming id=" + x.head.id + " worker=" + picked.id + " backup=" + (x.backup ? x.backup->id : "-") + " sends=" + std::to_string(x.sends) + " first_ms=" + formatMilliseconds(monotonicNow() - x.startedAt));
            ticket.markPrefilled();
            this->vm.fleet.updateWorker(picked.id, [&](routing::Worker& worker) { routing::recordAnswer(worker, false, x.sends == 1 ? x.expected : Time { 0 }, monotonicNow() - sentAt, monotonicNow()); });
        }
    }
    if (!buffer.empty() || !x.streamStarted)
        return x.streamStarted ? SendResult::Resumable : this->noteSendError(x, picked, IoError::Closed);
    x.outcome = "answered";
    increment(this->vm.counters, CountedEvent::Answers);
    if (!x.writer.finishStream())
        x.outcome = name(RefusalReason::CallerGone);
    return SendResult::Answered;
}

} // namespace comfreypier::edge
