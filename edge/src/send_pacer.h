/// Minimum gap between messages that are sent when something has changed.
#pragma once

#include <transport/transport.h>
#include <utility>

namespace comfreypier::edge {

/// Lets one kind of message pass once in a gap. One that comes too early is sent when the gap has passed, and stands for all that come until
/// then. Used on one thread only.
class SendPacer {
public:
    /// Returns whether the message is to be sent now.
    /// @param gap minimum time since the last message.
    /// @param sendAgain called when the gap has passed, if the message is not to be sent now and no other one waits.
    bool tryPass(std::chrono::nanoseconds gap, std::function<void()> sendAgain)
    {
        auto now = transport::monotonicNow();
        auto dueAt = this->passedAt + gap;
        if (now >= dueAt) {
            this->passedAt = now;
            return true;
        }
        if (!std::exchange(this->isPending, true)) {
            transport::spawnOnCurrentThread([this, delay = dueAt - now, sendAgain = std::move(sendAgain)] {
                transport::sleepFor(delay);
                this->isPending = false;
                sendAgain();
            });
        }
        return false;
    }

private:
    std::chrono::nanoseconds passedAt { 0 }; ///< When the last message passed.
    bool isPending = false; ///< A message waits.
};

} // namespace comfreypier::edge
