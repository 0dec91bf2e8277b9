#include "plain_calls.h"

#include "refuse.h"

#include <algorithm>

namespace comfreypier::daemon {

using coordination::IdempotencyDecision;
using coordination::Verdict;
using protocol::RefusalReason;
using protocol::RunState;

namespace {

    constexpr std::string_view pathPrefix = "/services/";
    constexpr size_t maxKeyBytes = 256;
    /// Maximum wait for the verdict on the begin of an action.
    constexpr std::chrono::milliseconds beginTimeout { 1500 };
    /// Maximum wait until the end of an action was read back.
    constexpr std::chrono::milliseconds endTimeout { 1000 };
    /// Interval at which a repeated request looks for the outcome of the first one.
    constexpr std::chrono::milliseconds outcomePollInterval { 10 };
    /// Retry delay that a refusal gives to the caller.
    constexpr std::chrono::milliseconds logRetryAfter { 2000 };
    /// Time limit of a call, as a multiple of the service's latency target.
    constexpr int timeoutFactor = 3;

    /// Returns whether a header of the caller is sent on to the service. All others are dropped.
    bool isForwardedHeader(std::string_view headerName)
    {
        constexpr std::array<std::string_view, 4> names { "content-type", "accept", "authorization", "idempotency-key" };
        std::string lower(headerName);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        return std::find(names.begin(), names.end(), lower) != names.end();
    }

    /// Returns whether a request is one of the calls that `pattern` describes.
    bool matches(const protocol::CallPattern& pattern, const transport::HttpRequest& request)
    {
        return pattern.method == request.method && std::string_view(request.target).starts_with(pattern.pathPrefix);
    }

    std::chrono::milliseconds callTimeout(const protocol::PlainServiceSpec& spec)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(spec.target * timeoutFactor);
    }

} // namespace

PlainCallHandler::PlainCallHandler(Node& node, LogWriter& writer, const SessionKeeper& session)
    : node(node)
    , writer(writer)
    , session(session)
{
}

void PlainCallHandler::serve(const transport::HttpRequest& request, transport::ResponseWriter& response)
{
    add(this->node.counters, state::Counter::RequestsPlain);
    auto call = this->parseCall(request, response);
    if (!call)
        return;
    if (call->isRetryable)
        this->callRetryable(*call, response);
    else if (call->key.empty())
        this->callAtMostOnce(*call, response);
    else
        this->callWithKey(*call, response);
}

std::optional<PlainCallHandler::Call> PlainCallHandler::parseCall(const transport::HttpRequest& request, transport::ResponseWriter& response)
{
    auto serviceAndPath = std::string_view(request.target).substr(pathPrefix.size());
    auto slash = serviceAndPath.find('/');
    auto name = std::string(serviceAndPath.substr(0, slash));
    auto spec = this->node.config.read([&](const auto& state) {
        auto entry = state.deployment.plainServices.find(name);
        return entry == state.deployment.plainServices.end() ? std::nullopt : std::optional(entry->second);
    });
    if (!spec) {
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::UnknownService, "no service file declares '" + name + "'"));
        return std::nullopt;
    }
    Call call;
    call.spec = std::move(*spec);
    call.request.method = request.method;
    call.request.target = slash == std::string_view::npos ? "/" : std::string(serviceAndPath.substr(slash));
    call.request.body = request.body;
    for (const auto& header : request.headers) {
        if (isForwardedHeader(header.name))
            call.request.headers.push_back(header);
    }
    call.key = std::string(transport::findHeader(request.headers, "Idempotency-Key"));
    if (call.key.size() > maxKeyBytes) {
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::HeaderTooLarge, "Idempotency-Key is longer than 256 bytes"));
        return std::nullopt;
    }
    const auto& patterns = call.spec.nonRetryable;
    call.isRetryable = std::none_of(patterns.begin(), patterns.end(), [&](const protocol::CallPattern& pattern) { return matches(pattern, call.request); });
    return call;
}

