#include "completions.h"

#include "refuse.h"

#include <algorithm>

namespace comfreypier::daemon {

using protocol::RefusalReason;
using protocol::RetryReason;
using protocol::RunState;

namespace {

    /// Longest time that a stream which has begun waits for a worker to go on.
    constexpr std::chrono::seconds resumePatience { 30 };
    constexpr std::chrono::milliseconds noHolderPause { 50 };
    constexpr std::chrono::milliseconds retryPause { 10 };
    constexpr std::chrono::milliseconds overloadRetryAfter { 1000 };
    /// First-token targets that a stream may wait for its head.
    constexpr int headWaitTargets = 4;
    /// Answers of other requests that are dropped before the connection is given up.
    constexpr int crossedLimit = 3;
    constexpr std::chrono::milliseconds idleWorkerWait { 1000 };
    constexpr std::chrono::milliseconds idleWorkerPoll { 25 };

    /// How one attempt ended.
    enum class AttemptEnd {
        Done,
        CallerGone,
        NotSent, ///< No byte reached the engine.
        Refused, ///< The engine did not take the request.
        Cut, ///< The connection closed early.
        Silent, ///< Nothing came for too long.
        Crossed, ///< The answers were those of another request.
        Count
    };

    RetryReason retryReason(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::NotSent:
            return RetryReason::ConnectFailed;
        case AttemptEnd::Cut:
            return RetryReason::StreamCut;
        case AttemptEnd::Silent:
            return RetryReason::StreamSilent;
        case AttemptEnd::Crossed:
            return RetryReason::CrossedAnswer;
        default:
            return RetryReason::EngineRefused;
        }
    }

    AttemptEnd toAttemptEnd(transport::IoError error)
    {
        if (transport::isBeforeSend(error))
            return AttemptEnd::NotSent;
        return error == transport::IoError::Timeout ? AttemptEnd::Silent : AttemptEnd::Cut;
    }

    std::string makeRequestId()
    {
        auto id = protocol::makeRecordId();
        char text[40];
        std::snprintf(text, sizeof text, "cmpl-%016llx", static_cast<unsigned long long>(id.low));
        return text;
    }

    bool belongsTo(std::string_view data, const std::string& requestId)
    {
        auto member = data.find("\"id\":\"");
        if (member == std::string_view::npos)
            return false;
        return data.substr(member + 6).starts_with(requestId + "\"");
    }

} // namespace

/// One completion request on its way, over as many attempts as it takes.
class CompletionRelay {
public:
    CompletionRelay(CompletionHandler& front, const transport::HttpRequest& request, const protocol::CompletionRequest& parsed, const Route& route, transport::ResponseWriter& writer)
        : front(front)
        , node(front.node)
        , request(request)
        , parsed(parsed)
        , route(route)
        , writer(writer)
        , requestId(makeRequestId())
        , start(monotonicNow())
    {
    }

    void run()
    {
        this->recordFirstAttempt();
        this->deadline = this->start + this->headLimits().response;
        while (true) {
            auto holder = this->pickHolder();
            if (!holder || this->isDown(*holder)) {
                if (this->waitForHolder())
                    continue;
                this->fail(RefusalReason::NoLiveCopy, "no worker with a copy answers");
                return;
            }
            auto begin = monotonicNow();
            this->front.router.recordRequestStart(holder->worker);
            auto end = this->parsed.stream ? this->relayStream(*holder) : this->relayWhole(*holder);
            this->front.router.recordRequestEnd(holder->worker, monotonicNow() - begin);
            if (end == AttemptEnd::Done || end == AttemptEnd::CallerGone) {
                this->front.gossip.clearCrashCount(this->parsed.contentHash);
                return;
            }
            this->everSent = this->everSent || end != AttemptEnd::NotSent;
            if (!this->prepareRetry(*holder, end))
                return;
        }
    }

private:
    void recordFirstAttempt()
    {
        std::lock_guard lock(this->front.budgetMutex);
        auto& budget = this->front.budgets[this->route.spec.name];
        budget.share = this->node.settings.retryShare;
        coordination::recordFirstAttempt(budget);
    }

    bool takeRetryToken()
    {
        std::lock_guard lock(this->front.budgetMutex);
        return coordination::tryConsumeRetry(this->front.budgets[this->route.spec.name]);
    }

    /// Only workers that failed a moment ago are left. Waiting keeps them from counting against this content.
    bool isDown(const RouteWorker& holder) const
    {
        return monotonicNow() < this->node.loads.get(holder.worker).downUntil;
    }

