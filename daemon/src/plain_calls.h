/// Calls to plain services, those that may not be repeated among them.
#pragma once

#include "log_writer.h"
#include "session_keeper.h"

namespace comfreypier::daemon {

/// Serves `/services/{name}/...`.
class PlainCallHandler {
public:
    PlainCallHandler(Node& node, LogWriter& writer, const SessionKeeper& session);
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);

private:
    struct Call {
        protocol::PlainSpec spec;
        transport::HttpRequest request; ///< As the service is to get it.
        std::string key; ///< `Idempotency-Key`, or empty.
        bool mayRepeat = true;
    };

    std::optional<Call> parseCall(const transport::HttpRequest& request, transport::ResponseWriter& writer);
    void callRepeatable(const Call& call, transport::ResponseWriter& writer);
    void callOnce(const Call& call, transport::ResponseWriter& writer);
    void callWithKey(const Call& call, transport::ResponseWriter& writer);
    bool begin(const coordination::ActionKey& key, uint64_t hash, uint64_t token, transport::ResponseWriter& writer);
    void runAction(const Call& call, const coordination::ActionKey& key, uint64_t token, transport::ResponseWriter& writer);
    void answerRepeat(const coordination::ActionKey& key, uint64_t hash, transport::ResponseWriter& writer);
    void sendRecorded(const protocol::ActionEnd& end, transport::ResponseWriter& writer);
    Result<transport::HttpResponse, transport::IoError> callAny(const Call& call, bool repeatable);
    void recordEnd(protocol::ActionEnd end);

    Node& node;
    LogWriter& writer;
    const SessionKeeper& session;
};

} // namespace comfreypier::daemon
