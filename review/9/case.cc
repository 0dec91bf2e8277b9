/// Case 9: clients read their answers slowly while the machine is stopped as planned. Checks whether the answers are complete.
#include "../standins-2/standins.hpp"

#include <csignal>
#include <sstream>

using namespace review;

namespace {

constexpr int clients = 6;
constexpr milliseconds timeBudget { 15000 };
/// Time for which a slow client reads nothing. It then reads the rest at once.
constexpr milliseconds pause { 4500 };
/// From the requests to the SIGTERM.
constexpr milliseconds timeBeforeStop { 300 };
constexpr milliseconds grace { 8000 };
/// Receive buffer of a client on a slow device.
constexpr int receiveBuffer = 2048;

Message makeDraft(const std::string& id)
{
    auto request = makeRequest("POST", "revise", id, timeBudget);
    request.headers.push_back({ "Model", "m0" });
    request.headers.push_back({ "Token-Count", "900,400" });
    request.headers.push_back({ "Prompt-Prefix", "5c1e07a2:400," + id.substr(id.find('-') + 1) + "b1:500" });
    return request;
}

/// Uses a kept channel: a first request is answered at once, the second one is read slowly.
/// @return whether the second answer was complete.
bool runClient(Deployment& deployment, int client)
{
    auto& record = deployment.record;
    auto connection = Connection::open(deployment.daemon(0).front, receiveBuffer);
    auto firstId = "first-" + std::to_string(client);
    auto sentAt = Clock::now();
    if (!connection || !connection->send(encodeRequest(makeRequest("GET", "status", firstId, timeBudget))))
        failToRun("client " + std::to_string(client) + " cannot send");
    auto first = readAnswer(*connection, sentAt, sentAt + timeBudget);
    if (!first.complete || first.message.status != 200)
        failToRun("client " + std::to_string(client) + " got no answer to its first request");
    auto id = "slow-" + std::to_string(client);
    sentAt = Clock::now();
    connection->send(encodeRequest(makeDraft(id)));
    record.write("sent id=" + id);
    if (!isCalm())
        sleepFor(pause);
    auto answer = readAnswer(*connection, sentAt, sentAt + timeBudget);
    record.write("answer id=" + id + " status=" + std::to_string(answer.message.status) + " events=" + std::to_string(answer.events) + " whole=" + (answer.complete ? "yes" : "no") + " total_ms=" + std::to_string(answer.totalMs), true);
    return answer.complete;
}

int run(Deployment& deployment)
{
    std::atomic<int> incomplete { 0 };
    int64_t stoppedMs = 0;
    {
        Tasks tasks;
        for (int i = 0; i < clients; i++)
            tasks.run([&deployment, &incomplete, i] { incomplete += runClient(deployment, i) ? 0 : 1; });
        sleepFor(timeBeforeStop);
        stoppedMs = elapsedMs();
        deployment.record.write("SIGTERM to vm-1", true);
        deployment.daemon(0).signal(SIGTERM);
    }
    bool ended = deployment.daemon(0).waitForEnd(grace);
    deployment.record.write("vm-1 ended=" + std::string(ended ? "yes" : "no") + " ms after SIGTERM=" + std::to_string(elapsedMs() - stoppedMs), true);
    deployment.record.write("answers that ended early: " + std::to_string(incomplete) + " of " + std::to_string(clients), true);
    deployment.record.write(incomplete > 0 ? "LOST is broken" : "LOST held", true);
    return incomplete > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        failToRun("usage: case-9 DAEMON_COMMAND RECORD");
    Deployment deployment(argv[1], argv[2], std::vector<std::set<std::string>>(3, { "m0" }), 2);
    for (auto& worker : deployment.modelWorkers) {
        worker->eventsPerStream = 100;
        worker->eventBytes = 150;
        worker->eventInterval = milliseconds { 10 };
    }
    deployment.start();
    return run(deployment);
}
