/// The store is silent for some seconds, right after a change of the config. Then the config changes again.
///
/// Six machines. While it is silent the store never answers the calls that it gets; before and after that it is sound. After the machines
/// count as in touch again, the operator moves a route to another service. The case checks that no request that is sent later than
/// `config-apply-ms` after the ack runs at the old service.
#include "standin.hpp"

using namespace review;

namespace {

constexpr milliseconds stableWindow { 3000 };
constexpr milliseconds configApplyTime { 2000 };
/// Time from the first change until the store is silent, and for how long it is.
constexpr milliseconds silenceDelay { 100 };
constexpr milliseconds silence { 4500 };
/// Time between the end of the silence and the second change: longer than the stable window.
constexpr milliseconds changeDelay { 4000 };
constexpr milliseconds requestInterval { 100 };
constexpr milliseconds observationTime { 8000 };
static_assert(changeDelay > stableWindow);

struct Ledger {
    std::mutex mutex;
    std::map<std::string, std::string> servedBy; ///< Service that ran a request.
};

void servePlain(Connection& connection, const std::string& id, const std::string& service, Ledger& ledger, Record& record)
{
    Message request;
    while (connection.read(request, false, noDeadline) && request.complete) {
        auto attempt = request.header("Attempt-Id");
        {
            std::lock_guard lock(ledger.mutex);
            ledger.servedBy[attempt] = service;
        }
        record.line(id + " of " + service + " runs " + attempt);
        sleepFor(milliseconds { 30 });
        if (!connection.write(makeResponse(200, "Attempt-Id: " + attempt + "\r\nServer-Seal: s-" + id + "\r\n", "done " + attempt)))
            return;
    }
}

std::string makeConfiguration(int version, const std::string& service)
{
    return "{\"version\":" + std::to_string(version) + R"(,"routes":[
{"name":"register","host":"vault.example","path-prefix":"/register/","kind":"non_idempotent","timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":")"
        + service + R"(","max-attempts":1}],
"services":[{"name":"archive-ledger","health-path":"/health","max-conns":96},{"name":"archive-ledger-2","health-path":"/health","max-conns":96}],
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
    for (const std::string service : { "archive-ledger", "archive-ledger-2" }) {
        for (const auto& zone : zones) {
            auto id = "i-" + service + "-" + zone;
            workers.push_back(std::make_unique<Listener>([id, service, &ledger, &record](Connection& connection) { servePlain(connection, id, service, ledger, record); }));
            Registration(store, id, service, workers.back()->port, zone, 6, "");
        }
    }
    store.write("keyed.op", "config", makeConfiguration(3, "archive-ledger"));
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (size_t i = 0; i < 2 * zones.size(); i++)
        daemons.push_back(std::make_unique<Daemon>(arguments.program, arguments.temporary, "edge-" + std::to_string(i), zones[i % zones.size()], store.port()));
    if (!waitUntilReady(daemons))
        endCase(daemons, record, ExitNotRun, "not run: a machine did not become ready");
    sleepFor(milliseconds { 4000 });

    store.write("keyed.op", "config", makeConfiguration(5, "archive-ledger"));
    record.line("the store acknowledges config 5, with the same routes");
    sleepFor(silenceDelay);
    if (arguments.trouble) {
        store.setSilent(true);
        record.line("the store is silent");
    }
    sleepFor(silence);
    store.setSilent(false);
    record.line("the store answers again");
    sleepFor(changeDelay);
    store.write("keyed.op", "config", makeConfiguration(7, "archive-ledger-2"));
    auto ack = Clock::now();
    record.line("the store acknowledges config 7: the route goes to archive-ledger-2");

    int sent = 0;
    int served = 0;
    std::vector<std::string> late; // Requests that were sent later than the bound.
    while (Clock::now() < ack + configApplyTime + observationTime) {
        for (size_t i = 0; i < daemons.size(); i++) {
            auto attempt = "register-" + std::to_string(sent++);
            auto connection = Connection::connect(daemons[i]->front);
            if (Clock::now() > ack + configApplyTime)
                late.push_back(attempt);
            Message response;
            connection->write("POST /register/1 HTTP/1.1\r\nHost: vault.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 2500\r\nContent-Length: 7\r\n\r\nformula");
            bool answered = connection->read(response, true, Clock::now() + milliseconds { 2500 });
            record.line("client sent " + attempt + " to edge-" + std::to_string(i) + " answer=" + (answered ? std::to_string(response.status()) : "none"));
            served += answered && response.status() == 200 ? 1 : 0;
        }
        sleepFor(requestInterval);
    }

    int stale = 0;
    std::lock_guard lock(ledger.mutex);
    for (const auto& attempt : late) {
        if (ledger.servedBy[attempt] != "archive-ledger")
            continue;
        stale++;
        record.line("CONFIG: " + attempt + " ran at the old service");
    }
    auto verdict = "sent=" + std::to_string(sent) + " served=" + std::to_string(served) + " sent_after_the_bound=" + std::to_string(late.size()) + " run_by_the_old_service=" + std::to_string(stale);
    if (served == 0)
        endCase(daemons, record, ExitNotRun, "not run: " + verdict);
    endCase(daemons, record, stale > 0 ? ExitBroken : ExitHeld, verdict);
}
