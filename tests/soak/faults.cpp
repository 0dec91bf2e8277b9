/// Faults from outside, drawn from the seed: series that overlap.
#include "soak.h"

#include <csignal>
#include <iostream>

namespace comfreypier::soak {

namespace {

    constexpr milliseconds tick { 20 };
    /// Time in which workers publish themselves again.
    constexpr milliseconds beatInterval { 400 };
    /// Calm time before the first fault and between the end of the last and the last checks.
    constexpr milliseconds startTime { 4000 };
    constexpr milliseconds healTime { 3000 };
    /// For which a worker misbehaves in one way.
    constexpr milliseconds moodTime { 350 };
    /// Most faults at a time.
    constexpr size_t faultsAtOnce = 3;

    /// One fault in progress.
    struct Fault {
        Time until { 0 };
        std::function<void()> end;
        std::string what;
    };

    /// Plays faults and notes which promises they touch.
    class Trouble {
    public:
        explicit Trouble(World& world)
            : world(world)
            , random(world.options.seed)
        {
        }

        void step(bool mayStart)
        {
            auto now = this->world.ledger.now();
            for (auto it = this->faults.begin(); it != this->faults.end();) {
                if (now < it->until) {
                    ++it;
                    continue;
                }
                auto fault = std::move(*it);
                it = this->faults.erase(it);
                fault.end();
                this->log("end " + fault.what);
            }
            if (mayStart && now >= this->nextAt && this->faults.size() < faultsAtOnce) {
                this->begin();
                this->nextAt = now + milliseconds { 200 + static_cast<int>(this->random() % 1800) };
            }
            for (auto& [number, until] : this->moodyUntil) {
                if (now < until)
                    continue;
                until = now + moodTime;
                this->world.workers[number]->fault = static_cast<standins::WorkerFault>(this->draw(1, static_cast<int>(standins::WorkerFault::Count) - 1));
            }
            if (now >= this->beatAt) {
                this->publishAll();
                this->beatAt = now + beatInterval;
            }
        }

        bool isQuiet() const { return this->faults.empty(); }

    private:
        int draw(int least, int most) { return least + static_cast<int>(this->random() % static_cast<uint64_t>(most - least + 1)); }

        void log(const std::string& text) { std::cout << "t=" << std::chrono::duration<double>(this->world.ledger.now()).count() << " " << text << std::endl; }

        void add(const std::string& what, int lastsMs, std::function<void()> end)
        {
            this->log("begin " + what + " for " + std::to_string(lastsMs) + " ms");
            this->faults.push_back({ this->world.ledger.now() + milliseconds { lastsMs }, std::move(end), what });
        }

        void touchWorkers()
        {
            std::lock_guard lock(this->world.mutex);
            this->world.workersDisturbedAt = this->world.ledger.now();
        }

        void touchStore(std::optional<size_t> vm)
        {
            std::lock_guard lock(this->world.mutex);
            for (size_t i = 0; i < this->world.storeDisturbedAt.size(); i++) {
                if (!vm || *vm == i)
                    this->world.storeDisturbedAt[i] = this->world.ledger.now();
            }
        }

        void begin()
        {
            switch (this->draw(0, 5)) {
            case 0:
            case 1:
                return this->disturbVm();
            case 2:
                return this->disturbStore();
            case 3:
                return this->disturbWorker();
            case 4:
                return this->disturbLink();
            default:
                return this->change();
            }
        }

        void disturbVm()
        {
            auto vm = static_cast<size_t>(this->draw(0, this->world.options.vms - 1));
            auto& daemon = *this->world.daemons[vm];
            auto name = "vm" + std::to_string(vm);
            switch (this->draw(0, 6)) {
            case 0:
            case 1:
            case 2:
                this->log("stop " + name);
                return daemon.signal(SIGTERM);
            case 3:
                this->log("kill " + name);
                return daemon.signal(SIGKILL);
            case 4:
                if (this->draw(0, 2) > 0)
                    return;
                this->log("kill all");
                for (auto& each : this->world.daemons)
                    each->signal(SIGKILL);
                return;
            default:
                daemon.signal(SIGSTOP);
                return this->add("pause " + name, this->draw(300, 6000), [&daemon] { daemon.signal(SIGCONT); });
            }
        }

        void disturbStore()
        {
            this->touchStore(std::nullopt);
            auto& store = this->world.store;
            auto flag = [this](const std::string& what, std::atomic<bool>& flag) {
                if (flag.exchange(true))
                    return;
                this->add("store " + what, this->draw(300, 6000), [this, &flag] {
                    flag = false;
                    this->touchStore(std::nullopt);
                });
            };
            switch (this->draw(0, 4)) {
            case 0:
                return flag("refuses", store.unavailable);
            case 1:
                return flag("silent", store.unresponsive);
            case 2:
                return flag("loses answers", store.dropsAppendResponses);
            case 3:
                this->log("store forgets");
                store.expireNextRead = true;
                return;
            default:
                store.appendDelayMs = this->draw(100, 2500);
                return this->add("store appends late", this->draw(500, 5000), [this, &store] {
                    store.appendDelayMs = 0;
                    this->touchStore(std::nullopt);
                });
            }
        }

