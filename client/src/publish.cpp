/// Publishing: append to the log service, wait for the verdict and until it is in force everywhere.
#include "client_p.h"

#include <iostream>

namespace comfreypier::client {

namespace {

    using protocol::ConfigPublish;
    using protocol::Offset;
    using transport::monotonicNow;
    using transport::sleepFor;

    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::milliseconds appendRetryPause { 200 };
    /// Time for which the workers may still be being declared.
    constexpr std::chrono::seconds fitPatience { 5 };
    constexpr std::chrono::milliseconds fitPoll { 200 };
    constexpr const char* configStream = "config";

    /// Verdict on an own record as a node shows it.
    struct KnownVerdict {
        std::string verdict;
        std::string detail;
        Offset offset = 0;
    };

    class Publication {
    public:
        Publication(const Invocation& invocation, transport::HttpClient& client)
            : invocation(invocation)
            , client(client)
            , deadline(monotonicNow() + invocation.publishTimeout)
        {
        }

        int run()
        {
            auto remote = fetchConfig(this->invocation, this->client);
            if (!remote)
                return this->unreachable("no node answers");
            this->before = *remote;
            auto code = this->invocation.remove ? this->collectRemovals() : this->collectChanges();
            if (code != ExitOk)
                return code;
            if (this->envelope.entries.empty()) {
                std::cout << (this->invocation.json ? "{\"verdict\":\"unchanged\"}\n" : "nothing to publish\n");
                return ExitOk;
            }
            if (!this->fitsSoon())
                return ExitInsufficientMemory;
            if (this->invocation.dryRun) {
                std::cout << this->envelope.entries.size() << " service files would be published\n";
                return ExitOk;
            }
            this->start = monotonicNow();
            if (!this->append())
                return this->unreachable("the log service does not answer; the change may still take effect, see 'history'");
            return this->awaitVerdict();
        }

    private:
        int unreachable(const std::string& text) const
        {
            std::cerr << "comfreypier: " << text << "\n";
            return ExitUnreachable;
        }

        std::optional<Offset> baseOf(const std::string& service) const
        {
            for (const auto& base : this->invocation.baseOverrides) {
                auto equals = base.find('=');
                if (base.substr(0, equals) == service && equals != std::string::npos) {
                    auto offset = protocol::parseInteger(base.substr(equals + 1));
                    return offset ? std::optional<Offset>(static_cast<Offset>(*offset)) : std::nullopt;
                }
            }
            auto accepted = this->before.services.find(service);
            return accepted == this->before.services.end() ? std::nullopt : std::optional(accepted->second.offset);
        }

        int collectChanges()
        {
            auto local = readServiceDir(this->invocation.arguments[0]);
            if (!local.faults.empty()) {
                printFaults(local.faults, this->invocation.json);
                return ExitProblemsFound;
            }
            for (const auto& file : local.files) {
                auto accepted = this->before.services.find(file.spec.name);
                if (accepted != this->before.services.end() && accepted->second.text == file.text)
                    continue;
                this->envelope.entries.push_back(ConfigPublish { file.spec.name, this->baseOf(file.spec.name), file.text, this->invocation.author, false });
            }
            return ExitOk;
        }

        int collectRemovals()
        {
            for (const auto& service : this->invocation.arguments) {
                if (!this->before.services.contains(service)) {
                    std::cerr << "comfreypier: service '" << service << "' is not published\n";
                    return ExitProblemsFound;
                }
                this->envelope.entries.push_back(ConfigPublish { service, this->baseOf(service), {}, this->invocation.author, true });
            }
            return ExitOk;
        }

        /// Bytes of all items that would be declared.
        uint64_t declaredBytes(uint64_t& largest) const
        {
            std::map<std::string, std::string> texts;
            for (const auto& [name, file] : this->before.services)
                texts[name] = file.text;
            for (const auto& entry : this->envelope.entries) {
                const auto& publish = std::get<ConfigPublish>(entry);
                texts[publish.service] = publish.text;
            }
            uint64_t total = 0;
            for (const auto& [name, text] : texts) {
                auto parsed = protocol::parseServiceFile(name, text);
                if (!parsed)
                    continue;
                for (const auto& item : parsed.value().items) {
                    total += item.bytes;
                    largest = std::max(largest, item.bytes);
                }
            }
            return total;
        }

        /// Workers of a region that has just started are declared one after another, so a set that does not fit is looked at again.
        bool fitsSoon() const
        {
            auto patience = std::min(this->deadline, monotonicNow() + fitPatience);
            std::string complaint;
            while (!this->fits(complaint)) {
                if (monotonicNow() >= patience) {
                    std::cerr << "comfreypier: " << complaint << "\n";
                    return false;
                }
                sleepFor(fitPoll);
            }
            return true;
        }

        /// Rejects a set that is larger than the memory of all workers, or an item larger than every worker.
        bool fits(std::string& complaint) const
        {
            auto answer = askNodes(this->invocation, this->client, "/admin/placement");
            auto placement = answer ? parseObject(*answer) : std::nullopt;
            if (!placement || placement->at("workers").as_array().empty())
                return true;
            uint64_t capacity = 0;
            uint64_t largestWorker = 0;
            for (const auto& worker : placement->at("workers").as_array()) {
                auto bytes = worker.at("capacity").to_number<uint64_t>();
                capacity += bytes;
                largestWorker = std::max(largestWorker, bytes);
            }
            uint64_t largestItem = 0;
            auto declared = this->declaredBytes(largestItem);
            if (declared <= capacity && largestItem <= largestWorker)
                return true;
            complaint = "the set does not fit: declared " + protocol::formatBytes(declared) + " of " + protocol::formatBytes(capacity);
            complaint += ", largest item " + protocol::formatBytes(largestItem) + ", largest worker " + protocol::formatBytes(largestWorker);
            return false;
        }

