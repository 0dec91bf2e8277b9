/// Distributions of durations over Boost.Accumulators, split into shards with a lock each.
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <thread>
#include <transport/transport.h>

namespace comfreypier::transport {

namespace acc = boost::accumulators;

namespace {

    constexpr std::array<double, 2> recordedQuantiles { 0.5, 0.99 };
    using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>;

    /// Durations that some of the threads recorded, in nanoseconds.
    struct Shard {
        std::mutex mutex; ///< Protects `values`.
        Accumulator values { acc::extended_p_square_probabilities = recordedQuantiles };
    };

    std::chrono::nanoseconds toNanoseconds(double value)
    {
        return std::chrono::nanoseconds { static_cast<int64_t>(value) };
    }

} // namespace

struct Distribution::Impl {
    std::array<Shard, distributionShardCount> shards;
};

Distribution::Distribution()
    : impl(std::make_unique<Impl>())
{
}

Distribution::~Distribution() = default;

void Distribution::record(std::chrono::nanoseconds value)
{
    // A thread always uses the same shard.
    auto index = std::hash<std::thread::id> {}(std::this_thread::get_id()) % distributionShardCount;
    auto& shard = this->impl->shards[index];
    std::lock_guard lock(shard.mutex);
    shard.values(static_cast<double>(value.count()));
}

DistributionStats Distribution::stats() const
{
    DistributionStats merged;
    // `sum`, `p50` and `p99` add up the values of the shards, weighted by their counts.
    double sum = 0;
    double p50 = 0;
    double p99 = 0;
    double max = 0;
    for (auto& shard : this->impl->shards) {
        std::lock_guard lock(shard.mutex);
        auto count = acc::count(shard.values);
        if (count == 0)
            continue;
        auto weight = static_cast<double>(count);
        auto quantiles = acc::extended_p_square(shard.values);
        merged.count += count;
        sum += acc::mean(shard.values) * weight;
        p50 += quantiles[0] * weight;
        p99 += quantiles[1] * weight;
        max = std::max(max, acc::max(shard.values));
    }
    if (merged.count == 0)
        return merged;
    auto total = static_cast<double>(merged.count);
    merged.mean = toNanoseconds(sum / total);
    merged.p50 = toNanoseconds(p50 / total);
    merged.p99 = toNanoseconds(p99 / total);
    merged.max = toNanoseconds(max);
    return merged;
}

} // namespace comfreypier::transport
