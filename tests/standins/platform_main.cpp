/// comfreypier-platform: stand-in for the users' platform on loopback, for trying out the daemon and for tests with real
/// processes.
///
/// `comfreypier-platform PORT` serves the control calls below on PORT, the store on PORT + 1 and the workers on the ports after
/// that:
///   POST /configure?version=N[&path=/p/][&slots=N]
///     Writes a configuration, with an additional route if a path is given, and with these slots of each worker.
///   POST /fault?store=sound|refusing|silent|losing|copied|restored
///     `copied` takes a copy of the store's records, `restored` has the store come back from it.
///   POST /fault?worker=ID&mood=sound|full|closes|foreign|unsigned|failing|breaks_stream|fails_stream|silent
///   POST /worker?worker=ID&state=ready|leaving|gone
///     The moods are `WorkerFault` in its order; `sound` ends a fault.
///   GET /runs?id=ID                             how many times a request ran
///   GET /state                                  one line per worker: run counts, loaded models and adapters
/// Workers pad an answer or an event to the `bytes` of a request's query, and end a stream after its `events`.
#include "platform_standin.h"

#include <algorithm>
#include <iostream>

using namespace comfreypier;
using standins::StoreStandin;
using standins::WorkerFault;
using standins::WorkerStandin;
using std::chrono::milliseconds;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::queryValue;

namespace {

/// Interval at which workers publish their entries.
constexpr milliseconds publishInterval { 400 };
/// Workers for orders and status requests.
constexpr int appWorkerCount = 2;
/// Workers that serve models. No model is loaded at first.
constexpr int modelWorkerCount = 3;
/// Pause of streams whose path ends with `pausing`: longer than the time limit of their routes.
constexpr int streamPauseMs = 10000;
/// Time to load or unload a model.
constexpr int modelOrderDurationMs = 100;

/// The store, its workers and the control calls.
class Platform {
public:
    explicit Platform(uint16_t port)
        : port(port)
        , store(this->runtime, this->endpointAt(1))
        , control(
              this->runtime, this->endpointAt(0), {}, [this](const auto& request, auto& writer) { writer.send(this->serve(request)); },
              [](unsigned status, std::string_view reason) { return HttpResponse { status, {}, std::string(reason) }; })
    {
    }

    /// Starts the store, the control calls and the workers. @return false if a port can't be bound.
    bool start()
    {
        for (int i = 0; i < appWorkerCount; i++)
            this->addWorker("app" + std::to_string(i), "app");
        for (int i = 0; i < modelWorkerCount; i++) {
            auto& worker = this->addWorker("llm" + std::to_string(i), "llm");
            standins::setModelMemory(worker);
            worker.orderDurationMs = modelOrderDurationMs;
            worker.thirdEventDelayMs = streamPauseMs;
        }
        bool started = this->store.start() && this->control.start();
        for (auto& worker : this->workers)
            started = worker->start() && started;
        return started;
    }

    /// Publishes the entries of all workers except those in the state `gone`. Call it periodically.
    void publish()
    {
        for (auto& worker : this->workers) {
            if (!this->unpublished[worker->id])
                worker->publish();
        }
    }

private:
    transport::Endpoint endpointAt(size_t offset) const { return { "127.0.0.1", static_cast<uint16_t>(this->port + offset) }; }

    WorkerStandin& addWorker(const std::string& id, const std::string& service)
    {
        this->workers.push_back(std::make_unique<WorkerStandin>(this->runtime, this->store, this->endpointAt(2 + this->workers.size()), id, service));
        return *this->workers.back();
    }

    /// Returns the worker, or nullptr if there is none with this id.
    WorkerStandin* findWorker(const std::string& id)
    {
        auto found = std::find_if(this->workers.begin(), this->workers.end(), [&id](const auto& worker) { return worker->id == id; });
        return found == this->workers.end() ? nullptr : found->get();
    }

    /// Serves the control calls.
    HttpResponse serve(const HttpRequest& request)
    {
        auto path = transport::targetPath(request.target);
        if (path == "/configure")
            return this->configure(request.target);
        if (path == "/fault")
            return this->setFault(request.target);
        if (path == "/worker")
            return this->setWorkerState(request.target);
        if (path == "/runs")
            return this->countRuns(queryValue(request.target, "id"));
        if (path == "/state")
            return this->showState();
        return { 404, {}, "no such call\n" };
    }

