/// Injects faults from outside the daemons. They are drawn from the seed and overlap.
#include "soak.h"

#include <csignal>
#include <iostream>

namespace comfreypier::soak {

namespace {

    /// Interval at which faults and processes are updated.
    constexpr milliseconds stepInterval { 20 };
    /// Interval at which workers publish their entries.
    constexpr milliseconds publishInterval { 400 };
    /// Time without faults before the first one.
    constexpr milliseconds warmUpTime { 4000 };
    /// Time without faults between the end of the last one and the final checks.
    constexpr milliseconds recoveryTime { 3000 };
    /// Interval at which a misbehaving worker switches to another kind of fault.
    constexpr milliseconds faultChangeInterval { 350 };
    /// Number of faults in progress from which no new one is started. Momentary ones, such as a kill, do not count.
    constexpr std::ptrdiff_t maxConcurrentFaults = 3;
    /// Longest part of a time that a worker has named for which the run waits.
    constexpr int maxNamedTimeMs = 6000;

    /// One fault in progress.
    struct Fault {
        Time endsAt { 0 };
        std::function<void()> onEnd; ///< Ends the fault.
        std::string description; ///< For the log.
        bool isSignal = false; ///< What workers say; does not count towards `maxConcurrentFaults`.
    };

    /// Starts and ends faults, and records when they disturbed a part, so that the checks can allow for their effects.
    class FaultInjector {
    public:
        explicit FaultInjector(TestCluster& cluster)
            : cluster(cluster)
            , random(cluster.options.seed)
            , signalRandom(cluster.options.seed + 1)
            , keyRandom(cluster.options.seed + 2)
        {
        }

        /// Ends expired faults, starts a new one if it is due and allowed, and lets workers publish. Call it periodically.
        /// @param mayStartFaults false after the phase with faults, when faults in progress only end.
        void update(bool mayStartFaults)
        {
            auto now = this->cluster.invariants.now();
            for (auto it = this->faults.begin(); it != this->faults.end();) {
                if (now < it->endsAt) {
                    ++it;
                    continue;
                }
                auto fault = std::move(*it);
                it = this->faults.erase(it);
                fault.onEnd();
                this->log("end " + fault.description);
            }
            if (mayStartFaults && now >= this->nextFaultAt && std::count_if(this->faults.begin(), this->faults.end(), [](const auto& fault) { return !fault.isSignal; }) < maxConcurrentFaults) {
                this->startRandomFault();
                this->nextFaultAt = now + milliseconds { 200 + static_cast<int>(this->random() % 1800) };
            }
            if (mayStartFaults && now >= this->nextSignalAt) {
                this->startSignal();
                this->nextSignalAt = now + milliseconds { drawFrom(this->signalRandom, 1000, 3000) };
            }
            if (mayStartFaults && now >= this->nextKeyChangeAt) {
                this->log("new keys");
                this->cluster.configure();
                this->nextKeyChangeAt = now + milliseconds { drawFrom(this->keyRandom, 3000, 5000) };
            }
            for (auto& [number, changeAt] : this->nextFaultChangeAt) {
                if (now < changeAt)
                    continue;
                changeAt = now + faultChangeInterval;
                this->cluster.workers[number]->fault = static_cast<standins::WorkerFault>(this->drawInt(1, static_cast<int>(standins::WorkerFault::Count) - 1));
            }
            if (now >= this->nextPublishAt) {
                this->publishWorkers();
                this->nextPublishAt = now + publishInterval;
            }
        }

        bool isIdle() const { return this->faults.empty(); }

    private:
        /// Returns a random number from `min` to `max`, both included.
        int drawInt(int min, int max) { return drawFrom(this->random, min, max); }
        static int drawFrom(Random& random, int min, int max) { return min + static_cast<int>(random() % static_cast<uint64_t>(max - min + 1)); }

        void log(const std::string& text) { std::cout << "t=" << std::chrono::duration<double>(this->cluster.invariants.now()).count() << " " << text << std::endl; }

        /// Records a fault that is in force already, and schedules `onEnd`, which must end it.
        void startFault(const std::string& description, int durationMs, std::function<void()> onEnd)
        {
            this->log("begin " + description + " for " + std::to_string(durationMs) + " ms");
            this->faults.push_back({ this->cluster.invariants.now() + milliseconds { durationMs }, std::move(onEnd), description });
        }

        /// The same for what workers say.
        void startSignalFault(const std::string& description, int durationMs, std::function<void()> onEnd)
        {
            this->startFault(description, durationMs, std::move(onEnd));
            this->faults.back().isSignal = true;
        }

        void markWorkersDisturbed()
        {
            std::lock_guard lock(this->cluster.mutex);
            this->cluster.workersLastDisturbedAt = this->cluster.invariants.now();
        }

