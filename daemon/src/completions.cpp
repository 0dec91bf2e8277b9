#include "completions.h"

#include "refuse.h"

#include <algorithm>
#include <boost/json.hpp>

namespace comfreypier::daemon {

namespace json = boost::json;
using protocol::RefusalReason;
using protocol::RetryReason;
using protocol::RunState;

namespace {

    /// Maximum time for which an interrupted stream waits for a worker on which it resumes.
    constexpr std::chrono::seconds resumeTimeout { 30 };
    /// Delay before all workers of the route are tried again after each of them has failed, or none had the item loaded.
    constexpr std::chrono::milliseconds workerRetryDelay { 50 };
    /// Minimum delay before the next attempt. A random time of up to the same length is added.
    constexpr std::chrono::milliseconds retryDelay { 10 };
    /// Retry delay that a refusal gives to the caller.
    constexpr std::chrono::milliseconds overloadRetryAfter { 1000 };
    /// Time limit for the response head, as a multiple of the first-token target.
    constexpr int headTimeoutFactor = 4;
    /// Number of received answers to other requests at which the attempt to relay a stream is given up.
    constexpr int maxCrossedAnswers = 3;
    /// Maximum time for which a poison candidate waits for an idle worker.
    constexpr std::chrono::milliseconds idleWorkerTimeout { 1000 };
    constexpr std::chrono::milliseconds idleWorkerPollInterval { 25 };

    /// Maximum JSON nesting depth of an answer.
    constexpr size_t maxAnswerDepth = 256;

    /// Result of one attempt to run a request on a worker.
    enum class AttemptOutcome {
        Done, ///< The complete answer was sent to the caller.
        CallerGone, ///< The connection to the caller was closed.
        NotSent, ///< No byte was sent to the engine.
        Refused, ///< The engine answered with a status other than 200.
        Cut, ///< The connection closed early, or the response was malformed or lacked a token.
        Silent, ///< No data arrived within the time limit.
        Crossed, ///< The engine sent answers to another request.
        Count
    };

    /// Returns the reason under which a retry after `outcome` is counted.
    RetryReason retryReason(AttemptOutcome outcome)
    {
        switch (outcome) {
        case AttemptOutcome::NotSent:
            return RetryReason::ConnectFailed;
        case AttemptOutcome::Cut:
            return RetryReason::StreamCut;
        case AttemptOutcome::Silent:
            return RetryReason::StreamSilent;
        case AttemptOutcome::Crossed:
            return RetryReason::MismatchedResponse;
        default:
            return RetryReason::EngineRefused;
        }
    }

    /// Returns the outcome of an attempt whose call to the engine failed.
    AttemptOutcome toAttemptOutcome(transport::IoError error)
    {
        if (transport::isConnectError(error))
            return AttemptOutcome::NotSent;
        return error == transport::IoError::Timeout ? AttemptOutcome::Silent : AttemptOutcome::Cut;
    }

    /// Returns a random id, which engine and caller receive as `X-Request-Id`.
    std::string makeRequestId()
    {
        auto id = protocol::makeRandomId();
        char text[40];
        std::snprintf(text, sizeof text, "cmpl-%016llx", static_cast<unsigned long long>(id.low));
        return text;
    }

    /// Returns whether an engine's answer is a whole JSON object. One that ends with its connection may be cut off anywhere.
    bool isCompleteAnswer(std::string_view body)
    {
        json::parse_options options;
        options.max_depth = maxAnswerDepth;
        json::error_code error;
        auto value = json::parse({ body.data(), body.size() }, error, {}, options);
        return !error && value.is_object();
    }