    HttpResponse configure(const std::string& target)
    {
        auto version = std::atoi(queryValue(target, "version").c_str());
        auto route = queryValue(target, "path");
        if (version <= 0)
            return { 400, {}, "version is missing\n" };
        auto slots = queryValue(target, "slots");
        for (auto& worker : this->workers)
            worker->slots = slots.empty() ? standins::defaultSlots : std::atoi(slots.c_str());
        this->store.write("keyed.op", "config", standins::makePlatformConfiguration(version, route.empty() ? "" : standins::makePlatformRoute("more", route), {}, this->workers.front()->slots));
        return { 200, {}, "" };
    }

    HttpResponse setFault(const std::string& target)
    {
        if (auto storeFault = queryValue(target, "store"); !storeFault.empty()) {
            this->store.unavailable = storeFault == "refusing";
            this->store.unresponsive = storeFault == "silent";
            this->store.dropsAppendResponses = storeFault == "losing";
            if (storeFault == "copied")
                this->copy = this->store.copy();
            if (storeFault == "restored")
                this->store.restore(this->copy);
            return { 200, {}, "" };
        }
        // In the order of `WorkerFault`.
        constexpr std::array<std::string_view, static_cast<size_t>(WorkerFault::Count)> faultNames { "sound", "full", "closes", "foreign", "unsigned", "failing", "breaks_stream", "fails_stream", "silent" };
        auto* worker = this->findWorker(queryValue(target, "worker"));
        auto found = std::find(faultNames.begin(), faultNames.end(), queryValue(target, "mood"));
        if (worker == nullptr || found == faultNames.end())
            return { 400, {}, "no such worker or mood\n" };
        worker->fault = static_cast<WorkerFault>(found - faultNames.begin());
        return { 200, {}, "" };
    }

    HttpResponse setWorkerState(const std::string& target)
    {
        auto* worker = this->findWorker(queryValue(target, "worker"));
        auto state = queryValue(target, "state");
        if (worker == nullptr || (state != "ready" && state != "leaving" && state != "gone"))
            return { 400, {}, "no such worker or state\n" };
        worker->draining = state == "leaving";
        this->unpublished[worker->id] = state == "gone";
        if (state == "gone")
            worker->unpublish();
        else
            worker->publish();
        return { 200, {}, "" };
    }

    HttpResponse countRuns(const std::string& id)
    {
        int runs = 0;
        for (auto& worker : this->workers) {
            std::lock_guard lock(worker->mutex);
            auto found = worker->runsByRequestId.find(id);
            runs += found == worker->runsByRequestId.end() ? 0 : found->second;
        }
        return { 200, {}, std::to_string(runs) + "\n" };
    }

    HttpResponse showState()
    {
        std::string text;
        for (auto& worker : this->workers) {
            std::lock_guard lock(worker->mutex);
            text += worker->id + " runs=" + std::to_string(worker->runs) + " overloads=" + std::to_string(worker->overcommits) + " models=";
            for (const auto& [model, size] : worker->models)
                text += model + ",";
            text += " adapters=";
            for (const auto& adapter : worker->adapters)
                text += adapter + ",";
            text += "\n";
        }
        return { 200, {}, text };
    }

    uint16_t port;
    transport::Runtime runtime { 1 };
    StoreStandin store;
    StoreStandin::Topics copy; ///< Of the store's records, when it was last copied. Empty before.
    std::vector<std::unique_ptr<WorkerStandin>> workers;
    std::map<std::string, std::atomic<bool>> unpublished; ///< Whether the worker's entry is deleted from the store, by worker id.
    transport::HttpServer control;
};

} // namespace

int main(int argc, char** argv)
{
    int port = argc == 2 ? std::atoi(argv[1]) : 0;
    if (port <= 0 || port > 65000) {
        std::cerr << "usage: comfreypier-platform PORT\n";
        return 2;
    }
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    transport::setUpLogging(transport::LogLevel::Error, {});
    Platform platform(static_cast<uint16_t>(port));
    if (!platform.start()) {
        std::cerr << "comfreypier-platform: cannot listen on all ports from " << port << " upward\n";
        return 1;
    }
    platform.publish();
    while (transport::waitForSignal(publishInterval) != transport::ProcessSignal::Terminate)
        platform.publish();
    std::_Exit(0);
}