        /// Records a disturbance of one VM's proxy to the store, or of the store itself for all VMs if `vm` is empty.
        void markStoreDisturbed(std::optional<size_t> vm)
        {
            std::lock_guard lock(this->cluster.mutex);
            for (size_t i = 0; i < this->cluster.storeLastDisturbedAt.size(); i++) {
                if (!vm || *vm == i)
                    this->cluster.storeLastDisturbedAt[i] = this->cluster.invariants.now();
            }
        }

        /// Starts a fault. Faults of VMs are drawn twice as often as each other kind.
        void startRandomFault()
        {
            switch (this->drawInt(0, 5)) {
            case 0:
            case 1:
                return this->disturbVm();
            case 2:
                return this->disturbStore();
            case 3:
                return this->disturbWorker();
            case 4:
                return this->disturbProxy();
            default:
                return this->changeSettingsOrConfiguration();
            }
        }

        /// Stops, kills or pauses a VM, or kills all.
        void disturbVm()
        {
            auto vm = static_cast<size_t>(this->drawInt(0, this->cluster.options.vmCount - 1));
            auto& daemon = *this->cluster.daemons[vm];
            auto name = "vm" + std::to_string(vm);
            switch (this->drawInt(0, 6)) {
            case 0:
            case 1:
            case 2:
                this->log("stop " + name);
                return daemon.signal(SIGTERM);
            case 3:
                this->log("kill " + name);
                return daemon.signal(SIGKILL);
            case 4:
                // All VMs are killed in a third of the draws; the others have no effect.
                if (this->drawInt(0, 2) > 0)
                    return;
                this->log("kill all");
                for (auto& vmDaemon : this->cluster.daemons)
                    vmDaemon->signal(SIGKILL);
                return;
            default:
                daemon.signal(SIGSTOP);
                return this->startFault("pause " + name, this->drawInt(300, 6000), [&daemon] { daemon.signal(SIGCONT); });
            }
        }

        /// Starts a fault of the store for all VMs. A fault that a flag enables is not started again while it is in progress.
        void disturbStore()
        {
            this->markStoreDisturbed(std::nullopt);
            auto& store = this->cluster.store;
            auto setStoreFault = [this](const std::string& description, std::atomic<bool>& flag) {
                if (flag.exchange(true))
                    return;
                this->startFault("store " + description, this->drawInt(300, 6000), [this, &flag] {
                    flag = false;
                    this->markStoreDisturbed(std::nullopt);
                });
            };
            switch (this->drawInt(0, 4)) {
            case 0:
                return setStoreFault("refuses", store.unavailable);
            case 1:
                return setStoreFault("silent", store.unresponsive);
            case 2:
                return setStoreFault("drops append responses", store.dropsAppendResponses);
            case 3:
                this->log("store expires the next read");
                store.expireNextRead = true;
                return;
            default:
                store.appendDelayMs = this->drawInt(100, 2500);
                return this->startFault("store delays appends", this->drawInt(500, 5000), [this, &store] {
                    store.appendDelayMs = 0;
                    this->markStoreDisturbed(std::nullopt);
                });
            }
        }

        /// Lets a worker drain, crash, become slow or misbehave, unless it has such a fault already.
        void disturbWorker()
        {
            this->markWorkersDisturbed();
            auto number = static_cast<size_t>(this->drawInt(0, static_cast<int>(this->cluster.workers.size()) - 1));
            auto& worker = *this->cluster.workers[number];
            if (this->hasFault[number])
                return;
            this->hasFault[number] = true;
            auto finishFault = [this, number] {
                this->hasFault[number] = false;
                this->markWorkersDisturbed();
            };
            auto choice = this->drawInt(0, 9);
            if (choice == 0) {
                worker.draining = true;
                worker.publish();
                return this->startFault(worker.id + " drains", this->drawInt(1000, 4000), [&worker, finishFault] {
                    worker.draining = false;
                    finishFault();
                });
            }
            if (choice == 1) {
                auto& proxy = *this->cluster.workerProxies[number];
                this->markConnectionsDisturbed(number);
                proxy.faults.refusing = true;
                proxy.reset();
                this->unpublished[number] = true;
                worker.unpublish();
                return this->startFault(worker.id + " crashes", this->drawInt(500, 5000), [this, &worker, &proxy, number, finishFault] {
                    // The worker is back as after a restart: with a later start time and without adapters. Its models stay loaded.
                    worker.markRestarted();
                    {
                        std::lock_guard lock(worker.mutex);
                        worker.adapters.clear();
                    }
                    proxy.faults.refusing = false;
                    this->unpublished[number] = false;
                    finishFault();
                });
            }
            if (choice == 2) {
                worker.orderDurationMs = this->drawInt(300, 2500);
                return this->startFault(worker.id + " takes " + std::to_string(worker.orderDurationMs) + " ms for each order", this->drawInt(2000, 6000), [&worker, finishFault] {
                    worker.orderDurationMs = 100; // As at the start of the run.
                    finishFault();
                });
            }
            // The next update sets the first kind of fault.
            this->nextFaultChangeAt[number] = Time { 0 };
            this->startFault(worker.id + " misbehaves", this->drawInt(300, 5000), [this, &worker, number, finishFault] {
                this->nextFaultChangeAt.erase(number);
                worker.fault = standins::WorkerFault::None;
                finishFault();
            });
        }

