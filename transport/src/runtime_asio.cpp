/// I/O threads, events, clocks, signals and process statistics.
#include "transport_p.h"

#include <csignal>
#include <fstream>
#include <future>
#include <malloc.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace comfreypier::transport {

namespace {

    using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

    struct IoThread {
        asio::io_context context { 1 };
        WorkGuard workGuard { context.get_executor() }; ///< Keeps the context from stopping when it has no work.
        boost::fibers::fiber* rootFiber = nullptr;
        std::thread thread;
        boost::fibers::mutex stopMutex;
        boost::fibers::condition_variable stopCondition; ///< Notified when `stopping` is set.
        bool stopping = false; ///< Used on this thread only.
    };

} // namespace

struct Runtime::Impl {
    std::vector<std::unique_ptr<IoThread>> threads;
    std::atomic<uint64_t> nextThread { 0 };
    std::atomic<uint64_t> liveFiberCount { 0 };

    /// Runs `task` on a new fiber of `thread`, counted in `liveFiberCount` from now until it has ended.
    void spawnOn(IoThread& thread, std::function<void()> task)
    {
        this->liveFiberCount++;
        asio::post(thread.context, [this, task = std::move(task)]() mutable {
            startFiber([this, task = std::move(task)] {
                task();
                this->liveFiberCount--;
            });
        });
    }
};

namespace {

    /// Suspends the main fiber of the thread until `Runtime::stop`. The scheduler meanwhile runs the other fibers and the I/O.
    void runThread(IoThread& thread)
    {
        installFiberScheduler(thread.context);
        std::unique_lock lock(thread.stopMutex);
        thread.stopCondition.wait(lock, [&thread] { return thread.stopping; });
    }

} // namespace

Runtime::Runtime(unsigned threads)
    : impl(std::make_unique<Impl>())
{
    for (unsigned i = 0; i < threads; i++) {
        auto thread = std::make_unique<IoThread>();
        thread->thread = std::thread([&ioThread = *thread] { runThread(ioThread); });
        this->impl->threads.push_back(std::move(thread));
    }
}

Runtime::~Runtime()
{
    this->stop(std::chrono::milliseconds { 0 });
}

void Runtime::spawn(std::function<void()> task)
{
    auto index = this->impl->nextThread++ % this->impl->threads.size();
    this->impl->spawnOn(*this->impl->threads[index], std::move(task));
}

void Runtime::spawnOnEach(const std::function<void()>& task)
{
    for (auto& thread : this->impl->threads)
        this->impl->spawnOn(*thread, task);
}

unsigned Runtime::threadCount() const
{
    return static_cast<unsigned>(this->impl->threads.size());
}

uint64_t Runtime::liveFibers() const
{
    return this->impl->liveFiberCount;
}

bool Runtime::stop(std::chrono::milliseconds limit)
{
    auto deadline = std::chrono::steady_clock::now() + limit;
    while (this->impl->liveFiberCount > 0 && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
    bool allFibersEnded = this->impl->liveFiberCount == 0;
    if (!allFibersEnded)
        return false;
    for (auto& thread : this->impl->threads) {
        asio::post(thread->context, [&ioThread = *thread] {
            ioThread.stopping = true;
            ioThread.stopCondition.notify_all();
        });
        if (thread->thread.joinable())
            thread->thread.join();
    }
    this->impl->threads.clear();
    return true;
}

void spawnOnCurrentThread(std::function<void()> task)
{
    startFiber(std::move(task));
}

/// Uses a thread mutex instead of a fiber mutex: `signal` then never suspends and may be called while other locks are held.
struct Event::Impl {
    std::mutex mutex;
    boost::fibers::condition_variable_any condition;
    bool signalled = false;
};

Event::Event()
    : impl(std::make_unique<Impl>())
{
}

Event::~Event() = default;

void Event::signal()
{
    {
        std::unique_lock lock(this->impl->mutex);
        this->impl->signalled = true;
    }
    this->impl->condition.notify_all();
}

bool Event::waitFor(std::chrono::nanoseconds limit)
{
    std::unique_lock lock(this->impl->mutex);
    bool signalled = this->impl->condition.wait_for(lock, limit, [this] { return this->impl->signalled; });
    this->impl->signalled = false;
    return signalled;
}

void sleepFor(std::chrono::nanoseconds duration)
{
    boost::this_fiber::sleep_for(duration);
}

std::chrono::nanoseconds monotonicNow()
{
    return std::chrono::steady_clock::now().time_since_epoch();
}

std::chrono::nanoseconds bootTimeNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
}

std::chrono::milliseconds wallNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

namespace {

    sigset_t terminationSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

} // namespace

void blockTerminationSignals()
{
    auto signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

uint64_t descriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

void keepLargeBlocksApart()
{
    mallopt(M_MMAP_THRESHOLD, separateBlockBytes);
}

void raiseDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

ProcessSignal waitForSignal(std::chrono::milliseconds limit)
{
    auto signals = terminationSignals();
    timespec time {};
    time.tv_sec = limit.count() / 1000;
    time.tv_nsec = limit.count() % 1000 * 1000000;
    auto received = sigtimedwait(&signals, nullptr, &time);
    if (received < 0)
        return ProcessSignal::None;
    return received == SIGHUP ? ProcessSignal::Reload : ProcessSignal::Terminate;
}

std::chrono::nanoseconds processCpuTime()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto seconds = std::chrono::seconds { usage.ru_utime.tv_sec + usage.ru_stime.tv_sec };
    return seconds + std::chrono::microseconds { usage.ru_utime.tv_usec + usage.ru_stime.tv_usec };
}

uint64_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    statm >> total >> resident; // In pages.
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace comfreypier::transport
