/// Plain service that counts how many times it ran each order.
#include "standins.h"

namespace comfreypier::standins {

namespace {

    /// Delay of the response with the fault `silent_after_run`.
    constexpr std::chrono::seconds silenceDuration { 60 };

} // namespace

void PlainStandin::serve(const HttpRequest& request, ResponseWriter& writer)
{
    if (this->faults.serve(request, writer))
        return;
    auto path = std::string(transport::targetPath(request.target));
    if (path == "/counts") {
        std::string text;
        std::lock_guard lock(this->mutex);
        for (const auto& [order, count] : this->runsByOrder)
            text += order + "=" + std::to_string(count) + "\n";
        sendBody(writer, 200, text);
        return;
    }
    if (this->faults.isEnabled("refuse")) {
        writer.abort();
        return;
    }
    uint64_t count = 0;
    {
        std::lock_guard lock(this->mutex);
        count = ++this->runsByOrder[request.body];
    }
    transport::sleepFor(std::chrono::milliseconds { static_cast<int>(this->faults.get("delay_ms")) });
    if (this->faults.isEnabled("silent_after_run"))
        transport::sleepFor(silenceDuration);
    if (this->faults.isEnabled("close_after_run"))
        writer.abort();
    else
        sendBody(writer, 200, R"({"order":)" + protocol::jsonQuote(request.body) + R"(,"run":)" + std::to_string(count) + "}\n");
}

} // namespace comfreypier::standins