    /// Returns whether the first `id` member in the JSON text `data` is `requestId`.
    bool belongsToRequest(std::string_view data, const std::string& requestId)
    {
        auto position = data.find("\"id\":\"");
        if (position == std::string_view::npos)
            return false;
        // 6 is the length of `"id":"`.
        return data.substr(position + 6).starts_with(requestId + "\"");
    }

} // namespace

/// Relays one completion request. Tries one worker after another until the request is answered, refused or abandoned.
class CompletionRelay {
public:
    CompletionRelay(CompletionHandler& handler, const transport::HttpRequest& request, const protocol::CompletionRequest& parsed, const Route& route, transport::ResponseWriter& writer)
        : handler(handler)
        , node(handler.node)
        , request(request)
        , parsed(parsed)
        , route(route)
        , writer(writer)
        , requestId(makeRequestId())
        , start(monotonicNow())
    {
    }

    /// Makes attempts until the caller has a complete answer or a refusal, its stream was aborted, or it is gone.
    void run()
    {
        this->recordFirstAttempt();
        this->deadline = this->start + this->makeHeadLimits().response;
        while (true) {
            auto worker = this->pickWorker();
            if (!worker || this->failedRecently(*worker)) {
                if (this->waitForWorker())
                    continue;
                this->failRequest(RefusalReason::NoLiveCopy, "no worker with a copy answers");
                return;
            }
            auto begin = monotonicNow();
            this->handler.router.recordRequestStart(worker->name);
            auto outcome = this->parsed.stream ? this->relayStream(*worker) : this->relayAnswer(*worker);
            this->handler.router.recordRequestEnd(worker->name, monotonicNow() - begin);
            if (outcome == AttemptOutcome::Done || outcome == AttemptOutcome::CallerGone) {
                // The engine did not crash while it ran this content.
                this->handler.gossip.clearCrashCount(this->parsed.contentHash);
                return;
            }
            this->mayHaveRun = this->mayHaveRun || outcome != AttemptOutcome::NotSent;
            if (!this->prepareRetry(*worker, outcome))
                return;
        }
    }

private:
    /// Adds the share of a retry that this request earns to the budget of its route.
    void recordFirstAttempt()
    {
        std::lock_guard lock(this->handler.budgetMutex);
        auto& budget = this->handler.budgets[this->route.spec.name];
        budget.share = this->node.settings.retryShare;
        coordination::recordFirstAttempt(budget);
    }

    /// Takes one retry from the budget of the route.
    /// @return false if the budget has none left.
    bool consumeRetryBudget()
    {
        std::lock_guard lock(this->handler.budgetMutex);
        return coordination::tryConsumeRetry(this->handler.budgets[this->route.spec.name]);
    }

    /// Returns whether the worker is avoided because it has just failed. The router chooses such a worker only if it suspects
    /// all that it compares to be down. The request then waits, because a further failure of the worker would be counted as a
    /// crash caused by this request's content.
    bool failedRecently(const RouteWorker& worker) const
    {
        return monotonicNow() < this->node.loads.get(worker.name).downUntil;
    }

    /// Allows all workers again, because none is available, and waits for `workerRetryDelay`.
    /// @return false if the deadline has passed or the caller is gone.
    bool waitForWorker()
    {
        if (monotonicNow() >= this->deadline || this->writer.isCallerGone())
            return false;
        this->excluded.clear();
        sleepFor(workerRetryDelay);
        return true;
    }

    /// Picks the worker for the next attempt from the current route table, or from `route` if it has no such route any more. A
    /// content that has crashed an endpoint before waits up to `idleWorkerTimeout` for a worker on which this node runs no other
    /// request.
    /// @return nothing if no worker may take the request.
    std::optional<RouteWorker> pickWorker()
    {
        if (this->sameWorkerRetry)
            return std::exchange(this->sameWorkerRetry, std::nullopt);
        bool isPoisonCandidate = this->handler.gossip.crashCount(this->parsed.contentHash) > 0;
        auto idleDeadline = monotonicNow() + idleWorkerTimeout;
        auto table = this->handler.router.table();
        auto entry = table->routes.find(this->route.spec.name);
        const auto& current = entry == table->routes.end() ? this->route : entry->second;
        auto worker = this->handler.router.chooseWorker(current, this->parsed.prefixHash, this->excluded, isPoisonCandidate);
        while (isPoisonCandidate && worker && monotonicNow() < idleDeadline && this->node.loads.get(worker->name).inFlight > 0) {
            sleepFor(idleWorkerPollInterval);
            worker = this->handler.router.chooseWorker(current, this->parsed.prefixHash, this->excluded, isPoisonCandidate);
        }
        return worker;
    }

