/// Weight store whose loads slow down when too many run concurrently.
#include "standins.h"

namespace comfreypier::standins {

namespace {

    /// Items smaller than this count as adapters.
    constexpr uint64_t minModelBytes = 2'000'000'000;
    /// Time to load an adapter at full speed.
    constexpr std::chrono::milliseconds adapterLoadTime { 7 };

} // namespace

WeightStore::WeightStore(std::chrono::milliseconds loadTime, unsigned fullSpeedModelLoads, unsigned fullSpeedAdapterLoads)
    : loadTime(loadTime)
    , fullSpeedModelLoads(fullSpeedModelLoads)
    , fullSpeedAdapterLoads(fullSpeedAdapterLoads)
{
}

void WeightStore::load(uint64_t bytes)
{
    bool isAdapter = bytes < minModelBytes;
    auto& activeLoads = isAdapter ? this->activeAdapterLoads : this->activeModelLoads;
    auto fullSpeedLoads = isAdapter ? this->fullSpeedAdapterLoads : this->fullSpeedModelLoads;
    auto fullSpeedTime = isAdapter ? adapterLoadTime : this->loadTime;
    auto concurrentLoads = ++activeLoads;
    // Above the limit a load slows down in proportion to the number of loads when it starts.
    auto slowdown = std::max(1.0, static_cast<double>(concurrentLoads) / fullSpeedLoads);
    transport::sleepFor(std::chrono::microseconds { static_cast<int64_t>(static_cast<double>(fullSpeedTime.count()) * 1000 * slowdown) });
    activeLoads--;
}

} // namespace comfreypier::standins
