/// Peak of the resident memory of a test's process.
#pragma once

#include <atomic>
#include <thread>
#include <transport/transport.h>

namespace comfreypier::testing {

/// Watches the resident memory while it exists.
class ResidentPeak {
public:
    ResidentPeak()
        : watcher([this] {
            for (; !this->stopped; std::this_thread::sleep_for(std::chrono::milliseconds { 1 }))
                this->peak = std::max(this->peak.load(), transport::residentBytes());
        })
    {
    }
    ~ResidentPeak()
    {
        this->stopped = true;
        this->watcher.join();
    }
    ResidentPeak(const ResidentPeak&) = delete;
    ResidentPeak& operator=(const ResidentPeak&) = delete;

    /// Returns the bytes by which the memory has exceeded that at the start.
    uint64_t growth() const { return this->peak - this->before; }

private:
    const uint64_t before = transport::residentBytes();
    std::atomic<uint64_t> peak { this->before };
    std::atomic<bool> stopped { false };
    std::thread watcher;
};

} // namespace comfreypier::testing
