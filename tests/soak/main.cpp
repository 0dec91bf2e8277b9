/// comfreypier-soak: runs the soak test with one seed. The exit code is 0 if no invariant was violated.
#include "soak.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <thread>

namespace comfreypier::soak {

namespace {

    /// Workers for orders and status requests.
    constexpr int appWorkerCount = 2;
    /// Workers that serve models.
    constexpr int modelWorkerCount = 3;
    /// Offsets from the base port, on which the store listens: workers, proxies to the workers, the VMs' proxies to the store.
    constexpr int workerPortOffset = 1;
    constexpr int workerProxyPortOffset = 20;
    constexpr int storeProxyPortOffset = 40;
    /// Time within which a VM learns the level of the quotas from the others.
    constexpr milliseconds quotaLearnTime { 1500 };
    /// Longest fault of the store and time for which it delays what VMs read.
    constexpr milliseconds storeFaultEffect { 8000 };

} // namespace

TestCluster::TestCluster(const Options& options)
    : options(options)
    , invariants(transport::monotonicNow())
    , store(this->runtime, { "127.0.0.1", options.basePort })
    , storeLastDisturbedAt(static_cast<size_t>(options.vmCount), -std::chrono::hours { 1 })
{
    if (!this->store.start())
        this->invariants.reportViolation("start", "the store cannot listen on its port");
    for (int i = 0; i < appWorkerCount; i++)
        this->addWorker("app" + std::to_string(i), "app");
    for (int i = 0; i < modelWorkerCount; i++) {
        auto& worker = this->addWorker("llm" + std::to_string(i), "llm");
        standins::setModelMemory(worker);
        // They start with m1 or m2. The daemons must load m3 and the adapters.
        worker.models = { { "m" + std::to_string(i % 2 + 1), 40 } };
        worker.orderDurationMs = 100;
    }
    this->configure();
    for (int i = 0; i < options.vmCount; i++) {
        auto port = static_cast<uint16_t>(options.basePort + storeProxyPortOffset + i);
        this->storeProxies.push_back(std::make_unique<FaultProxy>(this->proxyContext, port, options.basePort));
        this->daemons.push_back(std::make_unique<Daemon>(this->options, this->invariants, i));
        this->daemons.back()->storeEndpoint = { "127.0.0.1", port };
    }
    this->threads.emplace_back([this] {
        auto guard = boost::asio::make_work_guard(this->proxyContext);
        this->proxyContext.run();
    });
    for (auto& daemon : this->daemons)
        daemon->start();
}

TestCluster::~TestCluster()
{
    for (auto& daemon : this->daemons)
        daemon->terminate();
    this->proxyContext.stop();
    for (auto& thread : this->threads)
        thread.join();
}

standins::WorkerStandin& TestCluster::addWorker(const std::string& id, const std::string& service)
{
    auto number = static_cast<int>(this->workers.size());
    auto port = static_cast<uint16_t>(this->options.basePort + workerPortOffset + number);
    auto proxyPort = static_cast<uint16_t>(this->options.basePort + workerProxyPortOffset + number);
    this->workers.push_back(std::make_unique<standins::WorkerStandin>(this->runtime, this->store, Endpoint { "127.0.0.1", port }, id, service));
    auto& worker = *this->workers.back();
    worker.publishedAddress = { "127.0.0.1", proxyPort };
    if (!worker.start())
        this->invariants.reportViolation("start", "worker " + id + " cannot listen on its port");
    this->connectionsDisturbedAt.emplace_back();
    this->workerProxies.push_back(std::make_unique<FaultProxy>(this->proxyContext, proxyPort, port));
    return worker;
}

void TestCluster::configure()
{
    std::lock_guard lock(this->mutex);
    this->configurationVersion++;
    this->configurationsWrittenAt.push_back(this->invariants.now());
    auto route = standins::makePlatformRoute("probe", "/v" + std::to_string(this->configurationVersion) + "/", milliseconds { 1500 }, true);
    this->store.write("keyed.op", "config", standins::makePlatformConfiguration(this->configurationVersion, route, makeAccounts(this->configurationVersion)));
}

bool TestCluster::wasDisturbed(const Daemon& daemon, Time since) const
{
    return !daemon.running || daemon.paused || daemon.lastDisturbedAt >= since;
}

bool TestCluster::knowsQuotas(size_t vm)
{
    auto& daemon = *this->daemons[vm];
    std::scoped_lock lock(daemon.mutex, this->mutex);
    // A VM that has just started learns from the store which others there are.
    return !daemon.drainingSince && !this->wasDisturbed(daemon, this->invariants.now() - quotaLearnTime) && this->storeLastDisturbedAt[vm] + storeFaultEffect < daemon.startedAt;
}

} // namespace comfreypier::soak

int main(int argc, char** argv)
{
    using namespace comfreypier;
    namespace po = boost::program_options;
    soak::Options options;
    int seconds = 0;
    std::string directory;
    po::options_description description("options");
    description.add_options()("seed", po::value(&options.seed)->default_value(1))("seconds", po::value(&seconds)->default_value(60), "duration of the phase with faults")("vms", po::value(&options.vmCount)->default_value(3))(
        "callers", po::value(&options.callerCount)->default_value(24))("port", po::value(&options.basePort)->default_value(30000), "first of 200 ports")("daemon", po::value(&options.daemonPath)->required(), "path of comfreypierd")(
        "directory", po::value(&directory)->required(), "directory for settings and logs")("help", "print this help");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "comfreypier-soak: " << error.what() << "\n"
                  << description;
        return 2;
    }
    options.duration = std::chrono::seconds { seconds };
    options.outputDirectory = directory;
    std::filesystem::create_directories(options.outputDirectory);
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    transport::setUpLogging(transport::LogLevel::Error, {});
    auto* cluster = new soak::TestCluster(options);
    soak::startCallers(*cluster);
    soak::runFaults(*cluster);
    cluster->stopping = true;
    cluster->invariants.checkRuns(cluster->workers);
    {
        std::lock_guard lock(cluster->mutex);
        cluster->invariants.checkSignals(cluster->workers, cluster->connectionsDisturbedAt);
    }
    cluster->invariants.checkAccounts(cluster->workers, cluster->quotaLossTimes);
    cluster->invariants.checkLogs(cluster->options.outputDirectory);
    auto violations = cluster->invariants.printSummary();
    for (auto& daemon : cluster->daemons)
        daemon->terminate();
    // Skips destructors, because callers' fibers may still wait for responses.
    std::_Exit(violations == 0 ? 0 : 1);
}
