/// Request relay: resolves routes, chooses workers, forwards answers, retries failed attempts and refuses requests.
#pragma once

#include "quota_task.h"
#include "waiting_room.h"

namespace comfreypier::edge {

/// Serves the requests that arrive on the callers' address.
class Relay {
public:
    /// @param closeSlowReaders see `transport::HttpServer::closeSlowReaders`.
    Relay(Vm& vm, Peers& peers, CrashTracker& crashes, QuotaTask& quota, std::function<size_t()> closeSlowReaders);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /// Serves one request until its answer is complete. Runs on the request's own fiber.
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);
    /// Ends all open requests: those that a worker may have run get 502, others 503, streams that have started are cut off. Must be called on
    /// the I/O thread.
    /// @return number of requests that were open.
    size_t endOpenRequests();
    /// Returns the answer to a request that the HTTP server could not parse. Called by the server; counts nothing.
    static transport::HttpResponse refuseMalformed(unsigned status, std::string_view reason);

private:
    struct RequestContext;
    struct Attempt;
    class ScopedMissingItem;
    class ScopedPlace;
    class StreamRescue;
    class ScopedOpenRequest;
    /// Result of one attempt to send a request to a worker.
    enum class SendResult {
        Answered, ///< The answer was forwarded; the caller may have gone before its end.
        NotSent, ///< The connection could not be opened.
        NotRun, ///< The worker stated that it did not run the request, or no time was left to send it.
        ConnectionLost, ///< The worker may have run it; the connection was lost before a byte of the answer was forwarded.
        TimedOut, ///< The worker may have run it; no answer arrived within the timeout.
        InvalidAnswer, ///< The worker may have run it; the answer was another request's, not authentic or not forwardable.
        WorkerError, ///< The worker ran it and answered with an error, stored in the context.
        Resumable, ///< A stream was interrupted and may resume on another worker.
        CallerGone, ///< The caller closed its connection.
        Withdrawn, ///< Nothing was sent: while the connection was opened, the worker has said that it wants no requests.
        Count
    };

