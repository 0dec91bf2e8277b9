/// The story of one request from the VMs' logs.
#include "client_p.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <set>

namespace comfreypier::client {

namespace {

    using std::chrono::milliseconds;

    /// Span around a request in which what happened to its workers and its VM can matter.
    constexpr milliseconds before { 4000 };
    constexpr milliseconds after { 1000 };
    /// Lines of context that are shown at most.
    constexpr size_t contextLimit = 60;

    /// Value of `key=` in a line, up to the next blank.
    std::string_view fieldOf(std::string_view line, std::string_view key)
    {
        auto pattern = " " + std::string(key) + "=";
        auto start = line.find(pattern);
        if (start == std::string_view::npos)
            return {};
        start += pattern.size();
        return line.substr(start, line.find(' ', start) - start);
    }

    bool isAmong(std::string_view event, std::initializer_list<std::string_view> events)
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    /// Time at the head of a line, or nothing: `2026-12-04T07:00:00.123`.
    std::optional<milliseconds> timeOf(std::string_view line)
    {
        std::tm parts {};
        int millis = 0;
        std::string head(line.substr(0, 23));
        if (std::sscanf(head.c_str(), "%d-%d-%dT%d:%d:%d.%d", &parts.tm_year, &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &millis) != 7)
            return std::nullopt;
        parts.tm_year -= 1900;
        parts.tm_mon -= 1;
        return std::chrono::seconds { timegm(&parts) } + milliseconds { millis };
    }

    const char* causeOf(std::string_view outcome)
    {
        struct Cause {
            std::string_view outcome;
            const char* text;
        };
        constexpr std::array causes {
            Cause { "answered", "the worker's answer was passed on whole" },
            Cause { "worker_error", "the worker answered with an error, which was passed on" },
            Cause { "cut", "the stream broke off and could not go on elsewhere" },
            Cause { "no_configuration", "this VM knew no configuration or no workers yet" },
            Cause { "no_route", "the configuration in force has no such route" },
            Cause { "no_worker", "no worker of the service was known, or all were leaving" },
            Cause { "unreachable", "all workers were unreachable or full a moment before" },
            Cause { "no_model", "no worker held the model in time" },
            Cause { "no_adapter", "workers held the model, none the adapter in time" },
            Cause { "no_room", "the slots or the prompt memory of all workers with the model were taken" },
            Cause { "hopeless", "the first token was expected after the caller gives up" },
            Cause { "leaving", "this VM was stopping and sent the caller elsewhere" },
            Cause { "crashes_workers", "the same content crashed workers before" },
            Cause { "worker_failed", "a worker may have run it and gave no usable answer" },
            Cause { "timed_out", "no answer within the caller's or the route's time" },
            Cause { "caller_gone", "the caller left" },
        };
        for (const auto& cause : causes) {
            if (cause.outcome == outcome)
                return cause.text;
        }
        return "an outcome that this program does not know";
    }

    bool isContext(const LogLine& line, const std::set<std::string>& files, const std::set<std::string>& workers, std::string_view model)
    {
        auto event = fieldOf(line.text, "event");
        if (files.contains(line.file) && isAmong(event, { "strain", "suspended", "store_lost", "store_regained", "configuration", "start", "stop", "reload" }))
            return true;
        if (isAmong(event, { "lease" }))
            return true;
        bool ofWorker = workers.contains(std::string(fieldOf(line.text, "worker")));
        if (ofWorker && isAmong(event, { "worker", "worker_gone" }) && files.contains(line.file))
            return true;
        auto base = model.substr(0, model.find('/'));
        return !base.empty() && isAmong(event, { "order", "order_done" }) && (ofWorker || fieldOf(line.text, "model") == base);
    }

} // namespace

std::optional<std::string> explainRequest(const std::string& id, const std::vector<LogLine>& lines)
{
    std::vector<const LogLine*> own;
    std::set<std::string> files;
    std::set<std::string> workers;
    std::string model;
    std::string story;
    for (const auto& line : lines) {
        if (fieldOf(line.text, "id") != id)
            continue;
        own.push_back(&line);
        files.insert(line.file);
        if (auto worker = fieldOf(line.text, "worker"); !worker.empty() && worker != "-")
            workers.insert(std::string(worker));
        if (auto named = fieldOf(line.text, "model"); !named.empty())
            model = std::string(named);
    }
    if (own.empty())
        return std::nullopt;
    std::stable_sort(own.begin(), own.end(), [](const auto* a, const auto* b) { return timeOf(a->text).value_or(milliseconds {}) < timeOf(b->text).value_or(milliseconds {}); });
    for (const auto* line : own)
        story += line->file + ": " + line->text + "\n";
    const auto& last = *own.back();
    auto outcome = fieldOf(last.text, "outcome");
    if (fieldOf(last.text, "event") != "request")
        story += "cause: no line tells its end: the VM of " + last.file + " ended or was cut off before\n";
    else
        story += "cause: " + std::string(outcome) + ": " + causeOf(outcome) + "\n";

    auto from = timeOf(own.front()->text).value_or(milliseconds {}) - before;
    auto until = timeOf(last.text).value_or(milliseconds {}) + after;
    std::vector<const LogLine*> context;
    for (const auto& line : lines) {
        auto at = timeOf(line.text);
        if (at && *at >= from && *at <= until && isContext(line, files, workers, model))
            context.push_back(&line);
    }
    std::stable_sort(context.begin(), context.end(), [](const auto* a, const auto* b) { return timeOf(a->text) < timeOf(b->text); });
    story += "around it: " + std::to_string(context.size()) + " lines" + (context.size() > contextLimit ? ", the last " + std::to_string(contextLimit) + " of them" : "") + "\n";
    for (size_t i = context.size() > contextLimit ? context.size() - contextLimit : 0; i < context.size(); i++)
        story += "  " + context[i]->file + ": " + context[i]->text + "\n";
    return story;
}

int runExplainRequest(const Invocation& invocation)
{
    std::vector<LogLine> lines;
    for (size_t i = 1; i < invocation.arguments.size(); i++) {
        const auto& path = invocation.arguments[i];
        std::ifstream file(path);
        if (!file) {
            std::cerr << "comfreypier: log '" << path << "' can't be read\n";
            return ExitUsage;
        }
        std::string text;
        while (std::getline(file, text))
            lines.push_back({ path, text });
    }
    auto story = explainRequest(invocation.arguments.front(), lines);
    if (!story) {
        std::cerr << "comfreypier: no log names request '" << invocation.arguments.front() << "'\n";
        return ExitProblemsFound;
    }
    std::cout << *story;
    return ExitOk;
}

} // namespace comfreypier::client
