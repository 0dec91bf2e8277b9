/// Account of what a worker holds.
#include <algorithm>
#include <array>
#include <placement/placement.h>

namespace comfreypier::placement {

namespace {

    /// Replaces what is believed by a report. A model order in progress is not part of reports.
    void takeOver(WorkerAccount& account, const WorkerReport& report, Time askedAt)
    {
        auto& held = account.held;
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

bool hasOrderToSend(const WorkerAccount& account)
{
    return account.modelOrder && !account.modelOrderSent;
}

bool needsReport(const WorkerAccount& account, Time now)
{
    bool wanted = !account.synced || account.foreignOrder || (account.modelOrder && account.modelOrderSent);
    return wanted && now >= account.reportFrom;
}

bool applyReport(WorkerAccount& account, const WorkerReport& report, Time askedAt)
{
    account.reportFrom = askedAt + busyReportInterval;
    account.held.cached.insert(report.cached.begin(), report.cached.end());
    bool own = account.modelOrder && account.modelOrderSent;
    if (!account.synced || account.foreignOrder)
        takeOver(account, report, askedAt);
    account.foreignOrder = report.ordering && !own;
    if (!own || report.ordering || report.ordersAccepted < account.ordersAccepted)
        return false;
    auto order = *account.modelOrder;
    bool load = order.kind == OrderKind::Load;
    if (lists(report, order.model) != load)
        return false;
    account.held.unloading.erase(order.model);
    account.held.cached.insert(order.model);
    if (!load)
        std::erase_if(account.held.adapters, [&order](const auto& item) { return item.first.starts_with(order.model + "/"); });
    if (load)
        account.held.loadedAt[order.model] = askedAt;
    account.modelOrder.reset();
    account.modelOrderSent = false;
    return true;
}

void planOrder(WorkerAccount& account, const Order& order)
{
    account.modelOrder = order;
    account.modelOrderSent = false;
    account.held.reserved = order.roomFor;
    if (order.kind == OrderKind::Load)
        account.held.models.insert(order.model);
    else {
        account.held.models.erase(order.model);
        account.held.unloading.insert(order.model);
    }
}

void applyOutcome(WorkerAccount& account, const Order& order, OrderOutcome outcome, Time sentAt)
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
        account.reportFrom = sentAt + reportLag;
        if (!ofAdapter) {
            account.modelOrder.reset();
            account.held.reserved.clear();
        }
        return;
    }
    if (!ofAdapter) {
        account.modelOrderSent = true;
        account.reportFrom = sentAt + busyReportInterval;
        return;
    }
    auto key = order.model + "/" + order.adapter;
    if (load)
        account.held.adapters[key] = sentAt;
    else
        account.held.adapters.erase(key);
}

bool mayOrderModel(const WorkerAccount& account)
{
    return account.synced && !account.modelOrder && !account.foreignOrder;
}

bool mayOrderAdapter(const WorkerAccount& account)
{
    return account.synced && !account.foreignOrder && !(account.modelOrder && account.modelOrderSent);
}

const char* name(OrderOutcome outcome)
{
    constexpr std::array<const char*, static_cast<size_t>(OrderOutcome::Count)> names {
        "accepted", "already_holds", "conflict", "fenced", "other_worker", "invalid", "not_sent", "unknown"
    };
    return names[static_cast<size_t>(outcome)];
}

} // namespace comfreypier::placement
