/// Model engine: orders, reports, crashes and restarts. Streams are in engine_streams.cpp.
#include "standins.h"

#include <algorithm>

namespace comfreypier::standins {

namespace {

    /// Interval at which an unload checks whether its item is still in use.
    constexpr std::chrono::milliseconds unloadPollInterval { 5 };

    std::chrono::milliseconds toMilliseconds(double value)
    {
        return std::chrono::milliseconds { static_cast<int64_t>(value) };
    }

} // namespace

EngineStandin::EngineStandin(EngineConfig config, WeightStore& store)
    : config(std::move(config))
    , store(store)
{
}

void EngineStandin::serve(const HttpRequest& request, ResponseWriter& writer)
{
    if (this->faults.serve(request, writer)) {
        if (this->faults.isEnabled("crash"))
            this->crash();
        if (!transport::queryValue(request.target, "silence").empty())
            this->silentIfStartedBefore = transport::monotonicNow();
        return;
    }
    if (transport::targetPath(request.target) == "/stats") {
        sendBody(writer, 200, this->makeStats());
        return;
    }
    if (this->isDown()) {
        writer.abort();
        return;
    }
    auto path = transport::targetPath(request.target);
    if (path == "/orders")
        this->serveOrder(request, writer);
    else if (path == "/report")
        this->serveReport(writer);
    else if (path == "/v1/completions" || path == "/v1/chat/completions")
        this->serveCompletion(request, writer);
    else
        sendBody(writer, 404, "{}");
}

std::string EngineStandin::makeStats() const
{
    return "overcommits=" + std::to_string(this->overcommits) + "\nstale_orders=" + std::to_string(this->staleOrders)
        + "\ncrashes=" + std::to_string(this->crashes) + "\ncompletions=" + std::to_string(this->completions) + "\n";
}

bool EngineStandin::isDown()
{
    std::unique_lock lock(this->mutex);
    return transport::monotonicNow() < this->downUntil;
}

void EngineStandin::crash()
{
    std::unique_lock lock(this->mutex);
    this->crashes++;
    this->incarnation++;
    this->items.clear();
    this->arrivedCopies.clear();
    this->reportHistory.clear();
    this->highestFence = 0;
    this->runningRequests = 0;
    this->waitingPriorities.clear();
    this->downUntil = transport::monotonicNow() + toMilliseconds(this->faults.get("restart_ms"));
    lock.unlock();
    this->slotFreed.notify_all();
}

void EngineStandin::serveOrder(const HttpRequest& request, ResponseWriter& writer)
{
    auto order = protocol::parseEngineOrder(request.body);
    if (!order) {
        sendBody(writer, 400, "{}");
        return;
    }
    if (this->faults.occurs("lose_orders")) {
        writer.abort();
        return;
    }
    auto delay = toMilliseconds(this->faults.get("order_delay_ms"));
    if (delay.count() > 0) {
        writer.abort();
        transport::spawnOnCurrentThread([this, order = *order, delay] {
            transport::sleepFor(delay);
            this->applyOrder(order);
        });
        return;
    }
    std::unique_lock lock(this->mutex);
    bool stale = this->config.fencing && this->faults.isEnabled("fencing") && order->fence < this->highestFence;
    this->staleOrders += stale;
    if (!stale)
        this->highestFence = std::max(this->highestFence, order->fence);
    lock.unlock();
    if (stale) {
        sendBody(writer, 409, R"({"error":"stale_fence"})");
        return;
    }
    this->applyOrder(*order);
    if (this->faults.occurs("lose_order_answers"))
        writer.abort();
    else
        sendBody(writer, 200, "{}");
}

void EngineStandin::applyOrder(const protocol::EngineOrder& order)
{
    std::unique_lock lock(this->mutex);
    auto expectedIncarnation = this->incarnation;
    if (order.kind == protocol::EngineOrderKind::Unload) {
        lock.unlock();
        transport::spawnOnCurrentThread([this, item = order.item, expectedIncarnation] { this->unload(item, expectedIncarnation); });
        return;
    }
    this->arrivedCopies.push_back(order.copy);
    if (this->items.contains(order.item))
        return; // The item is loaded or being loaded.
    uint64_t used = order.bytes;
    for (const auto& [name, item] : this->items)
        used += item.bytes;
    if (used > this->config.capacity) {
        this->overcommits++;
        return;
    }
    this->items[order.item] = { order.bytes, false, 0 };
    lock.unlock();
    transport::spawnOnCurrentThread([this, order, expectedIncarnation] { this->load(order, expectedIncarnation); });
}

void EngineStandin::load(const protocol::EngineOrder& order, uint64_t expectedIncarnation)
{
    this->store.load(order.bytes);
    std::unique_lock lock(this->mutex);
    auto item = this->items.find(order.item);
    if (this->incarnation == expectedIncarnation && item != this->items.end())
        item->second.loaded = true;
}

void EngineStandin::unload(const std::string& name, uint64_t expectedIncarnation)
{
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            auto item = this->items.find(name);
            if (this->incarnation != expectedIncarnation || item == this->items.end())
                return;
            if (item->second.runningRequests == 0 && item->second.loaded) {
                this->items.erase(item);
                return;
            }
        }
        transport::sleepFor(unloadPollInterval);
    }
}

std::string EngineStandin::makeReport()
{
    uint64_t used = 0;
    std::string itemsJson;
    for (const auto& [name, item] : this->items) {
        used += item.bytes;
        itemsJson += itemsJson.empty() ? "" : ",";
        itemsJson += R"({"item":")" + name + R"(","loaded":)" + (item.loaded ? "true" : "false") + "}";
    }
    std::string copiesJson;
    for (auto copy : this->arrivedCopies)
        copiesJson += (copiesJson.empty() ? "" : ",") + std::to_string(copy);
    return R"({"incarnation":)" + std::to_string(this->incarnation) + R"(,"capacity":)" + std::to_string(this->config.capacity)
        + R"(,"used":)" + std::to_string(used) + R"(,"running":)" + std::to_string(this->runningRequests) + R"(,"waiting":)" + std::to_string(this->waitingPriorities.size())
        + R"(,"slots":)" + std::to_string(this->config.slots) + R"(,"first_token_us":)" + std::to_string(this->config.prefillTime.count())
        + R"(,"token_gap_us":)" + std::to_string(this->config.tokenGap.count()) + R"(,"items":[)" + itemsJson + R"(],"arrived_copies":[)" + copiesJson + "]}";
}

void EngineStandin::serveReport(ResponseWriter& writer)
{
    std::unique_lock lock(this->mutex);
    auto now = transport::monotonicNow();
    auto lag = toMilliseconds(this->faults.get("report_lag_ms"));
    this->reportHistory.push_back({ now, this->makeReport() });
    // The first report left is the newest one that is at least `lag` old, if there is any.
    while (this->reportHistory.size() > 1 && this->reportHistory[1].first + lag <= now)
        this->reportHistory.pop_front();
    auto report = this->reportHistory.front().second;
    lock.unlock();
    sendBody(writer, 200, report);
}

} // namespace comfreypier::standins