    /// Decides after a failed attempt whether another one is made, and sleeps for the retry delay if so.
    /// @return false if the request is given up. The caller has its refusal then.
    bool prepareRetry(const RouteWorker& worker, AttemptOutcome outcome)
    {
        if (outcome == AttemptOutcome::Cut && !this->recordCrash())
            return false;
        bool isFirstSilence = outcome == AttemptOutcome::Silent && !this->silentWorkers.contains(worker.name);
        // After its first silence, the same worker is tried once more. A stream then uses a new connection, because the peer of
        // the pooled one may have become unreachable.
        if (isFirstSilence) {
            this->silentWorkers.insert(worker.name);
            this->sameWorkerRetry = worker;
            this->freshConnection = true;
        } else {
            this->excluded.insert(worker.name);
            // An engine that refuses is reachable, so other requests may still choose it.
            if (outcome != AttemptOutcome::Refused)
                this->handler.router.recordWorkerFailure(worker.name);
        }
        bool resumesStream = this->deliveredTokens > 0;
        if (resumesStream)
            this->deadline = monotonicNow() + resumeTimeout;
        if (monotonicNow() >= this->deadline) {
            this->failRequest(RefusalReason::EndpointFailed, "every attempt failed");
            return false;
        }
        // Retries of attempts that no engine accepted, and resumptions of streams, do not consume the retry budget.
        bool causedNoLoad = outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Refused;
        if (!resumesStream && !causedNoLoad && !this->consumeRetryBudget()) {
            this->failRequest(RefusalReason::RetryBudget, "the retry budget is spent");
            return false;
        }
        add(this->node.counters, retryReason(outcome));
        if (resumesStream)
            add(this->node.counters, state::Counter::StreamsResumed);
        sleepFor(retryDelay + std::chrono::milliseconds { protocol::makeRandomId().low % static_cast<uint64_t>(retryDelay.count()) });
        return true;
    }

    /// Counts an endpoint crash for this request's content.
    /// @return false if the content has reached `poisonCrashLimit`. The request was refused or aborted then.
    bool recordCrash()
    {
        this->handler.gossip.recordCrash(this->parsed.contentHash);
        if (this->handler.gossip.crashCount(this->parsed.contentHash) < coordination::poisonCrashLimit)
            return true;
        this->failRequest(RefusalReason::PoisonRequest, "endpoints crashed while they ran this request");
        return false;
    }

    /// Counts and sends a refusal. If the head of the stream was sent already, aborts the stream instead.
    void failRequest(RefusalReason reason, const std::string& detail)
    {
        if (this->headSent) {
            add(this->node.counters, reason);
            this->writer.abort();
            return;
        }
        auto runState = this->mayHaveRun ? RunState::Unknown : RunState::NotRun;
        refuse(this->node, this->writer, { reason, runState, overloadRetryAfter, detail });
    }

    /// Returns the request for an engine. The body is that of the caller.
    transport::HttpRequest makeEngineRequest(const RouteWorker& worker) const
    {
        transport::HttpRequest engineRequest { "POST", std::string(transport::targetPath(this->request.target)), {}, this->request.body };
        // Urgent requests get the highest number.
        auto priority = static_cast<int>(protocol::Urgency::Count) - static_cast<int>(this->route.spec.urgency);
        engineRequest.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", this->requestId }, { "X-Item", worker.item }, { "X-Priority", std::to_string(priority) } };
        // The engine resumes the stream after this token.
        if (this->deliveredTokens > 0)
            engineRequest.headers.push_back({ "Last-Event-ID", std::to_string(this->deliveredTokens) });
        return engineRequest;
    }

