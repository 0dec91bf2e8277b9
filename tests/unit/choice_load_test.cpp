/// Plays the load of a deployment with uneven demand and uneven workers at the choice of a worker, without a network: VMs in three data
/// centres that know each other's loads only from heartbeats and summaries, and workers that prefill one prompt after the other.
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <queue>
#include <random>
#include <routing/routing.h>

using namespace comfreypier;
using namespace comfreypier::routing;
using std::chrono::milliseconds;

namespace {

constexpr size_t dataCentreCount = 3;
constexpr size_t vmsPerDataCentre = 20;
constexpr size_t workersPerDataCentre = 10;
constexpr size_t modelCount = 12;
constexpr size_t copiesPerModel = 5;
constexpr milliseconds heartbeatInterval { 450 };
constexpr milliseconds summaryDelay { 60 };
constexpr double kvCacheTokens = 167000;
constexpr milliseconds target { 800 };

struct Outcome {
    size_t requests = 0;
    size_t late = 0;
    double readTokens = 0;
    double repeatedTokens = 0; ///< Shared parts that some worker had read before for the same model.
};

/// A worker as it is, not as VMs believe it to be.
struct Engine {
    double speed = 1; ///< Of the worker, relative to the others.
    Time busyUntil { 0 };
    PrefixCache cache;
};

struct Simulation {
    struct Vm {
        size_t dataCentre = 0;
        std::vector<Worker> workers;
        std::vector<std::tuple<size_t, uint64_t, uint32_t>> sentPrefixes;
        uint64_t choices = 0;
    };

    Simulation(uint32_t seed, double requestsPerSecond)
        : random(seed)
        , requestsPerSecond(requestsPerSecond)
    {
        this->service.name = "s";
        this->service.engine = EngineSpec { 64, kvCacheTokens, 200, 8, 1, false, {} };
        std::vector<Worker> workers;
        for (size_t i = 0; i < dataCentreCount * workersPerDataCentre; i++) {
            Worker worker;
            worker.entry.id = "w" + std::to_string(i) + "-" + std::to_string(seed);
            worker.entry.service = "s";
            worker.entry.dataCentre = dataCentreName(i % dataCentreCount);
            workers.push_back(worker);
            this->engines.push_back({ i % 4 == 0 ? 0.55 : 1.2, Time { 0 }, {} });
        }
        for (size_t i = 0; i < modelCount * copiesPerModel; i++)
            workers[(i * 7 + i / workers.size()) % workers.size()].entry.models.push_back({ modelName(i % modelCount), 1, {} });
        for (size_t i = 0; i < dataCentreCount * vmsPerDataCentre; i++)
            this->vms.push_back({ i % dataCentreCount, workers, {}, 0 });
    }

    static std::string dataCentreName(size_t i) { return "dc" + std::to_string(i); }
    static std::string modelName(size_t i) { return "m" + std::to_string(i); }
    static double modelSpeed(size_t model) { return model % 6 == 0 ? 1 / 0.34 : 1; }

    void at(Time time, std::function<void()> action) { this->events.push({ time, this->eventCount++, std::move(action) }); }

    Outcome play(Time length)
    {
        for (size_t i = 0; i < this->vms.size(); i++)
            this->at(heartbeatInterval * i / this->vms.size(), [this, i] { this->sendHeartbeat(i); });
        for (size_t i = 0; i < dataCentreCount; i++)
            this->at(heartbeatInterval * (i + 1) / dataCentreCount, [this, i] { this->sendSummary(i); });
        this->at(Time { 0 }, [this] { this->arrive(); });
        while (!this->events.empty() && this->events.top().time < length) {
            auto event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.action();
        }
        return this->outcome;
    }

