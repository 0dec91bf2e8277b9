/// A small deployment for a case: the store, workers and daemons, each in a process of its own.
#pragma once

#include "standin.hpp"

namespace review {

/// Routes and services with the figures of the site file `attar-vault.toml`.
/// @param engineMegabytes memory of a model worker for weights; one model has 72,700.
inline std::string makeConfiguration(int version, int engineMegabytes)
{
    std::string text = R"({"version":%V,"routes":[
{"name":"accord-compare","host":"scent.example","path-prefix":"/accord/","kind":"streaming","timeout-ms":5000,"target-latency-ms":800,"priority":2,"service":"scent-models","max-attempts":1,"sticky":true,"resumable":false,"target-gap-ms":250},
{"name":"dispute-compare","host":"scent.example","path-prefix":"/dispute/","kind":"streaming","timeout-ms":6000,"target-latency-ms":1500,"priority":1,"service":"scent-models","max-attempts":2,"sticky":true,"resumable":true,"target-gap-ms":250},
{"name":"formula-register","host":"scent.example","path-prefix":"/register/","kind":"non_idempotent","timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":"archive-ledger","max-attempts":1},
{"name":"formula-lookup","host":"scent.example","path-prefix":"/lookup/","kind":"idempotent","timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":"archive-ledger","max-attempts":2}],
"services":[{"name":"archive-ledger","health-path":"/health","max-conns":96,"protocol":"h1","tls":false},
{"name":"scent-models","health-path":"/health","max-conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":232000,"kv-token-bytes":327680,"link-mbps":550000.0,"moves":true,"backups":true,"stride":4,"cap":12,
"models":[{"name":"m0","weights-mb":72700.0,"load-s":1.2,"adapters":0,"adapter-mb":66.0},{"name":"m1","weights-mb":72700.0,"load-s":1.2,"adapters":0,"adapter-mb":66.0}],"weights-mb":%M,"adapter-slots":5,"loads-per-s":1.1}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
    text.replace(text.find("%V"), 2, std::to_string(version));
    text.replace(text.find("%M"), 2, std::to_string(engineMegabytes));
    return text;
}

class Cluster {
public:
    explicit Cluster(const CaseArguments& arguments)
        : record(arguments.record)
        , arguments(arguments)
        , freePorts(findFreePorts(portsOfCase))
    {
        this->storePort = this->takePort();
    }

    /// @return 0 if none is left; starting the program then fails.
    uint16_t takePort()
    {
        if (this->freePorts.empty())
            return 0;
        auto port = this->freePorts.back();
        this->freePorts.pop_back();
        return port;
    }

    pid_t start(const std::string& name, const std::vector<std::string>& command) { return this->processes.start(command, this->arguments.scratch + "/" + name + ".log"); }

    /// Starts the store and writes the first configuration.
    bool startStore(const std::string& configuration)
    {
        this->start("store", { this->arguments.platform, "store", std::to_string(this->storePort) });
        for (int i = 0; i < 50; i++) {
            if (writeRecord(this->storePort, "keyed.op", "config", configuration))
                return true;
            sleepFor(milliseconds { 100 });
        }
        return false;
    }

    /// @param model that an engine holds; empty for a plain service.
    pid_t startWorker(const std::string& id, const std::string& service, uint16_t port, const std::string& model)
    {
        std::vector<std::string> command { this->arguments.platform, "worker", id, service, std::to_string(port), std::to_string(this->storePort) };
        if (!model.empty())
            command.push_back(model);
        this->workers.push_back(id);
        return this->start(id, command);
    }

    /// Starts daemons and waits until all are ready.
    bool startVms(size_t count)
    {
        for (size_t i = 0; i < count; i++) {
            this->vms.push_back({ this->takePort(), this->takePort(), this->takePort(), this->takePort(), this->takePort() });
            this->daemons.push_back(this->startDaemon(i, true));
        }
        auto deadline = Clock::now() + std::chrono::seconds { 15 };
        for (size_t i = 0; i < count; i++) {
            while (!isReady(this->vms[i])) {
                if (Clock::now() > deadline) {
                    std::cerr << nodeName(i) << " did not become ready\n";
                    return false;
                }
                sleepFor(milliseconds { 100 });
            }
        }
        return true;
    }

    /// Starts a daemon again whose process has ended.
    void restartVm(size_t vm) { this->daemons[vm] = this->startDaemon(vm, false); }

    /// Writes into the record what the workers have run, as they tell in their logs.
    void recordRuns()
    {
        for (const auto& worker : this->workers) {
            std::ifstream log(this->arguments.scratch + "/" + worker + ".log");
            for (std::string line; std::getline(log, line);)
                this->record.write(worker + " " + line);
        }
    }

    Record record;
    Processes processes;
    std::vector<VmPorts> vms;
    std::vector<pid_t> daemons;
    uint16_t storePort = 0;

private:
    static std::string nodeName(size_t vm) { return "edge-delta-tanta-" + std::to_string(vm + 1); }
    std::string settingsPath(size_t vm) const { return this->arguments.scratch + "/" + nodeName(vm) + ".ini"; }
    pid_t startDaemon(size_t vm, bool bootstrap)
    {
        std::ofstream(this->settingsPath(vm)) << renderSettings(nodeName(vm), this->vms[vm], this->storePort, bootstrap);
        auto command = this->arguments.daemon;
        command.push_back(this->settingsPath(vm));
        return this->start(nodeName(vm), command);
    }

    static constexpr size_t portsOfCase = 64;

    const CaseArguments arguments;
    std::vector<uint16_t> freePorts;
    std::vector<std::string> workers; ///< Their ids.
};

} // namespace review
