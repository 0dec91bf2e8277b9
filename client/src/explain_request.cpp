/// The command `explain-request`: reports from the VMs' logs how a request ended and why.
#include "client_p.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <set>

namespace comfreypier::client {

namespace {

    using std::chrono::milliseconds;

    /// Time before a request's first log line from which events of its workers and its VM may have affected it.
    constexpr milliseconds contextBefore { 4000 };
    /// Time after a request's last log line up to which such events may be related to it.
    constexpr milliseconds contextAfter { 1000 };
    /// Maximum number of context lines to show.
    constexpr size_t maxContextLines = 60;

    /// Returns the value of `key=` in a line, up to the next space, or an empty string.
    std::string_view fieldValue(std::string_view line, std::string_view key)
    {
        auto pattern = " " + std::string(key) + "=";
        auto start = line.find(pattern);
        if (start == std::string_view::npos)
            return {};
        start += pattern.size();
        return line.substr(start, line.find(' ', start) - start);
    }

    bool isOneOf(std::string_view event, std::initializer_list<std::string_view> events)
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    /// Returns the time at the start of a line, such as `2026-12-04T07:00:00.123`, as time since the Unix epoch, or nothing if
    /// there is none. The lines do not name a time zone. All are read as UTC, which is enough to compare them.
    std::optional<milliseconds> parseTimestamp(std::string_view line)
    {
        std::tm parts {};
        int millis = 0;
        std::string head(line.substr(0, 23)); // Length of a timestamp with milliseconds.
        if (std::sscanf(head.c_str(), "%d-%d-%dT%d:%d:%d.%d", &parts.tm_year, &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &millis) != 7)
            return std::nullopt;
        parts.tm_year -= 1900;
        parts.tm_mon -= 1;
        return std::chrono::seconds { timegm(&parts) } + milliseconds { millis };
    }

    /// Returns the explanation of the `outcome=` of a request.
    const char* describeOutcome(std::string_view outcome)
    {
        struct OutcomeDescription {
            std::string_view outcome;
            const char* text;
        };
        constexpr std::array descriptions {
            OutcomeDescription { "answered", "the worker's response was forwarded completely" },
            OutcomeDescription { "worker_error", "the worker responded with an error, which was forwarded" },
            OutcomeDescription { "cut", "the stream broke off and could not resume on another worker" },
            OutcomeDescription { "no_configuration", "this VM had no configuration or no workers yet" },
            OutcomeDescription { "no_route", "the current configuration has no such route" },
            OutcomeDescription { "unknown_key", "no client account has the key of the request" },
            OutcomeDescription { "outdated_keys", "no client account had its key, but another VM had a newer configuration" },
            OutcomeDescription { "quota", "its client account had used up its quota, or the request alone is larger than the burst" },
            OutcomeDescription { "quota_unknown", "no VM that knows what is left of its account's quota answered" },
            OutcomeDescription { "no_worker", "no worker of the service was known, or all were draining or had said that they leave" },
            OutcomeDescription { "unreachable", "all workers had just been unreachable or full" },
            OutcomeDescription { "no_model", "no worker had loaded the model in time" },
            OutcomeDescription { "no_adapter", "workers had loaded the model, but none had loaded the adapter in time" },
            OutcomeDescription { "no_room", "no worker with the model had both a free slot and enough free KV cache" },
            OutcomeDescription { "hopeless", "the first token was expected only after the caller's time limit" },
            OutcomeDescription { "leaving", "this VM was shutting down and directed the caller to another VM" },
            OutcomeDescription { "crashes_workers", "requests with the same content, or with a part of its prompt, had crashed workers; held_off lines name the causes" },
            OutcomeDescription { "worker_hold", "all workers that could take it had named times until which they wanted no requests of this VM" },
            OutcomeDescription { "worker_limit", "all workers that could take it named limits, and this VM's shares of them were used up" },
            OutcomeDescription { "worker_failed", "a worker may have run the request, but gave no usable response" },
            OutcomeDescription { "timed_out", "no response within the time limit of the caller or the route" },
            OutcomeDescription { "caller_gone", "the caller disconnected" },
        };
        for (const auto& description : descriptions) {
            if (description.outcome == outcome)
                return description.text;
        }
        return "unknown outcome";
    }

    /// Returns the explanation of a reason in `passed_over=`.
    const char* describeBlock(std::string_view reason)
    {
        struct BlockDescription {
            std::string_view reason;
            const char* text;
        };
        constexpr std::array descriptions {
            BlockDescription { "leaving", "its entry was draining, or it had said in an answer that it leaves" },
            BlockDescription { "held", "it had named a time until which it wanted no requests of this VM" },
            BlockDescription { "limited", "this VM's share of the limit that it names was used up" },
            BlockDescription { "unreachable", "it had just been unreachable" },
            BlockDescription { "full", "it had just been full" },
            BlockDescription { "stalled", "all streams of this VM there were silent" },
        };
        for (const auto& description : descriptions) {
            if (description.reason == reason)
                return description.text;
        }
        return "unknown reason";
    }

    /// A worker that a request passed over, and why.
    struct PassedOver {
        std::string worker;
        std::string reason;
    };

