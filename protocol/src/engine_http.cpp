/// HTTP client of the model engines' control interface: fetches reports and sends orders.
#include "protocol_p.h"

#include <boost/json.hpp>

namespace comfreypier::protocol {

namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds reportTimeout { 1000 };
    constexpr std::chrono::milliseconds orderTimeout { 2000 };
    /// Values of `kind` in an order, in the order of `EngineOrderKind`.
    constexpr const char* orderKindNames[] = { "load", "unload" };

    /// @return nothing if `text` is not a JSON object.
    std::optional<json::object> parseObject(std::string_view text)
    {
        json::error_code error;
        auto value = json::parse({ text.data(), text.size() }, error);
        if (error || !value.is_object())
            return std::nullopt;
        return std::move(value.get_object());
    }

    /// Reads the field `items`. Elements without a name are skipped.
    void readItems(const json::object& object, EngineReport& report)
    {
        const auto* items = object.if_contains("items");
        if (!items || !items->is_array())
            return;
        for (const auto& element : items->get_array()) {
            if (!element.is_object())
                continue;
            const auto& item = element.get_object();
            const auto* name = item.if_contains("item");
            const auto* loaded = item.if_contains("loaded");
            if (name && name->is_string())
                report.items.push_back({ std::string(name->get_string()), loaded && loaded->is_bool() && loaded->get_bool() });
        }
    }

    /// Reads the field `arrived_copies`. Elements that are not non-negative integers are skipped.
    void readArrivedCopies(const json::object& object, EngineReport& report)
    {
        const auto* copies = object.if_contains("arrived_copies");
        if (!copies || !copies->is_array())
            return;
        for (const auto& copy : copies->get_array()) {
            if (auto value = toNumber(copy))
                report.arrivedCopies.push_back(*value);
        }
    }

    Result<EngineReport, transport::IoError> fetchReport(transport::HttpClient& client, const transport::Endpoint& endpoint)
    {
        transport::CallLimits limits;
        limits.response = reportTimeout;
        auto response = client.call(endpoint, { "GET", "/report", {}, {} }, limits);
        if (!response)
            return response.error();
        auto report = response.value().status == 200 ? parseEngineReport(response.value().body) : std::nullopt;
        if (!report)
            return transport::IoError::Malformed;
        return std::move(*report);
    }

    OrderOutcome sendOrder(transport::HttpClient& client, const transport::Endpoint& endpoint, const EngineOrder& order)
    {
        transport::CallLimits limits;
        limits.response = orderTimeout;
        auto response = client.call(endpoint, { "POST", "/orders", { { "Content-Type", "application/json" } }, toJson(order) }, limits);
        if (!response)
            return transport::isConnectError(response.error()) ? OrderOutcome::NotSent : OrderOutcome::Unknown;
        // The engine answers 409 to an order with an outdated fencing number.
        if (response.value().status == 409)
            return OrderOutcome::StaleFence;
        return response.value().status == 200 ? OrderOutcome::Accepted : OrderOutcome::Unknown;
    }

} // namespace

std::optional<EngineReport> parseEngineReport(std::string_view text)
{
    auto object = parseObject(text);
    if (!object || !object->contains("incarnation"))
        return std::nullopt;
    EngineReport report;
    report.incarnation = readNumber(*object, "incarnation");
    report.capacity = readNumber(*object, "capacity");
    report.used = readNumber(*object, "used");
    report.running = static_cast<uint32_t>(readNumber(*object, "running"));
    report.waiting = static_cast<uint32_t>(readNumber(*object, "waiting"));
    report.slots = static_cast<uint32_t>(readNumber(*object, "slots"));
    report.firstTokenTime = std::chrono::microseconds { readNumber(*object, "first_token_us") };
    report.tokenGap = std::chrono::microseconds { readNumber(*object, "token_gap_us") };
    readItems(*object, report);
    readArrivedCopies(*object, report);
    return report;
}

std::string toJson(const EngineOrder& order)
{
    json::object object;
    object["kind"] = orderKindNames[static_cast<size_t>(order.kind)];
    object["item"] = order.item;
    object["bytes"] = order.bytes;
    object["copy"] = order.copy;
    object["fence"] = order.fence;
    return json::serialize(object);
}

std::optional<EngineOrder> parseEngineOrder(std::string_view text)
{
    auto object = parseObject(text);
    if (!object)
        return std::nullopt;
    const auto* kind = object->if_contains("kind");
    const auto* item = object->if_contains("item");
    if (!kind || !kind->is_string() || !item || !item->is_string())
        return std::nullopt;
    EngineOrder order;
    if (kind->get_string() == orderKindNames[0])
        order.kind = EngineOrderKind::Load;
    else if (kind->get_string() == orderKindNames[1])
        order.kind = EngineOrderKind::Unload;
    else
        return std::nullopt;
    order.item = std::string(item->get_string());
    order.bytes = readNumber(*object, "bytes");
    order.copy = readNumber(*object, "copy");
    order.fence = readNumber(*object, "fence");
    return order;
}

EngineService makeHttpEngine(transport::HttpClient& client)
{
    EngineService service;
    service.report = [&client](const transport::Endpoint& endpoint) { return fetchReport(client, endpoint); };
    service.order = [&client](const transport::Endpoint& endpoint, const EngineOrder& order) { return sendOrder(client, endpoint, order); };
    return service;
}

} // namespace comfreypier::protocol
