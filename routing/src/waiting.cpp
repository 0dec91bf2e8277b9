/// Waiting and refusing.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    milliseconds retryAfter(Time need)
    {
        return std::clamp(std::chrono::duration_cast<milliseconds>(need), retryAfterLeast, retryAfterMost);
    }

    /// Shortest time in which the obstacle can pass.
    Time passesIn(const Choice& choice, const ModelSpec* model, Time patience)
    {
        switch (choice.obstacle) {
        case Obstacle::NoModel:
            return model == nullptr ? patience : Time { model->diskLoad };
        case Obstacle::NoRoom:
            return choice.roomIn;
        case Obstacle::NoWorker:
            return patience;
        default:
            return Time { 0 };
        }
    }

} // namespace

WaitDecision decideWait(const Choice& choice, const ModelSpec* model, Time waited, Time patience)
{
    auto need = passesIn(choice, model, patience);
    auto longest = std::chrono::duration_cast<Time>(patience * waitShare);
    if (waited < longest && need < patience - waited)
        return { true, milliseconds { 0 } };
    return { false, retryAfter(need) };
}

WaitDecision decideSend(const Choice& choice, Time left)
{
    if (choice.firstByte <= left)
        return { true, milliseconds { 0 } };
    return { false, retryAfter(choice.firstByte / 2) };
}

} // namespace comfreypier::routing