    void arrive()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        auto rate = this->requestsPerSecond * (this->now % std::chrono::seconds { 8 } < std::chrono::seconds { 3 } ? 1.7 : 1);
        auto gap = std::chrono::duration<double>(-std::log(1 - uniform(this->random)) / rate);
        this->at(this->now + std::chrono::duration_cast<Time>(gap), [this] { this->arrive(); });
        auto vm = std::uniform_int_distribution<size_t>(0, this->vms.size() - 1)(this->random);
        // Shares of models fall as 1 / (n + 2), those of subjects as 1 / n^0.3.
        auto pick = [&](size_t count, double power, double offset) {
            std::vector<double> weights;
            for (size_t i = 0; i < count; i++)
                weights.push_back(std::pow(static_cast<double>(i) + offset, -power));
            return std::discrete_distribution<size_t>(weights.begin(), weights.end())(this->random);
        };
        auto model = pick(modelCount, 0.6, 1);
        auto subject = pick(28, 0.3, 1);
        RequestShape shape;
        shape.model = modelName(model);
        auto own = static_cast<uint32_t>(500 - 2390 * std::log(1 - uniform(this->random)));
        shape.parts = { { 1 + subject % 3, 2520 }, { 100 + subject, 3780 }, { 1000 + this->outcome.requests, std::min(own, 12000U) } };
        for (const auto& part : shape.parts)
            shape.promptTokens += part.tokens;
        shape.outputTokens = 50;
        this->send(vm, model, shape);
    }

    void send(size_t vmIndex, size_t model, const RequestShape& shape)
    {
        auto& vm = this->vms[vmIndex];
        auto hashes = hashPrefixes(shape);
        std::vector<Worker*> pointers;
        for (auto& worker : vm.workers)
            pointers.push_back(&worker);
        ChoiceInputs inputs;
        inputs.service = &this->service;
        inputs.shape = &shape;
        inputs.prefixHashes = &hashes;
        auto dataCentre = dataCentreName(vm.dataCentre);
        inputs.dataCentre = dataCentre;
        inputs.targetLatency = target;
        inputs.crossDataCentreRoundTrip = milliseconds { 3 };
        inputs.peerUpdateAge = heartbeatInterval;
        inputs.choiceSeed = hashText(std::to_string(vmIndex), vm.choices++);
        inputs.now = this->now;
        auto choice = chooseWorker(pointers, inputs);
        this->outcome.requests++;
        if (choice.worker == nullptr) {
            this->outcome.late++;
            return;
        }
        auto index = static_cast<size_t>(choice.worker - vm.workers.data());
        double uncached = shape.promptTokens - choice.cachedTokens;
        WorkerLoad load { uncached, uncached + shape.outputTokens, 1 };
        choice.worker->ownLoad = choice.worker->ownLoad + load;
        for (size_t i = 0; i < hashes.size(); i++) {
            if (!choice.worker->prefixCache.contains(hashes[i]) && i + 1 < hashes.size())
                vm.sentPrefixes.emplace_back(index, hashes[i], shape.parts[i].tokens);
            choice.worker->prefixCache.add(hashes[i], shape.parts[i].tokens, kvCacheTokens * prefixCacheShare);
        }
        auto& engine = this->engines[index];
        double toRead = shape.promptTokens - routing::cachedTokens(engine.cache, shape, hashes);
        this->outcome.readTokens += toRead;
        double before = 0;
        for (size_t i = 0; i < hashes.size(); i++) {
            if (before >= shape.promptTokens - toRead && !this->everRead.insert(hashes[i]).second)
                this->outcome.repeatedTokens += shape.parts[i].tokens;
            before += shape.parts[i].tokens;
            engine.cache.add(hashes[i], shape.parts[i].tokens, kvCacheTokens * 0.9);
        }
        auto service = std::chrono::duration<double>(toRead / (38.7 * 1000 * engine.speed * modelSpeed(model)));
        engine.busyUntil = std::max(engine.busyUntil, this->now) + std::chrono::duration_cast<Time>(service);
        auto first = engine.busyUntil + milliseconds { 12 };
        this->outcome.late += first - this->now > target ? 1 : 0;
        auto sentAt = this->now;
        this->at(first, [this, vmIndex, index, load, sentAt, expected = choice.timeToFirstByte] {
            auto& worker = this->vms[vmIndex].workers[index];
            worker.ownLoad.prefillTokens -= load.prefillTokens;
            recordAnswer(worker, false, expected, this->now - sentAt, this->now);
        });
        this->at(first + milliseconds { 300 }, [this, vmIndex, index, load] {
            auto& worker = this->vms[vmIndex].workers[index];
            worker.ownLoad.memoryTokens -= load.memoryTokens;
            worker.ownLoad.requests--;
        });
    }