        void disturbWorker()
        {
            this->touchWorkers();
            auto number = static_cast<size_t>(this->draw(0, static_cast<int>(this->world.workers.size()) - 1));
            auto& worker = *this->world.workers[number];
            if (this->busy[number])
                return;
            this->busy[number] = true;
            auto finish = [this, number] {
                this->busy[number] = false;
                this->touchWorkers();
            };
            auto choice = this->draw(0, 9);
            if (choice == 0) {
                worker.draining = true;
                worker.publish();
                return this->add(worker.id + " leaves", this->draw(1000, 4000), [&worker, finish] {
                    worker.draining = false;
                    finish();
                });
            }
            if (choice == 1) {
                auto& link = *this->world.workerLinks[number];
                link.faults.refusing = true;
                link.reset();
                this->gone[number] = true;
                worker.unpublish();
                return this->add(worker.id + " crashes", this->draw(500, 5000), [this, &worker, &link, number, finish] {
                    worker.startedAtMs += 1000;
                    {
                        std::lock_guard lock(worker.mutex);
                        worker.adapters.clear();
                    }
                    link.faults.refusing = false;
                    this->gone[number] = false;
                    finish();
                });
            }
            if (choice == 2) {
                worker.orderDurationMs = this->draw(300, 2500);
                return this->add(worker.id + " orders take " + std::to_string(worker.orderDurationMs) + " ms", this->draw(2000, 6000), [&worker, finish] {
                    worker.orderDurationMs = 100;
                    finish();
                });
            }
            this->moodyUntil[number] = Time { 0 };
            this->add(worker.id + " misbehaves", this->draw(300, 5000), [this, &worker, number, finish] {
                this->moodyUntil.erase(number);
                worker.fault = standins::WorkerFault::None;
                finish();
            });
        }

        void disturbLink()
        {
            bool toStore = this->draw(0, 1) == 0;
            auto& links = toStore ? this->world.storeLinks : this->world.workerLinks;
            auto number = static_cast<size_t>(this->draw(0, static_cast<int>(links.size()) - 1));
            auto touch = [this, toStore, number] {
                if (toStore)
                    this->touchStore(number);
                else
                    this->touchWorkers();
            };
            touch();
            auto& link = *links[number];
            auto name = (toStore ? "store link of vm" : "link of worker ") + std::to_string(number);
            auto hold = [this, touch, name](const std::string& what, std::atomic<bool>& flag) {
                if (flag.exchange(true))
                    return;
                this->add(name + what, this->draw(300, 5000), [&flag, touch] {
                    flag = false;
                    touch();
                });
            };
            switch (this->draw(0, 4)) {
            case 0:
                this->log(name + " resets");
                return link.reset();
            case 1:
                this->log(name + " goes silent");
                return link.silence();
            case 2:
                return hold(" holds requests", link.faults.holdsRequests);
            case 3:
                return hold(" holds answers", link.faults.holdsAnswers);
            default:
                link.faults.delayMs = this->draw(20, 400);
                return this->add(name + " delays", this->draw(500, 5000), [&link, touch] {
                    link.faults.delayMs = 0;
                    touch();
                });
            }
        }

        void change()
        {
            auto& daemon = *this->world.daemons[static_cast<size_t>(this->draw(0, this->world.options.vms - 1))];
            if (this->draw(0, 2) == 0) {
                this->log("settings of a VM change");
                return daemon.changeSettings(this->draw(0, 1) == 0);
            }
            auto times = this->draw(1, 4);
            this->log(std::to_string(times) + " configurations");
            for (int i = 0; i < times; i++)
                this->world.configure();
        }

        void publishAll()
        {
            for (size_t i = 0; i < this->world.workers.size(); i++) {
                if (!this->gone[i])
                    this->world.workers[i]->publish();
            }
        }

        World& world;
        Random random;
        std::vector<Fault> faults;
        std::map<size_t, bool> busy; ///< Workers with a fault of their own.
        std::map<size_t, Time> moodyUntil; ///< Workers that misbehave, with the time at which they do so in another way.
        std::map<size_t, bool> gone; ///< Workers that publish nothing.
        Time nextAt { startTime };
        Time beatAt { 0 };
    };

} // namespace

void playFaults(World& world)
{
    Trouble trouble(world);
    auto end = world.options.duration;
    std::optional<Time> quietSince;
    while (true) {
        auto now = world.ledger.now();
        trouble.step(now < end);
        for (auto& daemon : world.daemons)
            daemon->tend();
        bool quiet = now >= end && trouble.isQuiet();
        for (auto& daemon : world.daemons) {
            std::lock_guard lock(daemon->mutex);
            quiet = quiet && daemon->running && !daemon->leavingSince;
        }
        if (!quiet)
            quietSince.reset();
        else if (!quietSince)
            quietSince = now;
        else if (now - *quietSince > healTime)
            break;
        std::this_thread::sleep_for(tick);
    }
    world.calm = true;
    std::thread checker([&world] { checkReach(world); world.calm = false; });
    while (world.calm) {
        trouble.step(false);
        std::this_thread::sleep_for(tick);
    }
    checker.join();
}

} // namespace comfreypier::soak
