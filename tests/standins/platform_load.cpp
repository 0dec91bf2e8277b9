/// comfreypier-platform-load: measures how many requests fail while workers leave, and while full workers name a time. Runs VMs, workers
/// and callers in one process on loopback.
#include "platform_standin.h"

#include <edge/edge.h>
#include <iostream>
#include <thread>

namespace comfreypier {

namespace {

    using standins::WorkerFault;
    using standins::WorkerStandin;
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    using transport::Endpoint;

    constexpr uint16_t basePort = 12500;
    constexpr int vmCount = 3;
    constexpr int workerCount = 8;
    constexpr int callerCount = 24;
    /// Time that a worker takes for a request, and the pause of a caller between two.
    constexpr int responseDelayMs = 40;
    constexpr milliseconds callerPause { 10 };
    constexpr seconds settleTime { 3 };
    /// Time from a worker's first statement that it leaves to its end, and from there to its next start.
    constexpr milliseconds leaveTime { 2500 };
    /// Time after that statement from which requests at the worker count.
    constexpr milliseconds newsTime { 500 };
    constexpr seconds restartTime { 2 };
    constexpr double namedSeconds = 2;
    constexpr seconds burstTime { 4 };

    Endpoint loopback(int offset)
    {
        return { "127.0.0.1", static_cast<uint16_t>(basePort + offset) };
    }

    /// Answers that callers got, by status; 0 for none.
    class Results {
    public:
        void add(unsigned status)
        {
            std::lock_guard lock(this->mutex);
            this->counts[status]++;
        }
        /// Prints the counts since the last call.
        void print(const std::string& name, const std::string& detail)
        {
            std::lock_guard lock(this->mutex);
            int sum = 0;
            for (const auto& [status, count] : this->counts)
                sum += count;
            std::cout << name << ": requests=" << sum << " failed=" << sum - this->counts[200];
            for (const auto& [status, count] : this->counts)
                std::cout << " status_" << status << "=" << count;
            std::cout << detail << std::endl;
            this->counts.clear();
        }

    private:
        std::mutex mutex;
        std::map<unsigned, int> counts;
    };

    class Load {
    public:
        Load()
            : store(this->runtime, loopback(0))
        {
            this->store.start();
            for (int i = 0; i < workerCount; i++) {
                this->workers.push_back(std::make_unique<WorkerStandin>(this->runtime, this->store, loopback(1 + i), "app" + std::to_string(i), "app"));
                this->workers.back()->responseDelayMs = responseDelayMs;
                this->workers.back()->start();
                this->workers.back()->publish();
            }
            this->store.write("keyed.op", "config", standins::makePlatformConfiguration(1));
            for (int vm = 0; vm < vmCount; vm++) {
                edge::Settings settings;
                settings.node = "vm" + std::to_string(vm);
                settings.region = "r";
                settings.dataCentre = "dc";
                settings.front = loopback(frontOffset(vm));
                settings.directory = loopback(frontOffset(vm) + 1);
                settings.readiness = loopback(frontOffset(vm) + 2);
                settings.inner = loopback(frontOffset(vm) + 3);
                settings.metrics = loopback(frontOffset(vm) + 4);
                settings.store = loopback(0);
                settings.logLevel = transport::LogLevel::Error;
                this->vms.push_back(std::make_unique<edge::Edge>(settings));
                this->vms.back()->start();
            }
            for (int caller = 0; caller < callerCount; caller++)
                this->callers.spawn([this, caller] { this->runCaller(caller); });
            std::this_thread::sleep_for(settleTime);
            this->results.print("before", "");
        }