Result<transport::HttpResponse, transport::IoError> PlainCallHandler::callAnyEndpoint(const Call& call, bool retryable)
{
    transport::CallLimits limits;
    limits.response = callTimeout(call.spec);
    auto first = protocol::makeRandomId().low % call.spec.endpoints.size();
    transport::IoError error = transport::IoError::Refused;
    bool sent = false;
    for (size_t i = 0; i < call.spec.endpoints.size(); i++) {
        const auto& endpoint = call.spec.endpoints[(first + i) % call.spec.endpoints.size()];
        auto response = this->node.client.call(endpoint, call.request, limits);
        if (response) {
            // The answer to the caller is framed anew.
            response.value().headers = transport::endToEndHeaders(response.value().headers);
            return response;
        }
        if (!sent)
            error = response.error();
        sent = sent || !transport::isConnectError(response.error());
        if (sent && !retryable)
            return error;
        add(this->node.counters, sent ? protocol::RetryReason::StreamCut : protocol::RetryReason::ConnectFailed);
    }
    return error;
}

void PlainCallHandler::callRetryable(const Call& call, transport::ResponseWriter& response)
{
    auto answer = this->callAnyEndpoint(call, true);
    if (answer) {
        response.send(answer.value());
        return;
    }
    bool timedOut = answer.error() == transport::IoError::Timeout;
    auto runState = transport::isConnectError(answer.error()) ? RunState::NotRun : RunState::Unknown;
    refuse(this->node, response, { timedOut ? RefusalReason::EndpointSilent : RefusalReason::EndpointFailed, runState, {}, transport::name(answer.error()) });
}

void PlainCallHandler::callAtMostOnce(const Call& call, transport::ResponseWriter& response)
{
    auto answer = this->callAnyEndpoint(call, false);
    if (answer) {
        add(this->node.counters, state::Counter::ActionsRun);
        response.send(answer.value());
    } else if (transport::isConnectError(answer.error()))
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::EndpointFailed, transport::name(answer.error())));
    else
        refuse(this->node, response, { RefusalReason::OutcomeUnknown, RunState::Unknown, {}, transport::name(answer.error()) });
}

/// The begin of an action is voided if no byte of its request was sent.
/// Model: `firstBeginWins`, `beginBeforeSend`, `voidRefused`.
void PlainCallHandler::callWithKey(const Call& call, transport::ResponseWriter& response)
{
    auto key = coordination::makeActionKey(call.spec.name, call.key);
    auto requestHash = protocol::contentHash(call.request.method + call.request.target + call.request.body);
    auto decision = this->node.region.read([&](const auto& state) { return coordination::checkIdempotencyKey(state.actions, state.sessions, key, requestHash); });
    if (decision != IdempotencyDecision::Run) {
        this->answerRetry(key, requestHash, response);
        return;
    }
    auto token = protocol::makeRandomId().low;
    if (this->beginAction(key, requestHash, token, response))
        this->runAction(call, key, token, response);
}

bool PlainCallHandler::beginAction(const coordination::ActionKey& key, uint64_t requestHash, uint64_t token, transport::ResponseWriter& response)
{
    if (!this->writer.isAvailable()) {
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::LogUnavailable, "the log service does not answer", logRetryAfter));
        return false;
    }
    if (this->session.current() == protocol::invalidOffset) {
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::SessionLapsed, "this node has no session", logRetryAfter));
        return false;
    }
    state::PendingEntryPtr pending;
    bool mayStillApply = false;
    auto outcome = this->writer.appendAndWait(protocol::ActionBegin { key, requestHash, token }, beginTimeout, pending, mayStillApply);
    if (!outcome) {
        // The begin may still take effect, but its request will not run.
        if (mayStillApply)
            this->writer.append(protocol::ActionVoid { key, token });
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::LogUnavailable, "the log service does not answer", logRetryAfter));
        return false;
    }
    if (outcome->verdict == Verdict::KeyTaken) {
        this->answerRetry(key, requestHash, response);
        return false;
    }
    if (outcome->verdict != Verdict::Applied) {
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::SessionLapsed, "this node's session has ended", logRetryAfter));
        return false;
    }
    return true;
}

