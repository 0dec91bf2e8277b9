/// Counters and histograms of the daemon on the platform.
#pragma once

#include <array>
#include <atomic>
#include <routing/routing.h>
#include <transport/transport.h>

namespace comfreypier::edge {

/// Why a request was refused or failed.
enum class RefusalReason {
    NoConfiguration, ///< This VM has not read a configuration or the worker stream yet.
    NoRoute, ///< No route matches the request.
    UnknownKey, ///< The request has no key of a client account, and its route takes no others.
    OutdatedKeys, ///< The same, but another VM has a newer configuration, which may have the key.
    OverQuota, ///< The account of the request has used up its quota.
    QuotaUnknown, ///< No VM that knows what is left of the account's quota answers, and this VM's recent rate has no room.
    NoService, ///< The route has no known service.
    NoWorker, ///< The service has no known worker, or all are draining.
    Unreachable, ///< No worker could be reached, or all were full a moment ago.
    NoModel, ///< No worker holds the model.
    NoAdapter, ///< Workers hold the model, but none holds the adapter.
    NoRoom, ///< No worker is expected to have free capacity in time, or workers did not run the request and no retry is left.
    WorkerHold, ///< All suitable workers have named a time until which they want no request of this VM.
    WorkerLimit, ///< All suitable workers name limits on their requests, and this VM's shares are used up.
    Hopeless, ///< The first byte is expected after the caller's deadline.
    Outranked, ///< The same, because requests that go before it take the room.
    Leaving, ///< This VM is shutting down.
    CrashesWorkers, ///< Poison request: its content, or a part of its prompt, has crashed several workers.
    WorkerFailed, ///< A worker may have run the request and gave no usable answer.
    TimedOut, ///< No answer before the route's or the caller's deadline.
    CallerGone, ///< The caller closed its connection.
    Malformed, ///< Not a valid request. Not counted: the HTTP server refuses such requests, see `Relay::refuseMalformed`.
    Count
};

/// Why a request was retried.
enum class RetryReason {
    NotSent, ///< The connection could not be opened.
    NotRun, ///< The worker stated that it did not run the request.
    Broken, ///< The answer was cut off.
    Silent, ///< No answer within the time after which another worker is tried.
    Unusable, ///< The answer belonged to another request or was not authentic.
    Failed, ///< The worker answered with an error.
    Resumed, ///< A stream was resumed on another worker.
    Count
};

/// Events that are counted without a reason.
enum class CountedEvent {
    Requests,
    Answers, ///< Complete answers of workers that were forwarded to callers.
    StreamEvents, ///< Chunks of complete stream events that were forwarded to callers.
    StreamsCut, ///< Streams that were cut off before their end.
    StoreCalls,
    StoreFailures,
    BeatsSent, ///< Heartbeats sent to other VMs.
    BeatBytesSent, ///< Bytes of these heartbeats.
    BeatsDropped, ///< Heartbeats that the socket did not take: too large, or its buffer was full.
    BeatsSplit, ///< Heartbeats that were sent as several datagrams.
    MissingItemsHeldBack, ///< Missing items beyond those that a heartbeat names, once for each heartbeat.
    BeatsReceived, ///< Decodable heartbeats received from other VMs.
    Orders, ///< Load and unload orders sent to workers.
    ConfigurationsApplied,
    ConfigurationsFetched, ///< Records of the configuration that another VM passed on.
    BlamedCrashes, ///< Crashes of workers that requests of this VM are blamed for.
    BrokenAnswers, ///< Answers of workers, the store and other VMs that were no valid HTTP or had ended early.
    OversizedAnswers, ///< Answers of workers that were given up because they exceed the buffer memory.
    WorkerHolds, ///< Refusals of workers that named a time until which they want no request of this VM.
    StatementsIgnored, ///< Answers that say that a worker leaves, or name a time, and are no statement of the worker that was called.
    QuotaAsks, ///< Asks about quotas sent to other VMs, repeated ones included.
    QuotaAsksUnanswered, ///< VMs that left all asks about a request unanswered.
    QuotaFallbacks, ///< Requests that were decided by this VM's own recent rate.
    QuotaReturns, ///< Charges that were given back, as the request has not run.
    Withdrawals, ///< Requests that were not sent as their worker wanted none any more when the connection was open.
    Count
};

/// Returns the value of the metric's label.
const char* name(RefusalReason reason);
const char* name(RetryReason reason);
const char* name(CountedEvent event);

/// Counters of one VM.
struct EdgeCounters {
    std::array<std::atomic<uint64_t>, static_cast<size_t>(RefusalReason::Count)> refusals {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(RetryReason::Count)> retries {};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(CountedEvent::Count)> events {};
    /// How often requests passed over a worker that holds their model, by reason. A request counts a worker again if the reason changes.
    std::array<std::atomic<uint64_t>, static_cast<size_t>(routing::WorkerBlock::Count)> passedOver {};
    /// By priority: requests that wait now in a queue, and those that have waited in one.
    std::array<std::atomic<uint64_t>, routing::maxQueuePriority + 1> waiting {};
    std::array<std::atomic<uint64_t>, routing::maxQueuePriority + 1> waited {};
    transport::Distribution timeToFirstByte; ///< From receiving a request to sending the answer's first byte.
    transport::Distribution totalTime; ///< From receiving a request to the end of its handling.
};

void increment(EdgeCounters& counters, RefusalReason reason);
void increment(EdgeCounters& counters, RetryReason reason);
void increment(EdgeCounters& counters, routing::WorkerBlock block);
void increment(EdgeCounters& counters, CountedEvent event, uint64_t amount = 1);
/// Returns all counters in Prometheus text format.
std::string formatCounters(const EdgeCounters& counters);

} // namespace comfreypier::edge