        /// Appends until an answer or a verdict shows that the record is in the log.
        bool append()
        {
            auto status = askNodes(this->invocation, this->client, "/admin/status");
            auto object = status ? parseObject(*status) : std::nullopt;
            auto endpoint = object ? transport::parseEndpoint(std::string(object->at("log").as_string())) : transport::IoError::Refused;
            if (!endpoint)
                return false;
            auto log = protocol::makeHttpLog(this->client, endpoint.value());
            this->envelope.id = { protocol::makeRecordId().high, 1 };
            auto bytes = protocol::encodeEnvelope(this->envelope);
            while (monotonicNow() < this->deadline) {
                if (log.append(configStream, bytes) || this->findVerdict())
                    return true;
                sleepFor(appendRetryPause);
            }
            return false;
        }

        std::optional<KnownVerdict> findVerdict() const
        {
            auto answer = askNodes(this->invocation, this->client, "/admin/history");
            auto object = answer ? parseObject(*answer) : std::nullopt;
            if (!object)
                return std::nullopt;
            for (const auto& element : object->at("history").as_array()) {
                const auto& outcome = element.as_object();
                if (outcome.at("id_high").to_number<uint64_t>() == this->envelope.id.high)
                    return KnownVerdict { std::string(outcome.at("verdict").as_string()), std::string(outcome.at("detail").as_string()), outcome.at("offset").to_number<uint64_t>() };
            }
            return std::nullopt;
        }

        int awaitVerdict() const
        {
            while (monotonicNow() < this->deadline) {
                if (auto verdict = this->findVerdict())
                    return this->reportVerdict(*verdict);
                sleepFor(pollInterval);
            }
            return this->unreachable("no node has read the change yet, see 'history'");
        }

        int reportVerdict(const KnownVerdict& verdict) const
        {
            if (verdict.verdict == "applied")
                return this->awaitInForce(verdict);
            if (this->invocation.json)
                std::cout << json::serialize(json::object { { "verdict", verdict.verdict }, { "detail", verdict.detail }, { "offset", verdict.offset } }) << "\n";
            else
                std::cerr << "comfreypier: " << verdict.verdict << ": " << verdict.detail << "\n";
            if (verdict.verdict != "conflict")
                return ExitInvalid;
            this->showWinner();
            return ExitConflict;
        }

        /// Shows what the accepted change did to the files that this one was made against.
        void showWinner() const
        {
            auto now = fetchConfig(this->invocation, this->client);
            if (!now || this->invocation.json)
                return;
            for (const auto& entry : this->envelope.entries) {
                const auto& publish = std::get<ConfigPublish>(entry);
                auto old = this->before.services.find(publish.service);
                auto accepted = now->services.find(publish.service);
                printDiff(publish.service, old == this->before.services.end() ? "" : old->second.text, accepted == now->services.end() ? "" : accepted->second.text);
            }
        }

        struct NodeState {
            std::string name;
            transport::Endpoint http;
        };

        std::vector<NodeState> liveNodes() const
        {
            std::vector<NodeState> nodes;
            auto answer = askNodes(this->invocation, this->client, "/admin/status");
            auto object = answer ? parseObject(*answer) : std::nullopt;
            if (!object)
                return nodes;
            for (const auto& element : object->at("nodes").as_array()) {
                const auto& node = element.as_object();
                auto endpoint = transport::parseEndpoint(std::string(node.at("http").as_string()));
                if (endpoint && node.at("heard").as_bool())
                    nodes.push_back({ std::string(node.at("node").as_string()), endpoint.value() });
            }
            return nodes;
        }

        int awaitInForce(const KnownVerdict& verdict) const
        {
            std::vector<std::string> lagging;
            do {
                lagging.clear();
                for (const auto& node : this->liveNodes()) {
                    auto answer = askNode(node.http, this->client, "/admin/config");
                    auto config = answer ? parseConfig(*answer) : std::nullopt;
                    if (!config || config->next <= verdict.offset)
                        lagging.push_back(node.name);
                }
                if (lagging.empty())
                    return this->reportInForce(verdict);
                sleepFor(pollInterval);
            } while (monotonicNow() < this->deadline);
            std::cerr << "comfreypier: accepted at offset " << verdict.offset << ", not yet in force on:";
            for (const auto& name : lagging)
                std::cerr << " " << name;
            std::cerr << "\n";
            return ExitNotActive;
        }

        int reportInForce(const KnownVerdict& verdict) const
        {
            auto took = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - this->start);
            if (this->invocation.json)
                std::cout << json::serialize(json::object { { "verdict", "applied" }, { "offset", verdict.offset }, { "in_force_ms", took.count() } }) << "\n";
            else
                std::cout << "accepted at offset " << verdict.offset << ", in force on every live node after " << took.count() << " ms\n";
            return ExitOk;
        }

        const Invocation& invocation;
        transport::HttpClient& client;
        std::chrono::nanoseconds deadline;
        std::chrono::nanoseconds start { 0 };
        RemoteConfig before;
        protocol::Envelope envelope;
    };

} // namespace

int runPublish(const Invocation& invocation, transport::HttpClient& client)
{
    return Publication(invocation, client).run();
}

} // namespace comfreypier::client
