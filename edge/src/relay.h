/// Request relay: resolves routes, chooses workers, forwards answers, retries failed attempts and refuses requests.
#pragma once

#include "peers.h"

namespace comfreypier::edge {

/// Serves the requests that arrive on the callers' address.
class Relay {
public:
    Relay(Vm& vm, Peers& peers);

    /// Serves one request until its answer is complete. Runs on the request's own fiber.
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);
    /// Returns the answer to a request that the HTTP server could not parse.
    static transport::HttpResponse refuseMalformed(unsigned status, std::string_view reason);

private:
    struct RequestContext;
    class ScopedMissingItem;
    /// Result of one attempt to send a request to a worker.
    enum class SendResult {
        Answered, ///< The answer was forwarded; the caller may have gone before its end.
        NotSent, ///< The connection could not be opened.
        NotRun, ///< The worker stated that it did not run the request.
        ConnectionLost, ///< The worker may have run it; the connection was lost before a byte of the answer was forwarded.
        TimedOut, ///< The worker may have run it; no answer arrived within the timeout.
        InvalidAnswer, ///< The worker may have run it; the answer belonged to another request or was not authentic.
        WorkerError, ///< The worker ran it and answered with an error, stored in the context.
        Resumable, ///< A stream was interrupted and may resume on another worker.
        CallerGone, ///< The caller has gone.
        Count
    };

    void run(RequestContext& context);
    /// Finds the route and the service of a request and sets its deadlines.
    /// @return false if the request was refused.
    bool resolveRoute(RequestContext& context);
    bool isPoisonRequest(const RequestContext& context);
    void waitForAdapter(RequestContext& context, const routing::WorkerEntry& worker);
    bool waitForWorker(RequestContext& context, Fleet::Selection& picked);
    SendResult sendOnce(RequestContext& context, const Fleet::Selection& picked);
    SendResult relayWholeAnswer(RequestContext& context, const Fleet::Selection& picked, transport::ResponseStream& stream);
    SendResult relayStream(RequestContext& context, const Fleet::Selection& picked, transport::ResponseStream& stream, LoadReservation& ticket);
    bool forwardEvents(RequestContext& context, transport::ResponseStream& stream, std::string& buffer);
    SendResult handleInvalidAnswer(RequestContext& context, const Fleet::Selection& picked);
    SendResult handleSendError(RequestContext& context, const Fleet::Selection& picked, transport::IoError error);
    SendResult handleNotRun(RequestContext& context, const Fleet::Selection& picked, const platform::ResponseHead& head);
    /// Tells whether the request is sent again after an attempt with this result; the retry then counts against the budget.
    bool prepareRetry(RequestContext& context, SendResult result);
    bool canResumeElsewhere(RequestContext& context, const std::string& worker);
    void finish(RequestContext& context, SendResult result);
    void refuse(RequestContext& context, unsigned status, RefusalReason refusal, std::optional<milliseconds> retryAfter);
    routing::RetryBudget& retryBudget(const std::string& service);
    void logRequest(const RequestContext& context);

    Vm& vm;
    Peers& peers;
    std::mutex mutex;
    std::map<std::string, routing::RetryBudget> retryBudgets;
    transport::Log log { "relay" };
};

} // namespace comfreypier::edge
