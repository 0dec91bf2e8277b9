/// Calls to plain services, including those that must not be retried.
#pragma once

#include "log_writer.h"
#include "session_keeper.h"

namespace comfreypier::daemon {

/// Serves `/services/{name}/...`. Calls that must not be retried run at most once: with an idempotency key their outcome is
/// recorded in the log, and a repeated request gets the recorded answer.
class PlainCallHandler {
public:
    PlainCallHandler(Node& node, LogWriter& writer, const SessionKeeper& session);
    /// Serves one request, whose target must start with `/services/`.
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& response);

private:
    /// One parsed call.
    struct Call {
        protocol::PlainServiceSpec spec;
        transport::HttpRequest request; ///< Request to send to the service's endpoint.
        std::string key; ///< Value of the `Idempotency-Key` header, or empty.
        bool isRetryable = true; ///< The service allows this call to run more than once.
    };

    /// Parses a call. If it is not valid, refuses it and returns nothing.
    std::optional<Call> parseCall(const transport::HttpRequest& request, transport::ResponseWriter& response);
    /// Calls the endpoints until one answers, and sends the answer or a refusal to the caller.
    void callRetryable(const Call& call, transport::ResponseWriter& response);
    /// Runs a call without an idempotency key at most once. Nothing is recorded.
    void callAtMostOnce(const Call& call, transport::ResponseWriter& response);
    /// Runs a call with an idempotency key, or answers it with the outcome of the first request with this key.
    void callWithKey(const Call& call, transport::ResponseWriter& response);
    /// Appends the begin of an action and waits for its verdict.
    /// @param token random number that identifies this begin among those with the same key.
    /// @return whether this request is the first with its key and may run. If not, it was answered.
    bool beginAction(const coordination::ActionKey& key, uint64_t requestHash, uint64_t token, transport::ResponseWriter& response);
    /// Runs a begun action, records its outcome and answers the caller.
    void runAction(const Call& call, const coordination::ActionKey& key, uint64_t token, transport::ResponseWriter& response);
    /// Waits for the outcome of the first request with this key and answers with it. Refuses the request if the outcome will
    /// stay unknown, the first request was not run, or it was a different one.
    void answerRetry(const coordination::ActionKey& key, uint64_t requestHash, transport::ResponseWriter& response);
    /// Sends the recorded outcome of an action. If the body was too large to be recorded, the answer says so in a header.
    void sendRecordedAnswer(const protocol::ActionEnd& end, transport::ResponseWriter& response);
    /// Calls the endpoints in turn, starting with a random one, until one answers.
    /// @param retryable whether to continue with the next endpoint if the request may have been sent. Else it continues only
    ///        while no byte was sent.
    /// @return the answer, or the error of the first attempt that may have sent bytes, or else the error of the last attempt.
    Result<transport::HttpResponse, transport::IoError> callAnyEndpoint(const Call& call, bool retryable);
    /// Appends the end of an action and waits until it was read back, but only a limited time: the caller gets its answer even
    /// if the log does not answer.
    void recordActionEnd(protocol::ActionEnd end);

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
};

} // namespace comfreypier::daemon
