/// A machine is stopped for planned work while a model worker has preempted a stream for a moment.
///
/// Six machines and three model workers that hold the same model. One machine after the other gets SIGTERM in the middle of a stream. The
/// worker preempts the stream for less time than its client waits, goes on with it, and ends it long before the grace period is over. No
/// worker has room for backup copies. The case checks that each stream that a machine has read and passed on is answered to its end.
#include "standin.hpp"

using namespace review;

namespace {

constexpr size_t stoppedMachines = 4;
constexpr int eventCount = 30;
constexpr milliseconds eventInterval { 60 };
/// When the machine gets SIGTERM: after so many events have arrived.
constexpr int eventsBeforeStop = 3;
/// Number of the event before which the worker preempts the stream, and for how long. Clients leave after eight target gaps or two
/// seconds, whichever is longer.
constexpr int pausedEvent = 6;
constexpr milliseconds preemption { 1600 };
constexpr milliseconds gracePeriod { 8000 };
constexpr milliseconds pollInterval { 20 };

/// Serves one model worker. It drops a request when its channel closes.
void serveModel(Connection& connection, const std::string& id, bool preempts, Record& record)
{
    Message request;
    while (connection.read(request, false, noDeadline) && request.complete) {
        auto attempt = request.header("Attempt-Id");
        if (request.path() == "/v1/report") {
            connection.write(makeResponse(200, "Content-Type: application/json\r\n", R"({"stage":"unified","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv-used":0,"kv-total":232000,"handles":0})"));
            continue;
        }
        if (request.path() == "/v1/order") {
            connection.write(makeResponse(409, "", ""));
            continue;
        }
        if (request.header("Expect-Instance") != id) {
            connection.write(makeResponse(421, "Not-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n", ""));
            continue;
        }
        if (!request.header("Kv-From").empty()) {
            record.line(id + " has no copy of " + attempt + " and does not run it");
            connection.write(makeResponse(503, "Not-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n", ""));
            continue;
        }
        record.line(id + " runs " + attempt);
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: s-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= eventCount; i++) {
            bool pause = preempts && i == pausedEvent;
            if (pause)
                record.line(id + " preempts " + attempt + " before event " + std::to_string(i));
            auto next = Clock::now() + eventInterval + (pause ? preemption : milliseconds { 0 });
            while (Clock::now() < next && !connection.isClosedByPeer())
                sleepFor(pollInterval);
            auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (connection.isClosedByPeer() || !connection.write(size + event + "\r\n")) {
                record.line(id + " drops " + attempt + " before event " + std::to_string(i) + ", as its channel has closed");
                return;
            }
        }
        record.line(id + " has ended " + attempt);
        connection.write("0\r\n\r\n");
    }
}

std::string makeConfiguration()
{
    return R"({"version":3,"routes":[
{"name":"summary","host":"vault.example","path-prefix":"/summary/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"target-gap-ms":250,"priority":0,"service":"scent-models","max-attempts":1,"sticky":true,"resumable":false}],
"services":[{"name":"scent-models","health-path":"/health","max-conns":360,"engine":{"slots":64,"kv-capacity":232000,"backups":true,"moves":true,"stride":4,"models":[{"name":"m1","weights-mb":65500,"load-s":1.2,"adapters":0,"adapter-mb":12}],"weights-mb":200000,"adapter-slots":5,"loads-per-s":1.1}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = parseArguments(argc, argv);
    Record record(arguments.folder + "/record.txt");
    Store store;
    const std::vector<std::string> zones { "delta-tanta", "delta-mansoura", "delta-zagazig" };
    std::vector<std::unique_ptr<Listener>> workers;
    for (size_t i = 0; i < zones.size(); i++) {
        auto id = "i-model" + std::to_string(i);
        workers.push_back(std::make_unique<Listener>([id, &arguments, &record](Connection& connection) { serveModel(connection, id, arguments.trouble, record); }));
        Registration(store, id, "scent-models", workers.back()->port, zones[i], 64, R"(,"stage":"unified","models":[{"name":"m1","version":1,"adapters":[]}])");
    }
    store.write("keyed.op", "config", makeConfiguration());
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (size_t i = 0; i < 2 * zones.size(); i++)
        daemons.push_back(std::make_unique<Daemon>(arguments.program, arguments.temporary, "edge-" + std::to_string(i), zones[i % zones.size()], store.port()));
    if (!waitUntilReady(daemons))
        endCase(daemons, record, ExitNotRun, "not run: a machine did not become ready");
    sleepFor(milliseconds { 4000 });

    size_t complete = 0;
    size_t cut = 0;
    for (size_t i = 0; i < stoppedMachines; i++) {
        auto attempt = "summary-" + std::to_string(i);
        auto name = "edge-" + std::to_string(i);
        auto connection = Connection::connect(daemons[i]->front);
        record.line("client sends " + attempt + " to " + name);
        connection->write("POST /summary/1 HTTP/1.1\r\nHost: vault.example\r\nAttempt-Id: " + attempt + "\r\nModel: m1\r\nToken-Count: 800,160\r\nPrompt-Prefix: 5c1e07a2:200,e4402b" + std::to_string(i)
            + ":600\r\nDeadline-Ms: 15000\r\nContent-Length: 7\r\n\r\nsummary");
        sleepFor((eventsBeforeStop + 1) * eventInterval);
        record.line(name + " gets SIGTERM");
        daemons[i]->terminate();
        auto stoppedAt = Clock::now();
        Message response;
        bool answered = connection->read(response, true, Clock::now() + milliseconds { 15000 });
        auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - stoppedAt);
        record.line(attempt + " answer=" + (answered ? std::to_string(response.status()) : "none") + (response.complete ? " complete " : " cut ") + std::to_string(elapsed.count()) + " ms after SIGTERM");
        complete += response.complete ? 1 : 0;
        cut += response.complete ? 0 : 1;
        while (daemons[i]->isRunning() && Clock::now() < stoppedAt + gracePeriod)
            sleepFor(pollInterval);
        daemons[i]->kill();
        daemons[i]->start();
        if (!waitUntilReady(daemons))
            endCase(daemons, record, ExitNotRun, "not run: " + name + " did not become ready again");
        sleepFor(milliseconds { 3500 });
    }
    auto verdict = "streams=" + std::to_string(stoppedMachines) + " complete=" + std::to_string(complete) + " cut_although_the_worker_was_at_work=" + std::to_string(cut);
    endCase(daemons, record, cut > 0 ? ExitBroken : ExitHeld, verdict);
}
