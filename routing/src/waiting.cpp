/// Waiting and refusing.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    milliseconds retryAfter(Time need)
    {
        return std::clamp(std::chrono::duration_cast<milliseconds>(need), minRetryAfter, maxRetryAfter);
    }

    /// Shortest time in which the obstacle can pass.
    Time passesIn(const Choice& choice, const ModelSpec* model, Time patience)
    {
        switch (choice.blockReason) {
        case BlockReason::NoModel:
            return model == nullptr ? patience : Time { model->diskLoadTime };
        case BlockReason::NoCapacity:
            return choice.timeToCapacity;
        case BlockReason::NoWorker:
            return patience;
        default:
            return Time { 0 };
        }
    }

} // namespace

AdmissionDecision decideWait(const Choice& choice, const ModelSpec* model, Time waited, Time patience)
{
    auto need = passesIn(choice, model, patience);
    auto longest = std::chrono::duration_cast<Time>(patience * maxWaitShare);
    if (waited < longest && need < patience - waited)
        return { true, milliseconds { 0 } };
    return { false, retryAfter(need) };
}

AdmissionDecision decideSend(const Choice& choice, Time left)
{
    if (choice.timeToFirstByte <= left)
        return { true, milliseconds { 0 } };
    return { false, retryAfter(choice.timeToFirstByte / 2) };
}

} // namespace comfreypier::routing
