/// The open channels between the machines and the store go silent for good, while new ones work. Then the config changes.
///
/// Six machines reach the store through a proxy. At one moment the proxy drops all bytes of the channels that are open, in both
/// directions, and serves new ones as before. After the machines count as in touch again, the operator moves a route to another
/// service. The case checks that no request that is sent later than `config-apply-ms` after the ack runs at the old service.
#include "standin.hpp"

using namespace review;

namespace {

constexpr milliseconds stableWindow { 3000 };
constexpr milliseconds configApplyTime { 2000 };
/// Time between the moment of silence and the change: longer than the stable window.
constexpr milliseconds changeDelay { 4000 };
constexpr milliseconds requestInterval { 100 };
constexpr milliseconds observationTime { 8000 };
static_assert(changeDelay > stableWindow);

/// Forwards connections to the store until they go silent.
class Proxy {
public:
    explicit Proxy(uint16_t target)
        : target(target)
        , listener([this](Connection& connection) { this->serve(connection); })
    {
    }
    uint16_t port() const { return this->listener.port; }
    /// Drops all further bytes of the channels that are open now.
    /// @return their number.
    int silence()
    {
        this->silentBefore = this->nextNumber.load();
        return this->open;
    }

private:
    void serve(Connection& caller)
    {
        int number = this->nextNumber++;
        this->open++;
        auto store = Connection::connect(this->target);
        while (this->forward(number, caller, *store)) { }
        this->open--;
    }
    /// Forwards what one of the two sides has sent. @return false if one has closed the channel.
    bool forward(int number, Connection& caller, Connection& store) const
    {
        pollfd sides[2] { { caller.handle(), POLLIN, 0 }, { store.handle(), POLLIN, 0 } };
        ::poll(sides, 2, 100);
        for (int i = 0; i < 2; i++) {
            if (sides[i].revents == 0)
                continue;
            char bytes[64 * 1024];
            auto count = ::recv(sides[i].fd, bytes, sizeof bytes, 0);
            if (count <= 0)
                return false;
            if (number >= this->silentBefore)
                (i == 0 ? store : caller).write(std::string(bytes, static_cast<size_t>(count)));
        }
        return true;
    }

    uint16_t target;
    std::atomic<int> nextNumber { 0 };
    std::atomic<int> silentBefore { 0 };
    std::atomic<int> open { 0 };
    Listener listener;
};

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
    Proxy proxy(store.port());
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
        daemons.push_back(std::make_unique<Daemon>(arguments.program, arguments.temporary, "edge-" + std::to_string(i), zones[i % zones.size()], proxy.port()));
    if (!waitUntilReady(daemons))
        endCase(daemons, record, ExitNotRun, "not run: a machine did not become ready");
    sleepFor(milliseconds { 4000 });

    if (arguments.trouble)
        record.line("the proxy silences " + std::to_string(proxy.silence()) + " open channels to the store");
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