        /// A quarter of the workers says that it leaves, ends and is back. Their entries never say so.
        void measureLeave()
        {
            for (int i = 0; i < workerCount / 4; i++)
                this->workers[static_cast<size_t>(i)]->leaving = true;
            std::this_thread::sleep_for(newsTime);
            auto arrivals = this->countArrivals(workerCount / 4);
            std::this_thread::sleep_for(leaveTime - newsTime);
            arrivals = this->countArrivals(workerCount / 4) - arrivals;
            for (int i = 0; i < workerCount / 4; i++) {
                this->workers[static_cast<size_t>(i)]->crash();
                this->workers[static_cast<size_t>(i)]->unpublish();
            }
            std::this_thread::sleep_for(restartTime);
            for (int i = 0; i < workerCount / 4; i++)
                this->workers[static_cast<size_t>(i)]->restart();
            std::this_thread::sleep_for(restartTime);
            this->results.print("leave of a quarter", " at_leaving_workers=" + std::to_string(arrivals));
        }

        /// Workers are full and name a time.
        void measureBurst(int fullWorkers)
        {
            auto arrivals = this->countArrivals(fullWorkers);
            for (int i = 0; i < fullWorkers; i++) {
                this->workers[static_cast<size_t>(i)]->retryAfterSeconds = namedSeconds;
                this->workers[static_cast<size_t>(i)]->fault = WorkerFault::Full;
            }
            std::this_thread::sleep_for(burstTime);
            arrivals = this->countArrivals(fullWorkers) - arrivals;
            for (int i = 0; i < fullWorkers; i++)
                this->workers[static_cast<size_t>(i)]->fault = WorkerFault::None;
            this->results.print(std::to_string(fullWorkers) + " of " + std::to_string(workerCount) + " workers full", " at_full_workers=" + std::to_string(arrivals));
            std::this_thread::sleep_for(std::chrono::duration<double>(2 * namedSeconds));
            this->results.print("after it", "");
        }

    private:
        static int frontOffset(int vm) { return 20 + 10 * vm; }

        /// Sends requests, one at a time. After a refusal it comes back when it is told, at the latest after a third of its time limit.
        void runCaller(int caller)
        {
            constexpr milliseconds timeLimit { 3000 };
            for (int i = 0;; i++) {
                transport::CallLimits limits;
                limits.response = timeLimit;
                auto id = "c" + std::to_string(caller) + "-" + std::to_string(i);
                transport::HttpRequest request { "POST", "/order/x", { { "Host", "h.example" }, { "Attempt-Id", id }, { "Deadline-Ms", std::to_string(timeLimit.count()) } }, "x" };
                auto response = this->client.call(loopback(frontOffset(caller % vmCount)), request, limits);
                this->results.add(response ? response.value().status : 0);
                auto pause = callerPause;
                if (response && response.value().status == 503) {
                    auto told = std::stod("0" + std::string(transport::findHeader(response.value().headers, "Retry-After")));
                    pause = std::min(timeLimit / 3, std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(told)));
                }
                transport::sleepFor(std::max(callerPause, pause));
            }
        }

        /// Returns how many requests the first `count` workers have got.
        size_t countArrivals(int count)
        {
            size_t sum = 0;
            for (int i = 0; i < count; i++) {
                std::lock_guard lock(this->workers[static_cast<size_t>(i)]->mutex);
                sum += this->workers[static_cast<size_t>(i)]->arrivals.size();
            }
            return sum;
        }

        transport::Runtime runtime { 1 };
        transport::Runtime callers { 1 };
        transport::HttpClient client;
        standins::StoreStandin store;
        std::vector<std::unique_ptr<WorkerStandin>> workers;
        std::vector<std::unique_ptr<edge::Edge>> vms;
        Results results;
    };

} // namespace

} // namespace comfreypier

int main()
{
    using namespace comfreypier;
    transport::raiseDescriptorLimit();
    transport::setUpLogging(transport::LogLevel::Error, {});
    auto* load = new Load;
    load->measureLeave();
    load->measureBurst(workerCount / 2);
    load->measureBurst(workerCount);
    // The VMs' and callers' fibers go on until the end of the process.
    std::_Exit(0);
}
