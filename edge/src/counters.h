/// Counters and histograms of the daemon on the platform.
#pragma once

#include <array>
#include <atomic>
#include <transport/transport.h>

namespace comfreypier::edge {

/// Why a request was refused or failed.
enum class RefusalReason {
    NoConfiguration, ///< None is known yet.
    NoRoute,
    NoService, ///< The route leads to no known service.
    NoWorker,
    Unreachable,
    NoModel,
    NoAdapter,
    NoRoom, ///< Expected to stay without a place until the caller has gone.
    Hopeless, ///< The expected answer comes after the caller has gone.
    Leaving, ///< This VM is about to end.
    CrashesWorkers,
    WorkerFailed, ///< A worker may have run it and gave no usable answer.
    TimedOut, ///< No answer within the route's or the caller's time.
    CallerGone,
    Malformed, ///< Not a proper request.
    Count
};

/// Why a request was sent once more.
enum class RetryReason {
    NotSent, ///< The connection could not be opened.
    NotRun, ///< The worker stated that it did not run it.
    Broken, ///< The answer broke off.
    Silent, ///< No answer in the usual time.
    Unusable, ///< The answer belonged to another request or was not authentic.
    Failed, ///< The worker answered with an error.
    Resumed, ///< A stream goes on at another worker.
    Count
};

/// Plain counts.
enum class CountedEvent {
    Requests,
    Answers, ///< Whole answers of workers that were passed on.
    StreamEvents,
    StreamsCut, ///< Streams that ended without their end.
    StoreCalls,
    StoreFailures,
    BeatsSent,
    BeatBytesSent,
    BeatsReceived,
    Orders,
    ConfigurationsApplied,
    Count
};

const char* name(RefusalReason refusal);
const char* name(RetryReason repeat);
const char* name(CountedEvent event);

/// Counters of one VM.
struct EdgeCounters {
    std::array<std::atomic<uint64_t>, static_cast<size_t>(RefusalReason::Count)> refusals {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(RetryReason::Count)> retries {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(CountedEvent::Count)> events {};
    transport::Distribution timeToFirstByte; ///< From the request to the answer's first byte.
    transport::Distribution totalTime; ///< From the request to the answer's end.
};

void increment(EdgeCounters& counters, RefusalReason refusal);
void increment(EdgeCounters& counters, RetryReason repeat);
void increment(EdgeCounters& counters, CountedEvent event, uint64_t amount = 1);
/// Prints all in Prometheus' text format.
std::string formatCounters(const EdgeCounters& counters);

} // namespace comfreypier::edge
