/// Fiber scheduler that runs the io_context of the thread while no fiber is ready.
#include "transport_p.h"

namespace comfreypier::transport {

namespace {

    thread_local asio::io_context* threadContext = nullptr;

    class IoScheduler : public boost::fibers::algo::algorithm {
    public:
        IoScheduler(asio::io_context& context, unsigned resumesPerPoll)
            : context(context)
            , resumesPerPoll(resumesPerPoll)
        {
        }

        void awakened(boost::fibers::context* fiber) noexcept override
        {
            fiber->ready_link(this->ready);
        }

        boost::fibers::context* pick_next() noexcept override
        {
            // `suspend_until` runs the I/O then. A poll here could run the handler of `notify` after the scheduler has looked for what it announces.
            if (this->ready.empty())
                return nullptr;
            if (++this->resumesSincePoll >= this->resumesPerPoll) {
                this->resumesSincePoll = 0;
                this->context.poll();
            }
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
        const unsigned resumesPerPoll;
        boost::fibers::scheduler::ready_queue_type ready;
        unsigned resumesSincePoll = 0;
    };

} // namespace

asio::io_context* currentContext()
{
    return threadContext;
}

void installFiberScheduler(asio::io_context& context, unsigned resumesPerPoll)
{
    threadContext = &context;
    boost::fibers::use_scheduling_algorithm<IoScheduler>(context, resumesPerPoll);
}

} // namespace comfreypier::transport