        /// Lets workers say that they leave, or one name a time in its refusals.
        void startSignal()
        {
            auto number = static_cast<size_t>(drawFrom(this->signalRandom, 0, static_cast<int>(this->cluster.workers.size()) - 1));
            if (this->hasFault[number])
                return;
            if (drawFrom(this->signalRandom, 0, 1) == 0)
                return this->startNamedTime(number);
            bool all = drawFrom(this->signalRandom, 0, 3) == 0;
            auto service = this->cluster.workers[number]->id.substr(0, 3);
            for (size_t i = 0; i < this->cluster.workers.size(); i++) {
                if (i == number || (all && !this->hasFault[i] && this->cluster.workers[i]->id.substr(0, 3) == service))
                    this->startLeave(i);
            }
        }

        /// Lets a worker say that it leaves, without a change of its entry. It ends after a while and is back. At times it has started again just
        /// before, and its entry tells that late.
        void startLeave(size_t number)
        {
            auto& worker = *this->cluster.workers[number];
            this->hasFault[number] = true;
            this->markWorkersDisturbed();
            int entryDelayMs = 0;
            if (drawFrom(this->signalRandom, 0, 1) == 0) {
                this->unpublished[number] = true;
                this->startNextProcess(number);
                entryDelayMs = drawFrom(this->signalRandom, 2500, 4000);
                this->startSignalFault(worker.id + " tells late that it has restarted", entryDelayMs, [this, number] { this->unpublished[number] = false; });
            }
            worker.leaving = true;
            this->startSignalFault(worker.id + " says that it leaves", entryDelayMs + drawFrom(this->signalRandom, 3000, 6000), [this, number] { this->restartWorker(number); });
        }

        /// Lets a worker refuse requests for a while and name a time, which is short mostly. A worker that has named a long one is back
        /// as after a restart before it ends, so that the run does not wait for it.
        void startNamedTime(size_t number)
        {
            auto& worker = *this->cluster.workers[number];
            this->hasFault[number] = true;
            this->markWorkersDisturbed();
            auto delayMs = drawFrom(this->signalRandom, 0, 3) == 0 ? drawFrom(this->signalRandom, 3000, 30000) : drawFrom(this->signalRandom, 200, 3000);
            auto burstMs = drawFrom(this->signalRandom, 300, 2500);
            worker.retryAfterSeconds = delayMs / 1000.0;
            worker.refusesWithoutId = drawFrom(this->signalRandom, 0, 1) == 0;
            worker.fault = standins::WorkerFault::Full;
            this->startSignalFault(worker.id + " is full", burstMs, [&worker] {
                worker.fault = standins::WorkerFault::None;
                worker.retryAfterSeconds = -1;
                worker.refusesWithoutId = false;
            });
            bool restarts = delayMs > maxNamedTimeMs;
            this->startSignalFault(worker.id + " has named " + std::to_string(delayMs) + " ms", burstMs + std::min(delayMs, maxNamedTimeMs), [this, number, restarts] {
                if (restarts)
                    return this->restartWorker(number);
                this->hasFault[number] = false;
                this->markWorkersDisturbed();
            });
        }

        /// Ends the connections of a worker and lets it go on as its next process: under the same id and address, with a later start time and
        /// without adapters. Its models stay loaded.
        void startNextProcess(size_t number)
        {
            auto& worker = *this->cluster.workers[number];
            this->markConnectionsDisturbed(number);
            this->cluster.workerProxies[number]->reset();
            worker.markRestarted();
            std::lock_guard lock(worker.mutex);
            worker.adapters.clear();
        }

        /// Brings a worker back whose fault has ended.
        void restartWorker(size_t number)
        {
            this->cluster.workers[number]->leaving = false;
            this->startNextProcess(number);
            this->hasFault[number] = false;
            this->markWorkersDisturbed();
        }

        void markConnectionsDisturbed(size_t worker)
        {
            std::lock_guard lock(this->cluster.mutex);
            this->cluster.connectionsDisturbedAt[worker].push_back(this->cluster.invariants.now());
        }