    /// Decodes the `passed_over=` of a request: `WORKER:REASON` items, joined by plus signs.
    std::vector<PassedOver> parsePassedOver(std::string_view text)
    {
        std::vector<PassedOver> items;
        while (!text.empty()) {
            auto item = text.substr(0, text.find('+'));
            text.remove_prefix(std::min(text.size(), item.size() + 1));
            if (auto colon = item.rfind(':'); colon != std::string_view::npos)
                items.push_back({ std::string(item.substr(0, colon)), std::string(item.substr(colon + 1)) });
        }
        return items;
    }

    /// Returns whether a line logs an event that may have affected a request. Orders and changes of the lease may be logged by any
    /// VM; the other events only concern the VM that logged them.
    /// @param files logs with lines of the request.
    /// @param workers workers that its lines name.
    /// @param model `MODEL` or `MODEL/ADAPTER`; empty if its lines name none.
    bool isContextLine(const LogLine& line, const std::set<std::string>& files, const std::set<std::string>& workers, std::string_view model)
    {
        auto event = fieldValue(line.text, "event");
        if (files.contains(line.file) && isOneOf(event, { "strain", "suspended", "store_lost", "store_regained", "configuration", "start", "stop", "reload" }))
            return true;
        if (isOneOf(event, { "lease" }))
            return true;
        bool concernsWorker = workers.contains(std::string(fieldValue(line.text, "worker")));
        if (concernsWorker && isOneOf(event, { "worker", "worker_gone", "worker_leaving", "worker_hold" }) && files.contains(line.file))
            return true;
        auto base = model.substr(0, model.find('/'));
        return !base.empty() && isOneOf(event, { "order", "order_done" }) && (concernsWorker || fieldValue(line.text, "model") == base);
    }

} // namespace

std::optional<std::string> explainRequest(const std::string& id, const std::vector<LogLine>& lines)
{
    std::vector<const LogLine*> requestLines;
    std::set<std::string> files;
    std::set<std::string> workers;
    std::string model;
    std::string report;
    for (const auto& line : lines) {
        if (fieldValue(line.text, "id") != id)
            continue;
        requestLines.push_back(&line);
        files.insert(line.file);
        if (auto worker = fieldValue(line.text, "worker"); !worker.empty() && worker != "-")
            workers.insert(std::string(worker));
        for (const auto& item : parsePassedOver(fieldValue(line.text, "passed_over")))
            workers.insert(item.worker);
        if (auto requestModel = fieldValue(line.text, "model"); !requestModel.empty())
            model = std::string(requestModel);
    }
    if (requestLines.empty())
        return std::nullopt;
    std::stable_sort(requestLines.begin(), requestLines.end(), [](const auto* a, const auto* b) { return parseTimestamp(a->text).value_or(milliseconds {}) < parseTimestamp(b->text).value_or(milliseconds {}); });
    for (const auto* line : requestLines)
        report += line->file + ": " + line->text + "\n";
    const auto& last = *requestLines.back();
    auto outcome = fieldValue(last.text, "outcome");
    if (fieldValue(last.text, "event") != "request")
        report += "cause: no log line shows its end: the VM of " + last.file + " stopped or was cut off before then\n";
    else
        report += "cause: " + std::string(outcome) + ": " + describeOutcome(outcome) + "\n";
    for (const auto& item : parsePassedOver(fieldValue(last.text, "passed_over")))
        report += "passed over: " + item.worker + ": " + item.reason + ": " + describeBlock(item.reason) + "\n";

    auto contextStart = parseTimestamp(requestLines.front()->text).value_or(milliseconds {}) - contextBefore;
    auto contextEnd = parseTimestamp(last.text).value_or(milliseconds {}) + contextAfter;
    std::vector<const LogLine*> context;
    for (const auto& line : lines) {
        auto time = parseTimestamp(line.text);
        if (time && *time >= contextStart && *time <= contextEnd && isContextLine(line, files, workers, model))
            context.push_back(&line);
    }
    std::stable_sort(context.begin(), context.end(), [](const auto* a, const auto* b) { return parseTimestamp(a->text) < parseTimestamp(b->text); });
    report += "context: " + std::to_string(context.size()) + " lines" + (context.size() > maxContextLines ? ", the last " + std::to_string(maxContextLines) + " of them" : "") + "\n";
    for (size_t i = context.size() > maxContextLines ? context.size() - maxContextLines : 0; i < context.size(); i++)
        report += "  " + context[i]->file + ": " + context[i]->text + "\n";
    return report;
}

int runExplainRequest(const Invocation& invocation)
{
    // The first argument is the request's id, the others are paths of log files.
    std::vector<LogLine> lines;
    for (size_t i = 1; i < invocation.arguments.size(); i++) {
        const auto& path = invocation.arguments[i];
        std::ifstream file(path);
        if (!file) {
            std::cerr << "comfreypier: log '" << path << "' cannot be read\n";
            return ExitUsage;
        }
        std::string text;
        while (std::getline(file, text))
            lines.push_back({ path, text });
    }
    auto report = explainRequest(invocation.arguments.front(), lines);
    if (!report) {
        std::cerr << "comfreypier: no log contains request '" << invocation.arguments.front() << "'\n";
        return ExitProblemsFound;
    }
    std::cout << *report;
    return ExitOk;
}

} // namespace comfreypier::client
