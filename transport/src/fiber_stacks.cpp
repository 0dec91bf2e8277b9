/// Stacks of fibers. The system gets back what a crowd of fibers has used.
#include "transport_p.h"

#include <sys/mman.h>

namespace comfreypier::transport {

namespace {

    /// Number of stacks that each thread keeps for further fibers.
    constexpr size_t maxCachedStacks = 32;

    /// Stacks of a thread that no fiber uses.
    struct StackCache {
        std::vector<void*> stacks;
        StackCache() { this->stacks.reserve(maxCachedStacks); }
        ~StackCache()
        {
            for (auto* stack : this->stacks)
                ::munmap(stack, fiberStackBytes);
        }
        StackCache(const StackCache&) = delete;
        StackCache& operator=(const StackCache&) = delete;
    };

    thread_local StackCache stackCache;

} // namespace

boost::context::stack_context FiberStacks::allocate()
{
    void* memory = nullptr;
    if (!stackCache.stacks.empty()) {
        memory = stackCache.stacks.back();
        stackCache.stacks.pop_back();
    } else {
        memory = ::mmap(nullptr, fiberStackBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_STACK | MAP_NORESERVE, -1, 0);
        if (memory == MAP_FAILED)
            throw std::bad_alloc();
    }
    boost::context::stack_context context;
    context.size = fiberStackBytes;
    context.sp = static_cast<char*>(memory) + fiberStackBytes;
    return context;
}

void FiberStacks::deallocate(boost::context::stack_context& context) noexcept
{
    auto* memory = static_cast<char*>(context.sp) - context.size;
    if (stackCache.stacks.size() < maxCachedStacks)
        stackCache.stacks.push_back(memory);
    else
        ::munmap(memory, context.size);
}

} // namespace comfreypier::transport
