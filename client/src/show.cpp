/// Commands that only show: status, models, placement, history, explain.
#include "client_p.h"

#include <iomanip>
#include <iostream>

namespace comfreypier::client {

namespace {

    std::string textOf(const json::object& object, std::string_view key)
    {
        const auto& value = object.at(json::string_view(key.data(), key.size()));
        return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
    }

    /// Prints rows under a heading, columns aligned.
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

    void printRows(const json::array& list, const std::vector<std::string>& columns)
    {
        std::vector<std::vector<std::string>> rows { columns };
        for (const auto& element : list) {
            std::vector<std::string> row;
            row.reserve(columns.size());
            for (const auto& column : columns)
                row.push_back(textOf(element.as_object(), column));
            rows.push_back(std::move(row));
        }
        printTable(rows);
    }

    void printStatus(const json::object& status)
    {
        printTable({ { "asked node", textOf(status, "node") }, { "region", textOf(status, "region") }, { "ready", textOf(status, "ready") },
            { "workers", textOf(status, "workers") }, { "planned copies", textOf(status, "planned_copies") }, { "open actions", textOf(status, "open_actions") },
            { "known keys", textOf(status, "known_keys") }, { "config read up to", textOf(status, "config_next") }, { "region read up to", textOf(status, "region_next") } });
        std::cout << "\n";
        printRows(status.at("nodes").as_array(), { "node", "session", "http", "data_centre", "heard" });
    }

    void printPlacement(const json::object& placement)
    {
        std::vector<std::vector<std::string>> rows { { "worker", "data_centre", "item", "state", "size" } };
        for (const auto& element : placement.at("workers").as_array()) {
            const auto& worker = element.as_object();
            auto used = protocol::formatBytes(worker.at("reserved").to_number<uint64_t>()) + " of " + protocol::formatBytes(worker.at("capacity").to_number<uint64_t>());
            rows.push_back({ textOf(worker, "worker"), textOf(worker, "data_centre"), "", "", used });
            for (const auto& entry : worker.at("items").as_array()) {
                const auto& item = entry.as_object();
                rows.push_back({ "", "", textOf(item, "item"), textOf(item, "state"), protocol::formatBytes(item.at("bytes").to_number<uint64_t>()) });
            }
        }
        printTable(rows);
    }

    void printDecisions(const json::object& explanation)
    {
        for (const auto& element : explanation.at("decisions").as_array()) {
            const auto& decision = element.as_object();
            std::cout << "offset " << textOf(decision, "offset") << ": " << textOf(decision, "reason") << "\n";
            for (const auto& move : decision.at("adds").as_array())
                std::cout << "  add " << textOf(move.as_object(), "item") << " on " << textOf(move.as_object(), "worker") << "\n";
            for (const auto& move : decision.at("drops").as_array())
                std::cout << "  drop " << textOf(move.as_object(), "item") << " from " << textOf(move.as_object(), "worker") << "\n";
        }
    }

    void print(const std::string& command, const json::object& answer)
    {
        if (command == "status")
            printStatus(answer);
        else if (command == "models")
            printRows(answer.at("data").as_array(), { "id", "service", "base", "version", "urgency", "bytes", "copies" });
        else if (command == "placement")
            printPlacement(answer);
        else if (command == "history")
            printRows(answer.at("history").as_array(), { "offset", "service", "author", "verdict", "detail" });
        else
            printDecisions(answer);
    }

    std::string targetOf(const Invocation& invocation)
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
    auto answer = askNodes(invocation, client, targetOf(invocation));
    auto object = answer ? parseObject(*answer) : std::nullopt;
    if (!object) {
        std::cerr << "comfreypier: no node answers\n";
        return ExitUnreachable;
    }
    if (invocation.json)
        std::cout << *answer;
    else
        print(invocation.command, *object);
    return ExitOk;
}

int runCommand(const Invocation& invocation, transport::HttpClient& client)
{
    if (invocation.command == "check")
        return runCheck(invocation);
    if (invocation.command == "explain-request")
        return runExplainRequest(invocation);
    if (invocation.command == "diff")
        return runDiff(invocation, client);
    if (invocation.command == "publish")
        return runPublish(invocation, client);
    return runShow(invocation, client);
}

} // namespace comfreypier::client
