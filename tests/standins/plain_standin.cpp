/// Plain service that counts how often each order ran.
#include "standins.h"

namespace comfreypier::standins {

namespace {

    constexpr std::chrono::seconds silentTime { 60 };

} // namespace

void PlainStandin::serve(const HttpRequest& request, ResponseWriter& writer)
{
    if (this->faults.serve(request, writer))
        return;
    auto path = std::string(transport::targetPath(request.target));
    if (path == "/counts") {
        std::string text;
        std::lock_guard lock(this->mutex);
        for (const auto& [order, count] : this->runs)
            text += order + "=" + std::to_string(count) + "\n";
        sendBody(writer, 200, text);
        return;
    }
    if (this->faults.on("refuse")) {
        writer.abort();
        return;
    }
    uint64_t count = 0;
    {
        std::lock_guard lock(this->mutex);
        count = ++this->runs[request.body];
    }
    transport::sleepFor(std::chrono::milliseconds { static_cast<int>(this->faults.get("delay_ms")) });
    if (this->faults.on("silent_after_run"))
        transport::sleepFor(silentTime);
    if (this->faults.on("close_after_run"))
        writer.abort();
    else
        sendBody(writer, 200, R"({"order":)" + protocol::jsonQuote(request.body) + R"(,"run":)" + std::to_string(count) + "}\n");
}

} // namespace comfreypier::standins
