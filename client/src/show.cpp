/// Commands that show a node's state (status, models, placement, history, explain), and the dispatch of all commands.
#include "client_p.h"

#include <iomanip>
#include <iostream>

namespace comfreypier::client {

namespace {

    /// Returns a string field as it is, and a field of another type as JSON. The field must exist.
    std::string fieldText(const json::object& object, std::string_view key)
    {
        const auto& value = object.at(json::string_view(key.data(), key.size()));
        return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
    }

    /// Prints rows with aligned columns.
    void printTable(const std::vector<std::vector<std::string>>& rows)
    {
        std::vector<size_t> widths;
        for (const auto& row : rows) {
            widths.resize(std::max(widths.size(), row.size()), 0);
            for (size_t i = 0; i < row.size(); i++)
                widths[i] = std::max(widths[i], row[i].size());
        }
        for (const auto& row : rows) {
            for (size_t i = 0; i < row.size(); i++)
                std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
            std::cout << "\n";
        }
    }

    /// Prints a table with the given columns of each object in `list`.
    void printRows(const json::array& list, const std::vector<std::string>& columns)
    {
        std::vector<std::vector<std::string>> rows { columns };
        for (const auto& element : list) {
            std::vector<std::string> row;
            row.reserve(columns.size());
            for (const auto& column : columns)
                row.push_back(fieldText(element.as_object(), column));
            rows.push_back(std::move(row));
        }
        printTable(rows);
    }

    void printStatus(const json::object& status)
    {
        printTable({ { "queried node", fieldText(status, "node") }, { "region", fieldText(status, "region") }, { "ready", fieldText(status, "ready") },
            { "workers", fieldText(status, "workers") }, { "planned copies", fieldText(status, "planned_copies") }, { "open actions", fieldText(status, "open_actions") },
            { "known keys", fieldText(status, "known_keys") }, { "config read up to", fieldText(status, "config_next") }, { "region read up to", fieldText(status, "region_next") } });
        std::cout << "\n";
        printRows(status.at("nodes").as_array(), { "node", "session", "http", "data_centre", "heard" });
    }

    void printPlacement(const json::object& placement)
    {
        std::vector<std::vector<std::string>> rows { { "worker", "data_centre", "item", "state", "size" } };
        for (const auto& element : placement.at("workers").as_array()) {
            const auto& worker = element.as_object();
            auto memoryUse = protocol::formatBytes(worker.at("reserved").to_number<uint64_t>()) + " of " + protocol::formatBytes(worker.at("capacity").to_number<uint64_t>());
            rows.push_back({ fieldText(worker, "worker"), fieldText(worker, "data_centre"), "", "", memoryUse });
            for (const auto& entry : worker.at("items").as_array()) {
                const auto& item = entry.as_object();
                rows.push_back({ "", "", fieldText(item, "item"), fieldText(item, "state"), protocol::formatBytes(item.at("bytes").to_number<uint64_t>()) });
            }
        }
        printTable(rows);
    }

    /// Prints the result of `explain`.
    void printDecisions(const json::object& explanation)
    {
        for (const auto& element : explanation.at("decisions").as_array()) {
            const auto& decision = element.as_object();
            std::cout << "offset " << fieldText(decision, "offset") << ": " << fieldText(decision, "reason") << "\n";
            for (const auto& move : decision.at("adds").as_array())
                std::cout << "  add " << fieldText(move.as_object(), "item") << " on " << fieldText(move.as_object(), "worker") << "\n";
            for (const auto& move : decision.at("drops").as_array())
                std::cout << "  drop " << fieldText(move.as_object(), "item") << " from " << fieldText(move.as_object(), "worker") << "\n";
        }
    }

    void printResult(const std::string& command, const json::object& result)
    {
        if (command == "status")
            printStatus(result);
        else if (command == "models")
            printRows(result.at("data").as_array(), { "id", "service", "base", "version", "urgency", "bytes", "copies" });
        else if (command == "placement")
            printPlacement(result);
        else if (command == "history")
            printRows(result.at("history").as_array(), { "offset", "service", "author", "verdict", "detail" });
        else
            printDecisions(result);
    }

    /// Returns the request target from which a node serves what the command shows.
    std::string requestTarget(const Invocation& invocation)
    {
        if (invocation.command == "models")
            return "/v1/models";
        if (invocation.command == "explain")
            return "/admin/explain?model=" + invocation.arguments[0];
        return "/admin/" + invocation.command;
    }

} // namespace

int runShow(const Invocation& invocation, transport::HttpClient& client)
{
    auto body = queryNodes(invocation, client, requestTarget(invocation));
    auto object = body ? parseObject(*body) : std::nullopt;
    if (!object) {
        std::cerr << "comfreypier: no node responded\n";
        return ExitUnreachable;
    }
    if (invocation.json)
        std::cout << *body;
    else
        printResult(invocation.command, *object);
    return ExitOk;
}

int runCommand(const Invocation& invocation, transport::HttpClient& client)
{
    if (invocation.command == "check")
        return runCheck(invocation);
    if (invocation.command == "check-configuration")
        return runCheckConfiguration(invocation);
    if (invocation.command == "explain-request")
        return runExplainRequest(invocation);
    if (invocation.command == "diff")
        return runDiff(invocation, client);
    if (invocation.command == "publish")
        return runPublish(invocation, client);
    return runShow(invocation, client);
}

} // namespace comfreypier::client
