/// Fiber scheduler that runs the io_context of the thread while no fiber is ready.
#include "transport_p.h"

namespace comfreypier::transport {

namespace {

    /// Number of fibers resumed between two polls for I/O, so that ready fibers don't starve I/O.
    constexpr unsigned resumesPerPoll = 64;

    thread_local asio::io_context* threadContext = nullptr;

    class IoScheduler : public boost::fibers::algo::algorithm {
    public:
        explicit IoScheduler(asio::io_context& context)
            : context(context)
        {
        }

        void awakened(boost::fibers::context* fiber) noexcept override
        {
            fiber->ready_link(this->ready);
        }

        boost::fibers::context* pick_next() noexcept override
        {
            if (++this->resumesSincePoll >= resumesPerPoll) {
                this->resumesSincePoll = 0;
                this->context.poll();
            }
            if (this->ready.empty())
                return nullptr;
            auto* fiber = &this->ready.front();
            this->ready.pop_front();
            return fiber;
        }

        bool has_ready_fibers() const noexcept override
        {
            return !this->ready.empty();
        }

        /// Runs I/O handlers. Waits for the first one until `until`; it may make a fiber ready.
        void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override
        {
            if (until == std::chrono::steady_clock::time_point::max())
                this->context.run_one();
            else
                this->context.run_one_until(until);
            this->context.poll();
        }

        /// May be called on other threads. The empty handler makes `suspend_until` return, so that this thread looks for ready fibers.
        void notify() noexcept override
        {
            asio::post(this->context, [] {});
        }

    private:
        asio::io_context& context;
        boost::fibers::scheduler::ready_queue_type ready;
        unsigned resumesSincePoll = 0;
    };

} // namespace

asio::io_context* currentContext()
{
    return threadContext;
}

void installFiberScheduler(asio::io_context& context)
{
    threadContext = &context;
    boost::fibers::use_scheduling_algorithm<IoScheduler>(context);
}

} // namespace comfreypier::transport
