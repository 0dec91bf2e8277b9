/// Tracks the state of a worker from its reports and the outcomes of orders.
#include <algorithm>
#include <array>
#include <placement/placement.h>
#include <utility>

namespace comfreypier::placement {

namespace {

    /// Replaces the tracked inventory by a report and keeps the known times of last use. Reports leave out a model order in progress,
    /// so it is added again.
    void replaceInventory(TrackedWorker& tracked, const WorkerReport& report, Time requestedAt)
    {
        auto& inventory = tracked.inventory;
        auto lastUse = std::exchange(inventory.adapters, {});
        inventory.models.clear();
        inventory.unloading.clear();
        for (const auto& model : report.models) {
            inventory.models.insert(model.name);
            for (const auto& adapter : model.adapters)
                inventory.adapters[model.name + "/" + adapter] = lastUse[model.name + "/" + adapter];
        }
        for (const auto& pendingAdapter : report.pendingAdapters)
            inventory.adapters[pendingAdapter] = requestedAt;
        tracked.ordersAccepted = report.ordersAccepted;
        tracked.synced = true;
        if (!tracked.modelOrder)
            return;
        if (tracked.modelOrder->kind == OrderKind::Load)
            inventory.models.insert(tracked.modelOrder->model);
        else {
            inventory.models.erase(tracked.modelOrder->model);
            inventory.unloading.insert(tracked.modelOrder->model);
        }
    }

    bool containsModel(const WorkerReport& report, const std::string& model)
    {
        return std::any_of(report.models.begin(), report.models.end(), [&model](const auto& item) { return item.name == model; });
    }

} // namespace

bool hasUnsentModelOrder(const TrackedWorker& tracked)
{
    return tracked.modelOrder && !tracked.modelOrderSent;
}

bool needsReport(const TrackedWorker& tracked, Time now)
{
    bool isNeeded = !tracked.synced || tracked.otherOrderRunning || (tracked.modelOrder && tracked.modelOrderSent);
    return isNeeded && now >= tracked.nextReportAt;
}

void updateCachedModels(TrackedWorker& tracked, const std::set<std::string>& cachedModels)
{
    if (cachedModels.empty() || std::exchange(tracked.toldCachedModels, cachedModels) == cachedModels)
        return;
    tracked.inventory.cachedModels = cachedModels;
}

bool applyReport(TrackedWorker& tracked, const WorkerReport& report, Time requestedAt)
{
    tracked.nextReportAt = requestedAt + busyReportInterval;
    updateCachedModels(tracked, report.cachedModels);
    bool ownOrderRunning = tracked.modelOrder && tracked.modelOrderSent;
    if (!tracked.synced || tracked.otherOrderRunning)
        replaceInventory(tracked, report, requestedAt);
    tracked.otherOrderRunning = report.modelOrderRunning && !ownOrderRunning;
    // A lower count of accepted orders shows that the report is older than the last order.
    if (!ownOrderRunning || report.modelOrderRunning || report.ordersAccepted < tracked.ordersAccepted)
        return false;
    auto order = *tracked.modelOrder;
    bool isLoad = order.kind == OrderKind::Load;
    // The report shows the state before the order.
    if (containsModel(report, order.model) != isLoad)
        return false;
    tracked.inventory.unloading.erase(order.model);
    tracked.inventory.cachedModels.insert(order.model);
    if (!isLoad)
        std::erase_if(tracked.inventory.adapters, [&order](const auto& item) { return item.first.starts_with(order.model + "/"); });
    if (isLoad)
        tracked.inventory.loadedAt[order.model] = requestedAt;
    tracked.modelOrder.reset();
    tracked.modelOrderSent = false;
    return true;
}

void scheduleModelOrder(TrackedWorker& tracked, const Order& order)
{
    tracked.modelOrder = order;
    tracked.modelOrderSent = false;
    tracked.inventory.reservedModel = order.freesMemoryFor;
    if (order.kind == OrderKind::Load)
        tracked.inventory.models.insert(order.model);
    else {
        tracked.inventory.models.erase(order.model);
        tracked.inventory.unloading.insert(order.model);
    }
}

void applyOrderOutcome(TrackedWorker& tracked, const Order& order, OrderOutcome outcome, Time sentAt)
{
    bool isLoad = order.kind == OrderKind::Load;
    bool isAdapterOrder = !order.adapter.empty();
    bool accepted = outcome == OrderOutcome::Accepted;
    bool succeeded = accepted || outcome == OrderOutcome::AlreadyDone;
    // Workers unload adapters immediately: they answer `AlreadyDone` but count the order as accepted.
    if (accepted || (outcome == OrderOutcome::AlreadyDone && !isLoad && isAdapterOrder))
        tracked.ordersAccepted++;
    if (!succeeded) {
        tracked.synced = false;
        // An earlier report might miss the order, which the worker may have accepted after all.
        tracked.nextReportAt = sentAt + maxReportAge;
        if (!isAdapterOrder) {
            tracked.modelOrder.reset();
            tracked.inventory.reservedModel.clear();
        }
        return;
    }
    if (!isAdapterOrder) {
        tracked.modelOrderSent = true;
        tracked.nextReportAt = sentAt + busyReportInterval;
        return;
    }
    auto key = order.model + "/" + order.adapter;
    if (isLoad)
        tracked.inventory.adapters[key] = sentAt;
    else if (!accepted)
        tracked.inventory.adapters.erase(key);
    else {
        // Requests still use the adapter: its slot is free after they end, and the worker refuses other orders until then.
        tracked.otherOrderRunning = true;
        tracked.nextReportAt = sentAt + maxReportAge;
    }
}

bool mayOrderModel(const TrackedWorker& tracked)
{
    return tracked.synced && !tracked.modelOrder && !tracked.otherOrderRunning;
}

bool mayOrderAdapter(const TrackedWorker& tracked)
{
    return tracked.synced && !tracked.otherOrderRunning && !(tracked.modelOrder && tracked.modelOrderSent);
}

const char* name(OrderOutcome outcome)
{
    constexpr std::array<const char*, static_cast<size_t>(OrderOutcome::Count)> names {
        "accepted", "already_holds", "conflict", "fenced", "other_worker", "invalid", "not_sent", "unknown"
    };
    return names[static_cast<size_t>(outcome)];
}

} // namespace comfreypier::placement
