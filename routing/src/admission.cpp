/// Admission: whether a request waits, is sent, is refused or goes on at another worker.
#include <algorithm>
#include <array>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    milliseconds clampRetryAfter(Time delay)
    {
        return std::clamp(std::chrono::duration_cast<milliseconds>(delay), minRetryAfter, maxRetryAfter);
    }

    /// Longest part of a caller's Retry-After by which it is put off to spread the callers.
    constexpr double maxRetrySpreadShare = 0.5;

    /// Returns the shortest time in which the block reason can pass: for a missing model its load from a worker's disk, 0 if it may
    /// pass at any moment, `timeout` if there is no worker or no such model or all workers have named times, so that the request is refused.
    Time minTimeToUnblock(const Choice& choice, const ModelSpec* model, Time timeout)
    {
        switch (choice.blockReason) {
        case BlockReason::NoModel:
            return model == nullptr ? timeout : Time { model->diskLoadTime };
        case BlockReason::NoCapacity:
            return choice.timeToCapacity;
        case BlockReason::Held:
            return choice.timeToCapacity <= minRetryAfter ? choice.timeToCapacity : timeout;
        case BlockReason::NoWorker:
        case BlockReason::Limited:
            return timeout;
        default:
            return Time { 0 };
        }
    }

} // namespace

AdmissionDecision decideWait(const Choice& choice, const ModelSpec* model, Time waited, Time timeout)
{
    auto timeToUnblock = minTimeToUnblock(choice, model, timeout);
    auto maxWait = std::chrono::duration_cast<Time>(timeout * maxWaitShare);
    if (waited < maxWait && timeToUnblock < timeout - waited)
        return { true, milliseconds { 0 } };
    // How long a worker takes no request is known, however long it is.
    if (choice.blockReason == BlockReason::Limited || choice.blockReason == BlockReason::Held)
        return { false, std::max(minRetryAfter, std::chrono::ceil<milliseconds>(choice.timeToCapacity)) };
    return { false, clampRetryAfter(timeToUnblock) };
}

milliseconds spreadRetryAfter(milliseconds earliest, uint64_t seed)
{
    constexpr uint64_t steps = 1024;
    auto share = static_cast<double>(hashText("spread", seed) % (steps + 1)) / steps;
    auto spread = std::clamp(std::chrono::duration_cast<milliseconds>(earliest * maxRetrySpreadShare), minRetryAfter, maxRetryAfter);
    return earliest + std::chrono::duration_cast<milliseconds>(spread * share);
}

AdmissionDecision decideSend(const Choice& choice, Time remaining)
{
    if (choice.timeToFirstByte <= remaining)
        return { true, milliseconds { 0 } };
    return { false, clampRetryAfter(choice.timeToFirstByte / 2) };
}

const char* name(RunEvidence evidence)
{
    constexpr std::array<const char*, static_cast<size_t>(RunEvidence::Count)> names { "running", "ended", "unreachable", "no_answer" };
    return names[static_cast<size_t>(evidence)];
}

std::optional<Time> silenceBeforeResume(RunEvidence evidence, Time patience)
{
    switch (evidence) {
    case RunEvidence::Running:
        return std::nullopt;
    case RunEvidence::NoAnswer:
        return std::min<Time>(maxWorkerPause, patience - resumeReserve);
    default:
        return Time { 0 };
    }
}

} // namespace comfreypier::routing
