/// comfreypier-soak: plays one seed. Exit code 0 if no promise was broken.
#include "soak.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <thread>

namespace comfreypier::soak {

namespace {

    constexpr int appWorkers = 2;
    constexpr int modelWorkers = 3;
    /// Ports from the first: the store, workers, their links, the VMs' links to the store.
    constexpr int workerPort = 1;
    constexpr int workerLinkPort = 20;
    constexpr int storeLinkPort = 40;

} // namespace

World::World(const Options& options)
    : options(options)
    , ledger(transport::monotonicNow())
    , store(this->runtime, { "127.0.0.1", options.port })
    , storeDisturbedAt(static_cast<size_t>(options.vms), -std::chrono::hours { 1 })
{
    if (!this->store.start())
        this->ledger.report("start", "the store's port is taken");
    for (int i = 0; i < appWorkers; i++)
        this->addWorker("app" + std::to_string(i), "app");
    for (int i = 0; i < modelWorkers; i++) {
        auto& worker = this->addWorker("llm" + std::to_string(i), "llm");
        standins::setModelMemory(worker);
        worker.models = { { "m" + std::to_string(i % 2 + 1), 40 } };
        worker.orderDurationMs = 100;
    }
    this->configure();
    for (int i = 0; i < options.vms; i++) {
        auto port = static_cast<uint16_t>(options.port + storeLinkPort + i);
        this->storeLinks.push_back(std::make_unique<Link>(this->linkContext, port, options.port));
        this->daemons.push_back(std::make_unique<Daemon>(this->options, this->ledger, i));
        this->daemons.back()->store = { "127.0.0.1", port };
    }
    this->threads.emplace_back([this] {
        auto guard = boost::asio::make_work_guard(this->linkContext);
        this->linkContext.run();
    });
    for (auto& daemon : this->daemons)
        daemon->start();
}

World::~World()
{
    for (auto& daemon : this->daemons)
        daemon->end();
    this->linkContext.stop();
    for (auto& thread : this->threads)
        thread.join();
}

standins::WorkerStandin& World::addWorker(const std::string& id, const std::string& service)
{
    auto number = static_cast<int>(this->workers.size());
    auto port = static_cast<uint16_t>(this->options.port + workerPort + number);
    auto link = static_cast<uint16_t>(this->options.port + workerLinkPort + number);
    this->workers.push_back(std::make_unique<standins::WorkerStandin>(this->runtime, this->store, Endpoint { "127.0.0.1", port }, id, service));
    auto& worker = *this->workers.back();
    worker.publishedAddress = { "127.0.0.1", link };
    if (!worker.start())
        this->ledger.report("start", "the port of " + id + " is taken");
    this->workerLinks.push_back(std::make_unique<Link>(this->linkContext, link, port));
    return worker;
}

void World::configure()
{
    std::lock_guard lock(this->mutex);
    this->version++;
    this->writtenAt = this->ledger.now();
    auto route = standins::makePlatformRoute("probe", "/v" + std::to_string(this->version) + "/");
    this->store.write("keyed.op", "config", standins::makePlatformConfiguration(this->version, route));
}

bool World::isDisturbed(const Daemon& daemon, Time since) const
{
    return !daemon.running || daemon.paused || daemon.disturbedAt >= since;
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
    description.add_options()("seed", po::value(&options.seed)->default_value(1))("seconds", po::value(&seconds)->default_value(60), "with faults")("vms", po::value(&options.vms)->default_value(3))(
        "callers", po::value(&options.callers)->default_value(24))("port", po::value(&options.port)->default_value(30000), "first of 200 ports")("daemon", po::value(&options.daemon)->required(), "path of comfreypierd")(
        "directory", po::value(&directory)->required(), "for settings and logs")("help", "print this help");
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
    options.directory = directory;
    std::filesystem::create_directories(options.directory);
    transport::blockTerminationSignals();
    transport::raiseDescriptorLimit();
    transport::setUpLogging(transport::LogLevel::Error, {});
    auto* world = new soak::World(options);
    soak::startCallers(*world);
    soak::playFaults(*world);
    world->stopping = true;
    world->ledger.compareRuns(world->workers);
    auto broken = world->ledger.print();
    for (auto& daemon : world->daemons)
        daemon->end();
    // Callers' fibers may still wait for answers.
    std::_Exit(broken == 0 ? 0 : 1);
}
