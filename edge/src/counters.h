/// Counters and histograms of the daemon on the platform.
#pragma once

#include <array>
#include <atomic>
#include <transport/transport.h>

namespace comfreypier::edge {

/// Why a request was refused or failed.
enum class Refusal {
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
enum class Repeat {
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
enum class Event {
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

const char* name(Refusal refusal);
const char* name(Repeat repeat);
const char* name(Event event);

/// Counters of one VM.
struct EdgeCounters {
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Refusal::Count)> refusals {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Repeat::Count)> repeats {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Event::Count)> events {};
    transport::Distribution firstByte; ///< From the request to the answer's first byte.
    transport::Distribution whole; ///< From the request to the answer's end.
};

void add(EdgeCounters& counters, Refusal refusal);
void add(EdgeCounters& counters, Repeat repeat);
void add(EdgeCounters& counters, Event event, uint64_t amount = 1);
/// Prints all in Prometheus' text format.
std::string formatCounters(const EdgeCounters& counters);

} // namespace comfreypier::edge
