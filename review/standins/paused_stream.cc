/// A model worker preempts a stream for a moment and then goes on with it.
///
/// Six machines and three model workers that hold the same model. Each stream is backed up at a second worker, as the machines ask
/// for. In the middle of a stream its worker makes a pause, shorter than the one after which a client gives up, and goes on. The worker
/// is one of those that finish a request although its channel has closed. The case checks that no request goes on at another worker
/// while its worker still works on it.
#include "standin.hpp"

using namespace review;

namespace {

constexpr int streamCount = 10;
constexpr int eventCount = 40;
constexpr milliseconds eventInterval { 60 };
/// Number of the event before which the worker preempts the stream, and for how long. Clients leave after eight target gaps or two
/// seconds, whichever is longer.
constexpr int pausedEvent = 6;
constexpr milliseconds preemption { 1600 };
/// Time for which a request may still run at the worker before after it has gone on at another one.
constexpr milliseconds allowedOverlap { 400 };

/// Work of one worker on one request.
struct Work {
    std::string worker;
    Clock::time_point firstAt;
    Clock::time_point lastAt;
    int events = 0;
};

struct Ledger {
    std::mutex mutex;
    std::map<std::string, std::vector<std::shared_ptr<Work>>> works; ///< By request, in the order in which they began.
};

void serveModel(Connection& connection, const std::string& id, bool preempts, Ledger& ledger, Record& record)
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
        bool resumed = !request.header("Kv-From").empty();
        record.line(id + (resumed ? " goes on with " : " runs ") + attempt + " after event '" + request.header("Last-Event-Id") + "' backup=" + request.header("Kv-Backup") + " from=" + request.header("Kv-From"));
        auto work = std::make_shared<Work>();
        work->worker = id;
        work->firstAt = work->lastAt = Clock::now();
        {
            std::lock_guard lock(ledger.mutex);
            ledger.works[attempt].push_back(work);
        }
        bool open = connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: s-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = std::atoi(request.header("Last-Event-Id").c_str()) + 1; i <= eventCount; i++) {
            if (preempts && !resumed && i == pausedEvent) {
                record.line(id + " preempts " + attempt + " before event " + std::to_string(i));
                sleepFor(preemption);
                record.line(id + " goes on with " + attempt + (connection.isClosedByPeer() ? "; its channel is closed" : ""));
            }
            sleepFor(eventInterval);
            auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            open = open && connection.write(size + event + "\r\n");
            std::lock_guard lock(ledger.mutex);
            work->lastAt = Clock::now();
            work->events++;
        }
        record.line(id + " has ended " + attempt);
        if (!open || !connection.write("0\r\n\r\n"))
            return;
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
    Ledger ledger;
    Store store;
    const std::vector<std::string> zones { "delta-tanta", "delta-mansoura", "delta-zagazig" };
    std::vector<std::unique_ptr<Listener>> workers;
    for (size_t i = 0; i < zones.size(); i++) {
        auto id = "i-model" + std::to_string(i);
        workers.push_back(std::make_unique<Listener>([id, &arguments, &ledger, &record](Connection& connection) { serveModel(connection, id, arguments.trouble, ledger, record); }));
        Registration(store, id, "scent-models", workers.back()->port, zones[i], 64, R"(,"stage":"unified","models":[{"name":"m1","version":1,"adapters":[]}])");
    }
    store.write("keyed.op", "config", makeConfiguration());
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (size_t i = 0; i < 2 * zones.size(); i++)
        daemons.push_back(std::make_unique<Daemon>(arguments.program, arguments.temporary, "edge-" + std::to_string(i), zones[i % zones.size()], store.port()));
    if (!waitUntilReady(daemons))
        endCase(daemons, record, ExitNotRun, "not run: a machine did not become ready");
    sleepFor(milliseconds { 4000 });

    int complete = 0;
    for (int i = 0; i < streamCount; i++) {
        auto attempt = "summary-" + std::to_string(i);
        auto connection = Connection::connect(daemons[static_cast<size_t>(i) % daemons.size()]->front);
        record.line("client sends " + attempt + " to edge-" + std::to_string(static_cast<size_t>(i) % daemons.size()));
        connection->write("POST /summary/1 HTTP/1.1\r\nHost: vault.example\r\nAttempt-Id: " + attempt + "\r\nModel: m1\r\nToken-Count: 800,160\r\nPrompt-Prefix: 5c1e07a2:200,e4402b" + std::to_string(i)
            + ":600\r\nDeadline-Ms: 15000\r\nContent-Length: 7\r\n\r\nsummary");
        Message response;
        bool answered = connection->read(response, true, Clock::now() + milliseconds { 15000 });
        record.line(attempt + " answer=" + (answered ? std::to_string(response.status()) : "none") + (response.complete ? " complete" : " cut"));
        complete += response.complete && response.status() == 200 ? 1 : 0;
        sleepFor(milliseconds { 300 });
    }
    // Workers that still work on a request that went on elsewhere.
    sleepFor(preemption + eventCount * eventInterval);

    int twice = 0;
    std::lock_guard lock(ledger.mutex);
    for (const auto& [attempt, works] : ledger.works) {
        for (size_t i = 1; i < works.size(); i++) {
            auto overlap = std::chrono::duration_cast<milliseconds>(works[i - 1]->lastAt - works[i]->firstAt);
            if (overlap <= allowedOverlap)
                continue;
            twice++;
            record.line("TWICE: " + attempt + " went on at " + works[i]->worker + " and " + works[i - 1]->worker + " worked on it for " + std::to_string(overlap.count()) + " ms more");
        }
    }
    auto verdict = "streams=" + std::to_string(streamCount) + " complete=" + std::to_string(complete) + " at_two_workers_at_once=" + std::to_string(twice);
    if (complete == 0)
        endCase(daemons, record, ExitNotRun, "not run: " + verdict);
    endCase(daemons, record, twice > 0 ? ExitBroken : ExitHeld, verdict);
}
