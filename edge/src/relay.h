/// Serves callers: finds the route, chooses workers, passes answers on, repeats and refuses.
#pragma once

#include "peers.h"

namespace comfreypier::edge {

/// Serves requests on the callers' address.
class Relay {
public:
    Relay(Vm& vm, Peers& peers);

    /// Serves one request on its own fiber.
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);
    /// Answer to a request that the HTTP server can't read.
    static transport::HttpResponse refuseMalformed(unsigned status, std::string_view reason);

private:
    struct Exchange;
    class Missing;
    /// What became of one send to a worker.
    enum class SendResult {
        Answered, ///< The caller has its answer, or as much of it as there will be.
        NotSent, ///< The connection could not be opened.
        NotRun, ///< The worker stated that it did not run the request.
        Broken, ///< It may have run; the answer broke off before its first byte was passed on.
        Silent, ///< It may have run; no answer in the usual time.
        Unusable, ///< It may have run; the answer was another request's or not authentic.
        Failed, ///< The worker ran it and answered with an error, which is kept.
        Resumable, ///< A stream broke off and may go on at another worker.
        Gone, ///< The caller has gone.
        Count
    };

    void run(Exchange& x);
    bool findTarget(Exchange& x);
    bool crashesWorkers(const Exchange& x);
    void waitForAdapter(Exchange& x, const routing::WorkerEntry& worker);
    bool waitForWorker(Exchange& x, Fleet::Selection& picked);
    SendResult sendOnce(Exchange& x, const Fleet::Selection& picked);
    SendResult readWhole(Exchange& x, const Fleet::Selection& picked, transport::ResponseStream& stream);
    SendResult relayStream(Exchange& x, const Fleet::Selection& picked, transport::ResponseStream& stream, LoadReservation& ticket);
    bool passEvents(Exchange& x, transport::ResponseStream& stream, std::string& buffer);
    SendResult noteUnusable(Exchange& x, const Fleet::Selection& picked);
    SendResult noteSendError(Exchange& x, const Fleet::Selection& picked, transport::IoError error);
    SendResult judgeNotRun(Exchange& x, const Fleet::Selection& picked, const platform::AnswerHead& head);
    bool mayRepeat(Exchange& x, SendResult result);
    bool couldGoOn(Exchange& x, const std::string& worker);
    void finish(Exchange& x, SendResult result);
    void refuse(Exchange& x, unsigned status, RefusalReason refusal, std::optional<milliseconds> retryAfter);
    routing::RetryBudget& repeatLimit(const std::string& service);
    void writeLog(const Exchange& x);

    Vm& vm;
    Peers& peers;
    std::mutex mutex;
    std::map<std::string, routing::RetryBudget> limits;
    transport::Log log { "relay" };
};

} // namespace comfreypier::edge
