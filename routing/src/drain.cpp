/// Graceful shutdown of a VM: which requests it still sends to workers.
#include <algorithm>
#include <routing/routing.h>

namespace comfreypier::routing {

namespace {

    /// Weight of a new sample in the moving average of the pace.
    constexpr double paceSampleWeight = 0.1;

    Time scale(Time time, double factor)
    {
        return Time { static_cast<Time::rep>(static_cast<double>(time.count()) * factor) };
    }

} // namespace

DrainSchedule planDrain(Time startedAt, milliseconds grace)
{
    Time reserve = std::min<Time>(maxShutdownReserve, scale(grace, shutdownReserveShare));
    DrainSchedule schedule;
    schedule.closeAt = startedAt + grace - reserve;
    schedule.refuseAt = std::min<Time>(startedAt + drainServeTime, schedule.closeAt);
    schedule.endAt = schedule.closeAt + reserve / 4;
    schedule.exitAt = schedule.closeAt + reserve / 2;
    return schedule;
}

bool maySendWhileDraining(const DrainSchedule& schedule, Time expected, Time remaining, Time now)
{
    return now < schedule.refuseAt && now + std::min(scale(expected, drainTimeMargin), remaining) <= schedule.endAt;
}

void StreamPace::record(uint32_t expectedTokens, Time duration)
{
    if (expectedTokens == 0)
        return;
    auto sample = static_cast<double>(duration.count()) / expectedTokens;
    this->nanosecondsPerToken += (this->nanosecondsPerToken == 0 ? 1 : paceSampleWeight) * (sample - this->nanosecondsPerToken);
}

Time StreamPace::expectedTime(uint32_t expectedTokens) const
{
    return Time { static_cast<Time::rep>(this->nanosecondsPerToken * expectedTokens) };
}

} // namespace comfreypier::routing
