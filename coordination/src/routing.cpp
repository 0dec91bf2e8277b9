/// Routing by the estimated time to the first token.
#include <coordination/coordination.h>

namespace comfreypier::coordination {

namespace {

    /// Share of the prefill time that a cached prefix saves, in percent.
    constexpr int64_t cachedPrefixSavingPercent = 70;

} // namespace

std::chrono::microseconds estimateFirstTokenTime(const WorkerLoad& load)
{
    auto prefill = load.firstTokenTime;
    if (load.hasPrefix)
        prefill -= prefill * cachedPrefixSavingPercent / 100;
    // A report may lack the number of slots, which is then 0.
    auto slots = std::max<uint32_t>(load.slots, 1);
    auto requestsAhead = load.running + load.waiting + load.dispatched;
    std::chrono::microseconds queueing { 0 };
    // One slot becomes free every `requestTime / slots` on average. All but `slots - 1` of the requests ahead must end first.
    if (requestsAhead >= slots)
        queueing = load.requestTime * (requestsAhead - slots + 1) / slots;
    // The request travels to the worker, and the first token back.
    return 2 * load.oneWayLatency + prefill + queueing;
}

int chooseWorker(std::span<const WorkerLoad> candidates)
{
    int best = -1;
    std::chrono::microseconds bestTime { 0 };
    bool bestSuspectedDown = false;
    for (size_t i = 0; i < candidates.size(); i++) {
        const auto& load = candidates[i];
        if (load.draining)
            continue;
        auto time = estimateFirstTokenTime(load);
        // A worker that is not suspected to be down precedes one that is; among equals the lower estimate wins.
        bool better = best < 0 || (bestSuspectedDown && !load.suspectedDown) || (bestSuspectedDown == load.suspectedDown && time < bestTime);
        if (!better)
            continue;
        best = static_cast<int>(i);
        bestTime = time;
        bestSuspectedDown = load.suspectedDown;
    }
    return best;
}

} // namespace comfreypier::coordination