    /// Returns the limits of an attempt.
    transport::CallLimits makeHeadLimits() const
    {
        transport::CallLimits limits;
        auto targetTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(this->route.spec.firstTokenTarget * headTimeoutFactor);
        limits.response = std::max(this->node.settings.streamIdleTimeout, targetTimeout);
        return limits;
    }

    /// Makes one attempt to run a request that is not streamed, and sends its answer to the caller.
    AttemptOutcome relayAnswer(const RouteWorker& worker)
    {
        auto response = this->node.client.call(worker.endpoint, this->makeEngineRequest(worker), this->makeHeadLimits());
        if (!response)
            return toAttemptOutcome(response.error());
        if (response.value().status != 200)
            return AttemptOutcome::Refused;
        if (!isCompleteAnswer(response.value().body))
            return AttemptOutcome::Cut;
        if (!belongsToRequest(response.value().body, this->requestId)) {
            add(this->node.counters, state::Counter::CrossedAnswersDropped);
            return AttemptOutcome::Crossed;
        }
        auto sent = this->writer.send({ 200, { { "Content-Type", "application/json" }, { "X-Request-Id", this->requestId } }, response.value().body });
        return sent ? AttemptOutcome::Done : AttemptOutcome::CallerGone;
    }

    /// Makes one attempt to start or resume a stream, and forwards its events to the caller until the attempt ends.
    AttemptOutcome relayStream(const RouteWorker& worker)
    {
        auto limits = this->makeHeadLimits();
        limits.freshConnection = std::exchange(this->freshConnection, false);
        limits.maxBodyBytes = UINT64_MAX; // The stream is forwarded event by event.
        auto opened = this->node.client.open(worker.endpoint, this->makeEngineRequest(worker), limits);
        if (!opened)
            return toAttemptOutcome(opened.error());
        auto& stream = *opened.value();
        if (stream.status() != 200)
            return AttemptOutcome::Refused;
        protocol::SseParser parser;
        transport::BufferReservation buffered(this->node.answerMemory);
        this->crossedAnswers = 0;
        while (true) {
            auto chunk = stream.read(this->node.settings.streamIdleTimeout);
            if (!chunk)
                return toAttemptOutcome(chunk.error());
            // An empty chunk is the end of the body, which must not come before the event `[DONE]`.
            if (chunk.value().empty() || !buffered.tryHold(parser.buffer.size() + chunk.value().size()) || !protocol::feedSse(parser, chunk.value()))
                return AttemptOutcome::Cut;
            if (auto outcome = this->relayEvents(parser))
                return *outcome;
        }
    }

    /// Forwards the complete events in the parser to the caller in one write.
    /// @return the outcome if the attempt has ended.
    std::optional<AttemptOutcome> relayEvents(protocol::SseParser& parser)
    {
        protocol::SseEvent event;
        this->pendingEvents.clear();
        std::optional<AttemptOutcome> outcome;
        while (!outcome && protocol::nextSseEvent(parser, event))
            outcome = this->handleEvent(event);
        if (!this->pendingEvents.empty() && !this->sendPendingEvents())
            return AttemptOutcome::CallerGone;
        if (outcome == AttemptOutcome::Done && !this->completeStream())
            return AttemptOutcome::CallerGone;
        return outcome;
    }

    /// Adds an event to `pendingEvents` if it is the next token of this request or the end of its stream. Drops events of other
    /// requests, events without a token's index, and tokens that were delivered before.
    /// @return the outcome if the event ends the attempt.
    std::optional<AttemptOutcome> handleEvent(const protocol::SseEvent& event)
    {
        if (event.data == "[DONE]") {
            this->pendingEvents.append(event.raw);
            return AttemptOutcome::Done;
        }
        if (!belongsToRequest(event.data, this->requestId)) {
            add(this->node.counters, state::Counter::CrossedAnswersDropped);
            return ++this->crossedAnswers >= maxCrossedAnswers ? std::optional(AttemptOutcome::Crossed) : std::nullopt;
        }
        if (!event.id)
            return std::nullopt;
        if (*event.id <= this->deliveredTokens) {
            add(this->node.counters, state::Counter::RepeatedTokensDropped);
            return std::nullopt;
        }
        // The engine skipped a token.
        if (*event.id != this->deliveredTokens + 1)
            return AttemptOutcome::Cut;
        this->deliveredTokens++;
        this->pendingEvents.append(event.raw);
        return std::nullopt;
    }