void PlainCallHandler::runAction(const Call& call, const coordination::ActionKey& key, uint64_t token, transport::ResponseWriter& response)
{
    auto answer = this->callAnyEndpoint(call, false);
    protocol::ActionEnd end { key, token, 0, {}, {}, false };
    if (!answer && transport::isConnectError(answer.error())) {
        this->writer.append(protocol::ActionVoid { key, token });
        refuse(this->node, response, makeNotRunRefusal(RefusalReason::EndpointFailed, transport::name(answer.error())));
        return;
    }
    if (!answer) {
        this->recordActionEnd(end);
        refuse(this->node, response, { RefusalReason::OutcomeUnknown, RunState::Unknown, {}, transport::name(answer.error()) });
        return;
    }
    add(this->node.counters, state::Counter::ActionsRun);
    end.status = static_cast<uint16_t>(answer.value().status);
    end.contentType = std::string(transport::findHeader(answer.value().headers, "Content-Type"));
    end.bodyStored = answer.value().body.size() <= protocol::maxStoredResponseBytes;
    if (end.bodyStored)
        end.body = answer.value().body;
    this->recordActionEnd(end);
    response.send({ answer.value().status, { { "Content-Type", end.contentType } }, answer.value().body });
}

void PlainCallHandler::recordActionEnd(protocol::ActionEnd end)
{
    transport::Event recorded;
    // Shared with the callback, which may run after this function has returned because of the timeout.
    auto readBack = std::make_shared<transport::Event>();
    this->writer.append(std::move(end), [readBack](const state::AppendOutcome&) { readBack->signal(); });
    readBack->waitFor(endTimeout);
}

void PlainCallHandler::answerRetry(const coordination::ActionKey& key, uint64_t requestHash, transport::ResponseWriter& response)
{
    add(this->node.counters, state::Counter::ActionsRepeated);
    while (true) {
        auto [decision, end] = this->node.region.read([&](const auto& state) {
            auto entry = state.actions.find(key);
            auto recorded = entry == state.actions.end() ? std::nullopt : entry->second.end;
            return std::pair(coordination::checkIdempotencyKey(state.actions, state.sessions, key, requestHash), recorded);
        });
        if (decision == IdempotencyDecision::Recorded) {
            this->sendRecordedAnswer(*end, response);
            return;
        }
        if (decision == IdempotencyDecision::KeyReused) {
            refuse(this->node, response, makeNotRunRefusal(RefusalReason::KeyReused, "the key was used with another request"));
            return;
        }
        if (decision == IdempotencyDecision::Unknown) {
            refuse(this->node, response, { RefusalReason::OutcomeUnknown, RunState::Unknown, {}, "the node that ran it has ended" });
            return;
        }
        // The key is free again, because the first request was voided.
        if (decision == IdempotencyDecision::Run) {
            refuse(this->node, response, makeNotRunRefusal(RefusalReason::EndpointFailed, "the first request with this key was not run", logRetryAfter));
            return;
        }
        if (response.isCallerGone())
            return;
        // The first request is still running on a live node.
        sleepFor(outcomePollInterval);
    }
}

void PlainCallHandler::sendRecordedAnswer(const protocol::ActionEnd& end, transport::ResponseWriter& response)
{
    if (end.status == 0) {
        refuse(this->node, response, { RefusalReason::OutcomeUnknown, RunState::Unknown, {}, "the endpoint gave no answer" });
        return;
    }
    std::vector<transport::Header> headers { { "Content-Type", end.contentType }, { "Idempotent-Replayed", "true" } };
    if (!end.bodyStored)
        headers.push_back({ "X-Body-Dropped", "true" });
    response.send({ end.status, headers, end.body });
}

} // namespace comfreypier::daemon