    /// After every holder has failed, waits a moment and lets all of them be tried again.
    bool waitForHolder()
    {
        if (monotonicNow() >= this->deadline || this->writer.callerGone())
            return false;
        this->excluded.clear();
        sleepFor(noHolderPause);
        return true;
    }

    /// Suspected contents wait a while for a worker on which nothing else runs.
    std::optional<RouteWorker> pickHolder()
    {
        if (this->repeatOn)
            return std::exchange(this->repeatOn, std::nullopt);
        bool suspected = this->front.gossip.crashCount(this->parsed.contentHash) > 0;
        auto deadline = monotonicNow() + idleWorkerWait;
        auto table = this->front.router.table();
        auto entry = table->routes.find(this->route.spec.name);
        const auto& current = entry == table->routes.end() ? this->route : entry->second;
        auto holder = this->front.router.pick(current, this->parsed.prefixHash, this->excluded, suspected);
        while (suspected && holder && monotonicNow() < deadline && this->node.loads.get(holder->worker).inFlight > 0) {
            sleepFor(idleWorkerPoll);
            holder = this->front.router.pick(current, this->parsed.prefixHash, this->excluded, suspected);
        }
        return holder;
    }

    /// Decides whether another attempt is made.
    bool prepareRetry(const RouteWorker& holder, AttemptEnd end)
    {
        if (end == AttemptEnd::Cut && !this->recordCrash())
            return false;
        bool firstSilence = end == AttemptEnd::Silent && !this->silentWorkers.contains(holder.worker);
        if (firstSilence) {
            this->silentWorkers.insert(holder.worker);
            this->repeatOn = holder;
            this->freshConnection = true;
        } else {
            this->excluded.insert(holder.worker);
            if (end != AttemptEnd::Refused)
                this->front.router.recordWorkerFailure(holder.worker);
        }
        bool resumes = this->delivered > 0;
        if (resumes)
            this->deadline = monotonicNow() + resumePatience;
        if (monotonicNow() >= this->deadline) {
            this->fail(RefusalReason::EndpointFailed, "every attempt failed");
            return false;
        }
        bool loadsNothing = end == AttemptEnd::NotSent || end == AttemptEnd::Refused;
        if (!resumes && !loadsNothing && !this->takeRetryToken()) {
            this->fail(RefusalReason::RetryBudget, "the retry budget is spent");
            return false;
        }
        add(this->node.counters, retryReason(end));
        if (resumes)
            add(this->node.counters, state::Counter::StreamsResumed);
        sleepFor(retryPause + std::chrono::milliseconds { protocol::makeRecordId().low % static_cast<uint64_t>(retryPause.count()) });
        return true;
    }

    /// Notes that an endpoint crashed under this content. Returns false if it is not to run again.
    bool recordCrash()
    {
        this->front.gossip.recordCrash(this->parsed.contentHash);
        if (this->front.gossip.crashCount(this->parsed.contentHash) < coordination::poisonCrashLimit)
            return true;
        this->fail(RefusalReason::Suspect, "endpoints crashed while they ran this request");
        return false;
    }

    void fail(RefusalReason reason, const std::string& detail)
    {
        if (this->headSent) {
            add(this->node.counters, reason);
            this->writer.abort();
            return;
        }
        auto ran = this->everSent ? RunState::Unknown : RunState::NotRun;
        refuse(this->node, this->writer, { reason, ran, overloadRetryAfter, detail });
    }

    transport::HttpRequest engineRequest(const RouteWorker& holder) const
    {
        transport::HttpRequest out { "POST", std::string(transport::targetPath(this->request.target)), {}, this->request.body };
        auto priority = static_cast<int>(protocol::Urgency::Count) - static_cast<int>(this->route.spec.urgency);
        out.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", this->requestId }, { "X-Item", holder.item }, { "X-Priority", std::to_string(priority) } };
        if (this->delivered > 0)
            out.headers.push_back({ "Last-Event-ID", std::to_string(this->delivered) });
        return out;
    }

    transport::CallLimits headLimits() const
    {
        transport::CallLimits limits;
        auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(this->route.spec.firstTokenTarget * headWaitTargets);
        limits.response = std::max(this->node.settings.silenceLimit, wait);
        limits.bodyLimit = UINT64_MAX;
        return limits;
    }

    AttemptEnd relayWhole(const RouteWorker& holder)
    {
        auto response = this->node.client.call(holder.endpoint, this->engineRequest(holder), this->headLimits());
        if (!response)
            return toAttemptEnd(response.error());
        if (response.value().status != 200)
            return AttemptEnd::Refused;
        if (!belongsTo(response.value().body, this->requestId)) {
            add(this->node.counters, state::Counter::CrossedAnswersDropped);
            return AttemptEnd::Crossed;
        }
        auto sent = this->writer.send({ 200, { { "Content-Type", "application/json" }, { "X-Request-Id", this->requestId } }, response.value().body });
        return sent ? AttemptEnd::Done : AttemptEnd::CallerGone;
    }