    /// Sends `pendingEvents` to the caller, after the response head if it was not sent yet.
    /// @return false if the caller is gone.
    bool sendPendingEvents()
    {
        if (!this->headSent) {
            this->headSent = true;
            this->node.firstTokenTimes.record(monotonicNow() - this->start);
            if (!this->writer.startStream(200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" }, { "X-Request-Id", this->requestId } }))
                return false;
        }
        return this->writer.writeChunk(this->pendingEvents);
    }

    /// Counts the tokens and ends the response.
    /// @return false if the caller is gone.
    bool completeStream()
    {
        add(this->node.counters, state::Counter::TokensRelayed, this->deliveredTokens);
        return this->writer.finishStream();
    }

    CompletionHandler& handler;
    Node& node;
    const transport::HttpRequest& request;
    const protocol::CompletionRequest& parsed;
    const Route& route;
    transport::ResponseWriter& writer;
    std::string requestId;
    Time start;
    Time deadline { 0 }; ///< No further attempt starts after this time.
    std::string pendingEvents; ///< Events for the next write to the caller.
    uint64_t deliveredTokens = 0; ///< Number of tokens forwarded to the caller.
    int crossedAnswers = 0; ///< Answers to other requests in the current attempt.
    bool headSent = false;
    bool mayHaveRun = false; ///< An earlier attempt may have sent bytes to an engine.
    bool freshConnection = false; ///< The next attempt to relay a stream must not reuse a connection.
    std::set<std::string> excluded; ///< Workers that failed this request since all were last allowed.
    std::set<std::string> silentWorkers; ///< Workers that were silent once; the request was retried on them.
    std::optional<RouteWorker> sameWorkerRetry; ///< Worker on which the next attempt runs, if set.
};

CompletionHandler::CompletionHandler(Node& node, const Router& router, GossipTask& gossip)
    : node(node)
    , router(router)
    , gossip(gossip)
{
}

void CompletionHandler::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    add(this->node.counters, state::Counter::RequestsCompletion);
    auto parsed = protocol::parseCompletion(request.body);
    if (!parsed) {
        refuse(this->node, writer, makeNotRunRefusal(RefusalReason::BadJson, parsed.error() == protocol::CompletionError::NoModel ? "the body has no 'model'" : "the body is not a JSON object"));
        return;
    }
    auto table = this->router.table();
    auto route = table->routes.find(parsed.value().model);
    if (route == table->routes.end()) {
        refuse(this->node, writer, makeNotRunRefusal(RefusalReason::UnknownModel, "no service declares '" + parsed.value().model + "'"));
        return;
    }
    this->node.demand.countRequest(parsed.value().model);
    if (auto refusal = this->checkAdmission(parsed.value(), route->second)) {
        refuse(this->node, writer, *refusal);
        return;
    }
    CompletionRelay(*this, request, parsed.value(), route->second, writer).run();
}

std::optional<protocol::Refusal> CompletionHandler::checkAdmission(const protocol::CompletionRequest& parsed, const Route& route) const
{
    if (this->gossip.crashCount(parsed.contentHash) >= coordination::poisonCrashLimit)
        return makeNotRunRefusal(RefusalReason::PoisonRequest, "endpoints crashed while they ran this request");
    // A request for a route without workers is not late. It waits for a worker until its deadline.
    bool mayRefuse = !route.workers.empty() && route.spec.urgency != protocol::Urgency::Urgent;
    if (mayRefuse && this->router.minFirstTokenEstimate(route) > route.spec.firstTokenTarget)
        return makeNotRunRefusal(RefusalReason::Late, "the target can't be met now", overloadRetryAfter);
    return std::nullopt;
}

} // namespace comfreypier::daemon
