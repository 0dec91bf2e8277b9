/// comfreypier-platform: the users' platform on loopback, for trying the daemon out and for tests with real processes.
///
/// `comfreypier-platform PORT` listens for its own calls on PORT, for the store's on the next and for the workers' on those after it:
///   POST /configure?version=N[&path=/p/]        writes a configuration, with one more route if there is a path
///   POST /fault?store=sound|refusing|silent|losing
///   POST /fault?worker=ID&mood=sound|full|closes|foreign|unsigned|failing|breaks_stream|fails_stream|silent
///   POST /worker?worker=ID&state=ready|leaving|gone
///   GET /runs?id=ID                             how often a request ran
///   GET /state                                  what each worker holds, one line each
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

constexpr milliseconds publishInterval { 400 };
constexpr int plainWorkers = 2;
constexpr int modelWorkers = 3;
constexpr int orderMs = 100;

/// The store, its workers and the calls that switch faults.
class Platform {
public:
    explicit Platform(uint16_t port)
        : port(port)
        , store(this->runtime, this->at(1))
        , control(
              this->runtime, this->at(0), {}, [this](const auto& request, auto& writer) { writer.send(this->serve(request)); },
              [](unsigned status, std::string_view reason) { return HttpResponse { status, {}, std::string(reason) }; })
    {
    }

    bool start()
    {
        for (int i = 0; i < plainWorkers; i++)
            this->add("app" + std::to_string(i), "app");
        for (int i = 0; i < modelWorkers; i++) {
            auto& worker = this->add("llm" + std::to_string(i), "llm");
            standins::setModelMemory(worker);
            worker.orderDurationMs = orderMs;
        }
        bool started = this->store.start() && this->control.start();
        for (auto& worker : this->workers)
            started = worker->start() && started;
        return started;
    }

    void publish()
    {
        for (auto& worker : this->workers) {
            if (!this->gone[worker->id])
                worker->publish();
        }
    }

private:
    transport::Endpoint at(size_t offset) const { return { "127.0.0.1", static_cast<uint16_t>(this->port + offset) }; }

    WorkerStandin& add(const std::string& id, const std::string& service)
    {
        this->workers.push_back(std::make_unique<WorkerStandin>(this->runtime, this->store, this->at(2 + this->workers.size()), id, service));
        return *this->workers.back();
    }

    WorkerStandin* find(const std::string& id)
    {
        auto found = std::find_if(this->workers.begin(), this->workers.end(), [&id](const auto& worker) { return worker->id == id; });
        return found == this->workers.end() ? nullptr : found->get();
    }

    HttpResponse serve(const HttpRequest& request)
    {
        auto path = transport::targetPath(request.target);
        if (path == "/configure")
            return this->configure(request.target);
        if (path == "/fault")
            return this->setFault(request.target);
        if (path == "/worker")
            return this->setState(request.target);
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
        this->store.write("keyed.op", "config", standins::makePlatformConfiguration(version, route.empty() ? "" : standins::makePlatformRoute("more", route)));
        return { 200, {}, "" };
    }

    HttpResponse setFault(const std::string& target)
    {
        if (auto mood = queryValue(target, "store"); !mood.empty()) {
            this->store.unavailable = mood == "refusing";
            this->store.unresponsive = mood == "silent";
            this->store.dropsAppendResponses = mood == "losing";
            return { 200, {}, "" };
        }
        constexpr std::array<std::string_view, static_cast<size_t>(WorkerFault::Count)> moods { "sound", "full", "closes", "foreign", "unsigned", "failing", "breaks_stream", "fails_stream", "silent" };
        auto* worker = this->find(queryValue(target, "worker"));
        auto named = std::find(moods.begin(), moods.end(), queryValue(target, "mood"));
        if (worker == nullptr || named == moods.end())
            return { 400, {}, "no such worker or mood\n" };
        worker->fault = static_cast<WorkerFault>(named - moods.begin());
        return { 200, {}, "" };
    }

    HttpResponse setState(const std::string& target)
    {
        auto* worker = this->find(queryValue(target, "worker"));
        auto state = queryValue(target, "state");
        if (worker == nullptr || (state != "ready" && state != "leaving" && state != "gone"))
            return { 400, {}, "no such worker or state\n" };
        worker->draining = state == "leaving";
        this->gone[worker->id] = state == "gone";
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
    std::vector<std::unique_ptr<WorkerStandin>> workers;
    std::map<std::string, std::atomic<bool>> gone;
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
        std::cerr << "comfreypier-platform: a port from " << port << " on is taken\n";
        return 1;
    }
    platform.publish();
    while (transport::waitForSignal(publishInterval) != transport::ProcessSignal::Terminate)
        platform.publish();
    std::_Exit(0);
}