    AttemptEnd relayStream(const RouteWorker& holder)
    {
        auto limits = this->headLimits();
        limits.freshConnection = std::exchange(this->freshConnection, false);
        auto opened = this->node.client.open(holder.endpoint, this->engineRequest(holder), limits);
        if (!opened)
            return toAttemptEnd(opened.error());
        auto& stream = *opened.value();
        if (stream.status() != 200)
            return AttemptEnd::Refused;
        protocol::SseParser parser;
        this->crossed = 0;
        while (true) {
            auto piece = stream.read(this->node.settings.silenceLimit);
            if (!piece)
                return toAttemptEnd(piece.error());
            if (piece.value().empty() || !protocol::feedSse(parser, piece.value()))
                return AttemptEnd::Cut;
            if (auto end = this->relayEvents(parser))
                return *end;
        }
    }

    /// Passes on the whole events in the parser, in one write.
    std::optional<AttemptEnd> relayEvents(protocol::SseParser& parser)
    {
        protocol::SseEvent event;
        this->batch.clear();
        std::optional<AttemptEnd> end;
        while (!end && protocol::nextSse(parser, event))
            end = this->takeEvent(event);
        if (!this->batch.empty() && !this->sendBatch())
            return AttemptEnd::CallerGone;
        if (end == AttemptEnd::Done && !this->finish())
            return AttemptEnd::CallerGone;
        return end;
    }

    std::optional<AttemptEnd> takeEvent(const protocol::SseEvent& event)
    {
        if (event.data == "[DONE]") {
            this->batch.append(event.raw);
            return AttemptEnd::Done;
        }
        if (!belongsTo(event.data, this->requestId)) {
            add(this->node.counters, state::Counter::CrossedAnswersDropped);
            return ++this->crossed >= crossedLimit ? std::optional(AttemptEnd::Crossed) : std::nullopt;
        }
        if (!event.id)
            return std::nullopt;
        if (*event.id <= this->delivered) {
            add(this->node.counters, state::Counter::RepeatedTokensDropped);
            return std::nullopt;
        }
        if (*event.id != this->delivered + 1)
            return AttemptEnd::Cut;
        this->delivered++;
        this->batch.append(event.raw);
        return std::nullopt;
    }

    bool sendBatch()
    {
        if (!this->headSent) {
            this->headSent = true;
            this->node.firstTokenTimes.record(monotonicNow() - this->start);
            if (!this->writer.startStream(200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" }, { "X-Request-Id", this->requestId } }))
                return false;
        }
        return this->writer.writeChunk(this->batch);
    }

    bool finish()
    {
        add(this->node.counters, state::Counter::TokensRelayed, this->delivered);
        return this->writer.finishStream();
    }

    CompletionHandler& front;
    Node& node;
    const transport::HttpRequest& request;
    const protocol::CompletionRequest& parsed;
    const Route& route;
    transport::ResponseWriter& writer;
    std::string requestId;
    Time start;
    Time deadline { 0 }; ///< End of the attempts.
    std::string batch;
    uint64_t delivered = 0; ///< Tokens passed on to the caller.
    int crossed = 0;
    bool headSent = false;
    bool everSent = false;
    bool freshConnection = false;
    std::set<std::string> excluded;
    std::set<std::string> silentWorkers;
    std::optional<RouteWorker> repeatOn;
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
    if (auto refusal = this->admit(parsed.value(), route->second)) {
        refuse(this->node, writer, *refusal);
        return;
    }
    CompletionRelay(*this, request, parsed.value(), route->second, writer).run();
}

std::optional<protocol::Refusal> CompletionHandler::admit(const protocol::CompletionRequest& parsed, const Route& route) const
{
    if (this->gossip.crashCount(parsed.contentHash) >= coordination::poisonCrashLimit)
        return makeNotRunRefusal(RefusalReason::Suspect, "endpoints crashed while they ran this request");
    bool mayRefuse = !route.workers.empty() && route.spec.urgency != protocol::Urgency::Urgent;
    if (mayRefuse && this->router.minFirstTokenEstimate(route) > route.spec.firstTokenTarget)
        return makeNotRunRefusal(RefusalReason::Late, "the target can't be met now", overloadRetryAfter);
    return std::nullopt;
}

} // namespace comfreypier::daemon