    /// Reserves memory of answers. If there is not enough, closes connections whose callers read without progress and waits for what they hold.
    /// @return false if there is still not enough.
    bool tryHold(transport::BufferReservation& reservation, uint64_t bytes);
    /// Sends a request to workers until it is answered, refused or can't be retried.
    void run(RequestContext& context);
    /// Finds the route and the service of a request, sets its deadlines.
    /// @return false if the request was refused.
    bool resolveRoute(RequestContext& context);
    /// Finds the account of a request by its key, if the configuration has accounts.
    /// @return false if the request was refused.
    bool resolveAccount(RequestContext& context);
    /// Charges a request against the quota of its account, if it has one.
    /// @return false if the request was refused.
    bool chargeQuota(RequestContext& context);
    /// Records that an answer got beyond its first event, or is complete: its request does not crash workers.
    void recordProgress(RequestContext& context);
    /// Ends a request that crashes workers, unless its answer has made progress.
    /// @return whether it was ended.
    bool endIfHeldOff(RequestContext& context);
    /// Refuses a request that no worker may have run, if this VM shuts down and the request is not expected to end in time.
    /// @param expected expected time from now to the end of the answer; 0 if it is not known.
    /// @return whether it was refused.
    bool endIfLeaving(RequestContext& context, Time expected);
    void waitForAdapter(RequestContext& context, const routing::WorkerEntry& worker);
    /// Waits until a request that is in no queue may find a worker: the fleet has changed, or some time has passed.
    void waitForChange(const RequestContext& context) const;
    bool waitForWorker(RequestContext& context, Fleet::Selection& selection);
    /// Returns whether waiting requests of this configuration are ordered by urgency.
    bool ordersByUrgency(const routing::Configuration& configuration) const;
    /// Describes a request for the queue of its service.
    static routing::WaitingRequest makeWaitingRequest(const RequestContext& context);
    /// Refuses a request that waits in a queue, if its expected start is too late.
    /// @return whether it was refused.
    bool refuseInQueue(RequestContext& context, const routing::QueueDecision& decision);
    /// Makes one attempt to send the request to the selected worker.
    SendResult sendOnce(RequestContext& context, const Fleet::Selection& selection);
    /// Returns whether a worker other than `worker` can take the request now.
    bool hasOtherWorker(RequestContext& context, const std::string& worker);
    /// Sends the request to the selected worker and checks the head of its answer.
    /// @param timeLimit for the head.
    /// @param cancel ends the attempt early.
    /// @return the failure, recorded for the choice of later workers.
    Result<std::unique_ptr<Attempt>, SendResult> startAttempt(RequestContext& context, const Fleet::Selection& selection, milliseconds timeLimit, transport::CancelToken& cancel);
    /// Reads an answer whole, then forwards it unless it can be retried, is invalid or exceeds the buffer memory.
    SendResult relayWholeAnswer(RequestContext& context, const Fleet::Selection& selection, transport::ResponseStream& stream);
    /// Forwards a stream event by event. While its worker is silent it may go on at another one.
    SendResult relayStream(RequestContext& context, std::unique_ptr<Attempt> attempt);
    /// Replaces a silent attempt by the one that goes on with its run.
    void replaceAttempt(RequestContext& context, std::unique_ptr<Attempt>& attempt, std::unique_ptr<Attempt> next);
    /// Forwards the complete events that an attempt has received.
    /// @return the reason why the attempt ends, or nothing if it goes on.
    std::optional<SendResult> forwardEvents(RequestContext& context, Attempt& attempt);
    /// Asks the worker of a silent stream whether it still has the run.
    routing::RunEvidence askAboutRun(const RequestContext& context, const routing::WorkerEntry& worker, transport::CancelToken& cancel);
    /// Has the run of a stream that is silent at `worker` go on at another one. The silent stream stays open.
    /// @return an attempt whose worker has sent an event that continues the stream; null if there is none.
    std::unique_ptr<Attempt> resumeElsewhere(RequestContext& context, const std::string& worker, Time deadline, transport::CancelToken& cancel);
    /// Waits until the worker of an attempt has sent an event that continues the stream.
    /// @return the reason why it has not, or nothing if it has.
    std::optional<SendResult> awaitEvent(RequestContext& context, Attempt& attempt, Time deadline);
    /// Records what the head of an answer says about its worker, whatever becomes of the answer.
    /// @param matchesRequest see `routing::AnswerSource`.
    /// @param signatureDue whether an answer of this status carries the worker's signature.
    void recordSignals(const Fleet::Selection& selection, unsigned status, const platform::ResponseHead& head, bool matchesRequest, bool signatureDue);
    /// Records which workers a choice passed over.
    void recordPassedOver(RequestContext& context, const routing::Choice& choice);
    /// Ends a request that no worker may take now, as `refuseUnlessRun` does.
    void refuseBlocked(RequestContext& context, const routing::Choice& choice, milliseconds retryAfter);
    /// Refuses a request with 503. If a worker may have run it, ends it with the result of the last attempt instead.
    void refuseUnlessRun(RequestContext& context, RefusalReason refusal, std::optional<milliseconds> retryAfter);
    /// Records the limit that a worker named in an answer, or that it named none, and tells the other VMs of a change.
    void recordLimit(const routing::WorkerEntry& worker, std::optional<double> limit);
    /// Gives up an answer that exceeds the buffer memory.
    SendResult handleOversizedAnswer(RequestContext& context, const Fleet::Selection& selection, size_t bytes);
    // The next four record the failed attempt for the choice of later workers.
    void recordFailedWorker(RequestContext& context, const std::string& worker);
    SendResult handleInvalidAnswer(RequestContext& context, const Fleet::Selection& selection);
    SendResult recordSendError(RequestContext& context, const Fleet::Selection& selection, transport::IoError error);
    /// Records the failed attempt, and ends the request if its caller has gone.
    SendResult handleSendError(RequestContext& context, const Fleet::Selection& selection, transport::IoError error);
    SendResult handleNotRun(RequestContext& context, const Fleet::Selection& selection, const platform::ResponseHead& head);
    /// Returns whether a worker may have run the request in an attempt with this result.
    static bool mayHaveRun(SendResult result);
    /// Returns whether the request is sent again after an attempt with this result; the retry then counts against the budget. Also
    /// chooses the worker that resumes the run, if it must resume from its backup copy.
    bool prepareRetry(RequestContext& context, SendResult result);
    /// Chooses the worker on which the run of a stream that is silent at `worker` can go on, and takes a retry from the budget.
    std::optional<Fleet::Selection> chooseResumeWorker(RequestContext& context, const std::string& worker);
    /// Returns the expected time from a stream's first event to its end; 0 if it is not known or the route has no streams.
    Time expectedStreamTime(const RequestContext& context);
    /// Records how long a stream took, if it was answered whole.
    void recordStreamTime(const RequestContext& context);
    /// Ends a request after its last attempt, which had this result.
    void finish(RequestContext& context, SendResult result);
    /// Sends the caller an error, or closes the connection if the caller has gone.
    /// @param status HTTP status of the error; 0 if the caller has gone.
    /// @param retryAfter time after which the caller may retry; nothing if it should not.
    void refuse(RequestContext& context, unsigned status, RefusalReason refusal, std::optional<milliseconds> retryAfter);
    /// Returns the retry budget of a service, created on first use. The caller must hold `mutex`.
    routing::RetryBudget& retryBudget(const std::string& service);
    /// Writes the log line of a finished request.
    void logRequest(const RequestContext& context);

    Vm& vm;
    Peers& peers;
    CrashTracker& crashes;
    QuotaTask& quota;
    const std::function<size_t()> closeSlowReaders;
    Time slackFrom; ///< When the retry budgets may use their share of the slack, see `routing::RetryBudget`.
    std::mutex mutex;
    std::map<std::string, routing::RetryBudget> retryBudgets; ///< By service. Protected by `mutex`.
    std::map<std::pair<std::string, std::string>, routing::StreamPace> streamPaces; ///< By service and model. Protected by `mutex`.
    WaitingRoom waitingRoom;
    std::set<RequestContext*> openRequests; ///< Used on the I/O thread only.
    transport::Log log { "relay" };
};

} // namespace comfreypier::edge
