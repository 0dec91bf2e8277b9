/// Account of what a worker holds.
#include <algorithm>
#include <array>
#include <placement/placement.h>

namespace comfreypier::placement {

namespace {

    /// Replaces what is believed by a report. A model order in progress is not part of reports.
    void takeOver(TrackedWorker& account, const WorkerReport& report, Time askedAt)
    {
        auto& held = account.inventory;
        auto lastUse = std::exchange(held.adapters, {});
        held.models.clear();
        held.unloading.clear();
        for (const auto& model : report.models) {
            held.models.insert(model.name);
            for (const auto& adapter : model.adapters)
                held.adapters[model.name + "/" + adapter] = lastUse[model.name + "/" + adapter];
        }
        for (const auto& pending : report.pendingAdapters)
            held.adapters[pending] = askedAt;
        account.ordersAccepted = report.ordersAccepted;
        account.synced = true;
        if (!account.modelOrder)
            return;
        if (account.modelOrder->kind == OrderKind::Load)
            held.models.insert(account.modelOrder->model);
        else {
            held.models.erase(account.modelOrder->model);
            held.unloading.insert(account.modelOrder->model);
        }
    }

    bool lists(const WorkerReport& report, const std::string& model)
    {
        return std::any_of(report.models.begin(), report.models.end(), [&model](const auto& item) { return item.name == model; });
    }

} // namespace

bool hasUnsentModelOrder(const TrackedWorker& account)
{
    return account.modelOrder && !account.modelOrderSent;
}

bool needsReport(const TrackedWorker& account, Time now)
{
    bool wanted = !account.synced || account.foreignOrderRunning || (account.modelOrder && account.modelOrderSent);
    return wanted && now >= account.nextReportAt;
}

bool applyReport(TrackedWorker& account, const WorkerReport& report, Time askedAt)
{
    account.nextReportAt = askedAt + busyReportInterval;
    account.inventory.cachedModels.insert(report.cachedModels.begin(), report.cachedModels.end());
    bool own = account.modelOrder && account.modelOrderSent;
    if (!account.synced || account.foreignOrderRunning)
        takeOver(account, report, askedAt);
    account.foreignOrderRunning = report.modelOrderRunning && !own;
    if (!own || report.modelOrderRunning || report.ordersAccepted < account.ordersAccepted)
        return false;
    auto order = *account.modelOrder;
    bool load = order.kind == OrderKind::Load;
    if (lists(report, order.model) != load)
        return false;
    account.inventory.unloading.erase(order.model);
    account.inventory.cachedModels.insert(order.model);
    if (!load)
        std::erase_if(account.inventory.adapters, [&order](const auto& item) { return item.first.starts_with(order.model + "/"); });
    if (load)
        account.inventory.loadedAt[order.model] = askedAt;
    account.modelOrder.reset();
    account.modelOrderSent = false;
    return true;
}

void scheduleModelOrder(TrackedWorker& account, const Order& order)
{
    account.modelOrder = order;
    account.modelOrderSent = false;
    account.inventory.reservedModel = order.freesMemoryFor;
    if (order.kind == OrderKind::Load)
        account.inventory.models.insert(order.model);
    else {
        account.inventory.models.erase(order.model);
        account.inventory.unloading.insert(order.model);
    }
}

void applyOrderOutcome(TrackedWorker& account, const Order& order, OrderOutcome outcome, Time sentAt)
{
    bool load = order.kind == OrderKind::Load;
    bool ofAdapter = !order.adapter.empty();
    bool accepted = outcome == OrderOutcome::Accepted;
    bool done = accepted || outcome == OrderOutcome::AlreadyHolds;
    // Unloads of adapters take effect at once and count as accepted.
    if (accepted || (outcome == OrderOutcome::AlreadyHolds && !load && ofAdapter))
        account.ordersAccepted++;
    if (!done) {
        account.synced = false;
        account.nextReportAt = sentAt + maxReportAge;
        if (!ofAdapter) {
            account.modelOrder.reset();
            account.inventory.reservedModel.clear();
        }
        return;
    }
    if (!ofAdapter) {
        account.modelOrderSent = true;
        account.nextReportAt = sentAt + busyReportInterval;
        return;
    }
    auto key = order.model + "/" + order.adapter;
    if (load)
        account.inventory.adapters[key] = sentAt;
    else
        account.inventory.adapters.erase(key);
}

bool mayOrderModel(const TrackedWorker& account)
{
    return account.synced && !account.modelOrder && !account.foreignOrderRunning;
}

bool mayOrderAdapter(const TrackedWorker& account)
{
    return account.synced && !account.foreignOrderRunning && !(account.modelOrder && account.modelOrderSent);
}

const char* name(OrderOutcome outcome)
{
    constexpr std::array<const char*, static_cast<size_t>(OrderOutcome::Count)> names {
        "accepted", "already_holds", "conflict", "fenced", "other_worker", "invalid", "not_sent", "unknown"
    };
    return names[static_cast<size_t>(outcome)];
}

} // namespace comfreypier::placement
