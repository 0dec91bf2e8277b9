/// Rate-limited weight store.
#include "standins.h"

namespace comfreypier::standins {

namespace {

    /// Items below this size count as adapters, in bytes.
    constexpr uint64_t adapterSizeLimit = 2'000'000'000;
    constexpr std::chrono::milliseconds adapterTime { 7 };

} // namespace

WeightStore::WeightStore(std::chrono::milliseconds loadTime, unsigned atOnce, unsigned adaptersAtOnce)
    : loadTime(loadTime)
    , atOnce(atOnce)
    , adaptersAtOnce(adaptersAtOnce)
{
}

void WeightStore::load(uint64_t bytes)
{
    bool isAdapter = bytes < adapterSizeLimit;
    auto& inTransit = isAdapter ? this->adapters : this->models;
    auto atFullSpeed = isAdapter ? this->adaptersAtOnce : this->atOnce;
    auto time = isAdapter ? adapterTime : this->loadTime;
    auto now = ++inTransit;
    auto factor = std::max(1.0, static_cast<double>(now) / atFullSpeed);
    transport::sleepFor(std::chrono::microseconds { static_cast<int64_t>(static_cast<double>(time.count()) * 1000 * factor) });
    inTransit--;
}

} // namespace comfreypier::standins