    void sendHeartbeat(size_t vmIndex)
    {
        this->at(this->now + heartbeatInterval, [this, vmIndex] { this->sendHeartbeat(vmIndex); });
        auto& sender = this->vms[vmIndex];
        for (size_t i = 0; i < this->vms.size(); i++) {
            if (i == vmIndex || this->vms[i].dataCentre != sender.dataCentre)
                continue;
            for (size_t w = 0; w < sender.workers.size(); w++)
                this->vms[i].workers[w].peerLoads[std::to_string(vmIndex)] = sender.workers[w].ownLoad;
            for (const auto& [worker, hash, tokens] : sender.sentPrefixes)
                this->vms[i].workers[worker].prefixCache.add(hash, tokens, kvCacheTokens * prefixCacheShare);
        }
        auto& queued = this->groupPrefixes[sender.dataCentre];
        queued.insert(queued.end(), sender.sentPrefixes.begin(), sender.sentPrefixes.end());
        sender.sentPrefixes.clear();
    }

    void sendSummary(size_t dataCentre)
    {
        this->at(this->now + heartbeatInterval, [this, dataCentre] { this->sendSummary(dataCentre); });
        std::vector<WorkerLoad> loads;
        for (const auto& worker : this->vms[dataCentre].workers) { // Of the first VM of the group.
            auto load = worker.ownLoad;
            for (const auto& [source, peerLoad] : worker.peerLoads)
                load = source.starts_with("dc") ? load : load + peerLoad;
            loads.push_back(load);
        }
        auto sent = std::exchange(this->groupPrefixes[dataCentre], {});
        this->at(this->now + summaryDelay, [this, dataCentre, loads, sent] {
            for (auto& vm : this->vms) {
                if (vm.dataCentre == dataCentre)
                    continue;
                for (const auto& [worker, hash, tokens] : sent)
                    vm.workers[worker].prefixCache.add(hash, tokens, kvCacheTokens * prefixCacheShare);
                for (size_t w = 0; w < loads.size(); w++)
                    vm.workers[w].peerLoads[dataCentreName(dataCentre)] = loads[w];
            }
        });
    }

    struct Event {
        Time time { 0 };
        uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::pair(other.time, other.number) < std::pair(this->time, this->number); }
    };

    std::mt19937 random;
    double requestsPerSecond = 0;
    Service service;
    std::vector<Vm> vms;
    std::vector<Engine> engines;
    std::map<size_t, std::vector<std::tuple<size_t, uint64_t, uint32_t>>> groupPrefixes; ///< Queued for the next summary, by data centre.
    std::set<uint64_t> everRead;
    std::priority_queue<Event> events;
    uint64_t eventCount = 0;
    Time now { 0 };
    Outcome outcome;
};

} // namespace

// Guards against prompts whose shared parts are read by every worker with the model, because VMs choose by loads alone or each in its own
// order: the reading then takes the time of the requests that follow.
Test(choice_load, shared_parts_are_read_by_few_workers_and_prompts_start_in_time)
{
    Outcome sum;
    for (uint32_t seed = 1; seed <= 4; seed++) {
        auto outcome = Simulation(seed, 110).play(std::chrono::seconds { 24 });
        sum.requests += outcome.requests;
        sum.late += outcome.late;
        sum.readTokens += outcome.readTokens;
        sum.repeatedTokens += outcome.repeatedTokens;
    }
    cr_assert_lt(sum.repeatedTokens, 0.25 * sum.readTokens, "%.0f of %.0f tokens were read again", sum.repeatedTokens, sum.readTokens);
    cr_assert_lt(20 * sum.late, sum.requests, "%zu of %zu requests were late", sum.late, sum.requests);
}