        /// Starts a fault of the connections to the store of one VM, or of those to one worker.
        void disturbProxy()
        {
            bool isStoreProxy = this->drawInt(0, 1) == 0;
            auto& proxies = isStoreProxy ? this->cluster.storeProxies : this->cluster.workerProxies;
            auto number = static_cast<size_t>(this->drawInt(0, static_cast<int>(proxies.size()) - 1));
            auto markDisturbed = [this, isStoreProxy, number] {
                if (isStoreProxy)
                    this->markStoreDisturbed(number);
                else {
                    this->markWorkersDisturbed();
                    this->markConnectionsDisturbed(number);
                }
            };
            markDisturbed();
            auto& proxy = *proxies[number];
            auto name = (isStoreProxy ? "store proxy of vm" : "proxy of worker ") + std::to_string(number);
            auto holdBytes = [this, markDisturbed, name](const std::string& description, std::atomic<bool>& flag) {
                if (flag.exchange(true))
                    return;
                this->startFault(name + description, this->drawInt(300, 5000), [&flag, markDisturbed] {
                    flag = false;
                    markDisturbed();
                });
            };
            switch (this->drawInt(0, 4)) {
            case 0:
                this->log(name + " resets connections");
                return proxy.reset();
            case 1:
                this->log(name + " silences connections");
                return proxy.silence();
            case 2:
                return holdBytes(" holds requests", proxy.faults.holdRequests);
            case 3:
                return holdBytes(" holds responses", proxy.faults.holdResponses);
            default:
                proxy.faults.delayMs = this->drawInt(20, 400);
                return this->startFault(name + " delays", this->drawInt(500, 5000), [&proxy, markDisturbed] {
                    proxy.faults.delayMs = 0;
                    markDisturbed();
                });
            }
        }

        /// Changes the settings of a VM, with or without a signal, or writes one to four new configurations at once.
        void changeSettingsOrConfiguration()
        {
            auto& daemon = *this->cluster.daemons[static_cast<size_t>(this->drawInt(0, this->cluster.options.vmCount - 1))];
            if (this->drawInt(0, 2) == 0) {
                this->log("change the settings of a VM");
                return daemon.changeSettings(this->drawInt(0, 1) == 0);
            }
            auto versionCount = this->drawInt(1, 4);
            this->log(std::to_string(versionCount) + " new configurations");
            for (int i = 0; i < versionCount; i++)
                this->cluster.configure();
        }

        /// Publishes the entries of all workers except crashed ones.
        void publishWorkers()
        {
            for (size_t i = 0; i < this->cluster.workers.size(); i++) {
                if (!this->unpublished[i])
                    this->cluster.workers[i]->publish();
            }
        }

        TestCluster& cluster;
        Random random;
        Random signalRandom; ///< Draws what workers say. Separate, so that the other faults of a seed stay the same.
        Random keyRandom; ///< Draws when keys change.
        std::vector<Fault> faults;
        std::map<size_t, bool> hasFault; ///< Whether a fault of the worker itself is in progress, by worker.
        std::map<size_t, Time> nextFaultChangeAt; ///< Misbehaving workers, and when each switches to another kind of fault.
        std::map<size_t, bool> unpublished; ///< Whether the worker publishes no entry, by worker.
        Time nextFaultAt { warmUpTime };
        Time nextSignalAt { warmUpTime };
        Time nextKeyChangeAt { warmUpTime };
        Time nextPublishAt { 0 };
    };

} // namespace

void runFaults(TestCluster& cluster)
{
    FaultInjector injector(cluster);
    auto faultsEndAt = cluster.options.duration;
    std::optional<Time> idleSince;
    while (true) {
        auto now = cluster.invariants.now();
        injector.update(now < faultsEndAt);
        for (auto& daemon : cluster.daemons)
            daemon->supervise();
        int knowing = 0;
        for (size_t i = 0; i < cluster.daemons.size(); i++)
            knowing += cluster.knowsQuotas(i) ? 1 : 0;
        if (knowing < 2)
            cluster.quotaLossTimes.push_back(now);
        bool idle = now >= faultsEndAt && injector.isIdle();
        for (auto& daemon : cluster.daemons) {
            std::lock_guard lock(daemon->mutex);
            idle = idle && daemon->running && !daemon->drainingSince;
        }
        if (!idle)
            idleSince.reset();
        else if (!idleSince)
            idleSince = now;
        else if (now - *idleSince > recoveryTime)
            break;
        std::this_thread::sleep_for(stepInterval);
    }
    cluster.finalCheckRunning = true;
    std::thread finalCheck([&cluster] { checkReachability(cluster); cluster.finalCheckRunning = false; });
    while (cluster.finalCheckRunning) {
        // Lets the workers publish their entries during the check.
        injector.update(false);
        std::this_thread::sleep_for(stepInterval);
    }
    finalCheck.join();
}

} // namespace comfreypier::soak
