/// The command `publish`: appends the change to the log service, then waits for its verdict and until it is active on all nodes.
#include "client_p.h"

#include <iostream>

namespace comfreypier::client {

namespace {

    using protocol::ConfigPublish;
    using protocol::Offset;
    using transport::monotonicNow;
    using transport::sleepFor;

    /// Interval at which the verdict, and then the configuration of all live nodes, is polled.
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::milliseconds appendRetryDelay { 200 };
    /// Time to wait for workers to be declared if the models and adapters do not fit in the memory of those known so far.
    constexpr std::chrono::seconds capacityTimeout { 5 };
    constexpr std::chrono::milliseconds capacityPollInterval { 200 };
    /// Log stream of the configuration.
    constexpr const char* configStream = "config";

    /// Verdict on the published change, as reported by a node.
    struct PublishVerdict {
        std::string verdict; ///< `applied`, `conflict` if another change was accepted first, or the name of another rejection.
        std::string detail; ///< Reason of a rejection.
        Offset offset = 0; ///< Offset of the change's log record.
    };

    /// One run of the command `publish`.
    class PublishCommand {
    public:
        PublishCommand(const Invocation& invocation, transport::HttpClient& client)
            : invocation(invocation)
            , client(client)
            , deadline(monotonicNow() + invocation.publishTimeout)
        {
        }

        /// Publishes the change and returns the command's exit code. The functions called by it that return a code print what
        /// the operator has to know.
        int run()
        {
            auto remote = fetchConfig(this->invocation, this->client);
            if (!remote)
                return this->reportUnreachable("no node responded");
            this->currentConfig = *remote;
            auto code = this->invocation.remove ? this->collectRemovals() : this->collectChanges();
            if (code != ExitOk)
                return code;
            if (this->envelope.entries.empty()) {
                std::cout << (this->invocation.json ? "{\"verdict\":\"unchanged\"}\n" : "nothing to publish\n");
                return ExitOk;
            }
            if (!this->waitUntilFits())
                return ExitInsufficientMemory;
            if (this->invocation.dryRun) {
                std::cout << this->envelope.entries.size() << " service files would be published\n";
                return ExitOk;
            }
            this->publishStart = monotonicNow();
            if (!this->appendChange())
                return this->reportUnreachable("the log service did not respond; the change may still take effect, see 'history'");
            return this->waitForVerdict();
        }

    private:
        int reportUnreachable(const std::string& text) const
        {
            std::cerr << "comfreypier: " << text << "\n";
            return ExitUnreachable;
        }

        /// Returns the offset of the version that a change to `service` is based on: the one given by `--base`, else the current
        /// one. Returns nothing for a new service or an invalid `--base`.
        std::optional<Offset> findBaseOffset(const std::string& service) const
        {
            for (const auto& base : this->invocation.baseOverrides) {
                auto equals = base.find('=');
                if (base.substr(0, equals) == service && equals != std::string::npos) {
                    auto offset = protocol::parseInteger(base.substr(equals + 1));
                    return offset ? std::optional<Offset>(static_cast<Offset>(*offset)) : std::nullopt;
                }
            }
            auto accepted = this->currentConfig.services.find(service);
            return accepted == this->currentConfig.services.end() ? std::nullopt : std::optional(accepted->second.offset);
        }

        /// Adds the local files that differ from the current configuration to the change.
        int collectChanges()
        {
            auto local = readServiceDir(this->invocation.arguments[0]);
            if (!local.errors.empty()) {
                printErrors(local.errors, this->invocation.json);
                return ExitProblemsFound;
            }
            for (const auto& file : local.files) {
                auto accepted = this->currentConfig.services.find(file.spec.name);
                if (accepted != this->currentConfig.services.end() && accepted->second.text == file.text)
                    continue;
                this->envelope.entries.push_back(ConfigPublish { file.spec.name, this->findBaseOffset(file.spec.name), file.text, this->invocation.author, false });
            }
            return ExitOk;
        }

        /// Adds the removal of the services named by the arguments to the change.
        int collectRemovals()
        {
            for (const auto& service : this->invocation.arguments) {
                if (!this->currentConfig.services.contains(service)) {
                    std::cerr << "comfreypier: service '" << service << "' is not published\n";
                    return ExitProblemsFound;
                }
                this->envelope.entries.push_back(ConfigPublish { service, this->findBaseOffset(service), {}, this->invocation.author, true });
            }
            return ExitOk;
        }

        /// Returns the total size of all models and adapters declared once the change is active.
        /// @param largest is raised to the size of the largest one.
        uint64_t sumDeclaredBytes(uint64_t& largest) const
        {
            std::map<std::string, std::string> texts;
            for (const auto& [name, file] : this->currentConfig.services)
                texts[name] = file.text;
            for (const auto& entry : this->envelope.entries) {
                const auto& publish = std::get<ConfigPublish>(entry);
                texts[publish.service] = publish.text; // Empty for a removed service, which then adds nothing.
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

        /// Returns whether the change fits in the workers' memory. If not, checks again for up to `capacityTimeout`, because the
        /// workers of a region that has just started are declared one after another.
        bool waitUntilFits() const
        {
            auto fitDeadline = std::min(this->deadline, monotonicNow() + capacityTimeout);
            std::string error;
            while (!this->fitsInMemory(error)) {
                if (monotonicNow() >= fitDeadline) {
                    std::cerr << "comfreypier: " << error << "\n";
                    return false;
                }
                sleepFor(capacityPollInterval);
            }
            return true;
        }

        /// Returns whether all declared models and adapters fit in the workers' total memory, and the largest of them in the
        /// memory of the largest worker. Returns true if no worker is known or no node responds.
        /// @param error receives a description of what does not fit.
        bool fitsInMemory(std::string& error) const
        {
            auto body = queryNodes(this->invocation, this->client, "/admin/placement");
            auto placement = body ? parseObject(*body) : std::nullopt;
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
            auto declared = this->sumDeclaredBytes(largestItem);
            if (declared <= capacity && largestItem <= largestWorker)
                return true;
            error = "models and adapters do not fit: declared " + protocol::formatBytes(declared) + " of " + protocol::formatBytes(capacity);
            error += ", largest item " + protocol::formatBytes(largestItem) + ", largest worker " + protocol::formatBytes(largestWorker);
            return false;
        }

        /// Appends the change to the log service. Retries until a call succeeds or a node reports a verdict on the change, which
        /// shows that an earlier call without a response has succeeded.
        /// @return false if no node reports the address of the log service, or once the time limit of the command has passed.
        bool appendChange()
        {
            auto body = queryNodes(this->invocation, this->client, "/admin/status");
            auto object = body ? parseObject(*body) : std::nullopt;
            auto endpoint = object ? transport::parseEndpoint(std::string(object->at("log").as_string())) : transport::IoError::Refused;
            if (!endpoint)
                return false;
            auto log = protocol::makeHttpLog(this->client, endpoint.value());
            // Nodes report this random number with the verdict, see `findVerdict`. They apply the record only once, however often
            // it is appended.
            this->envelope.id = { protocol::makeRandomId().high, 1 };
            auto bytes = protocol::encodeEnvelope(this->envelope);
            while (monotonicNow() < this->deadline) {
                if (log.append(configStream, bytes) || this->findVerdict())
                    return true;
                sleepFor(appendRetryDelay);
            }
            return false;
        }

        /// Returns the verdict on the change, or nothing while the first node that responds has none.
        std::optional<PublishVerdict> findVerdict() const
        {
            auto body = queryNodes(this->invocation, this->client, "/admin/history");
            auto object = body ? parseObject(*body) : std::nullopt;
            if (!object)
                return std::nullopt;
            for (const auto& element : object->at("history").as_array()) {
                const auto& change = element.as_object();
                if (change.at("id_high").to_number<uint64_t>() == this->envelope.id.high)
                    return PublishVerdict { std::string(change.at("verdict").as_string()), std::string(change.at("detail").as_string()), change.at("offset").to_number<uint64_t>() };
            }
            return std::nullopt;
        }

        /// Polls until a node has a verdict on the change, or the time limit of the command has passed.
        int waitForVerdict() const
        {
            while (monotonicNow() < this->deadline) {
                if (auto verdict = this->findVerdict())
                    return this->reportVerdict(*verdict);
                sleepFor(pollInterval);
            }
            return this->reportUnreachable("no node has processed the change yet, see 'history'");
        }

        /// Prints a rejection and returns its exit code. After an acceptance, waits until the change is active.
        int reportVerdict(const PublishVerdict& verdict) const
        {
            if (verdict.verdict == "applied")
                return this->waitUntilActive(verdict);
            if (this->invocation.json)
                std::cout << json::serialize(json::object { { "verdict", verdict.verdict }, { "detail", verdict.detail }, { "offset", verdict.offset } }) << "\n";
            else
                std::cerr << "comfreypier: " << verdict.verdict << ": " << verdict.detail << "\n";
            if (verdict.verdict != "conflict")
                return ExitInvalid;
            this->showAcceptedChange();
            return ExitConflict;
        }

        /// After a conflict, prints how the accepted version differs from the one that this change was based on.
        void showAcceptedChange() const
        {
            auto latest = fetchConfig(this->invocation, this->client);
            if (!latest || this->invocation.json)
                return;
            for (const auto& entry : this->envelope.entries) {
                const auto& publish = std::get<ConfigPublish>(entry);
                auto base = this->currentConfig.services.find(publish.service);
                auto accepted = latest->services.find(publish.service);
                printDiff(publish.service, base == this->currentConfig.services.end() ? "" : base->second.text, accepted == latest->services.end() ? "" : accepted->second.text);
            }
        }

        /// A node that the queried node reports as live.
        struct LiveNode {
            std::string name;
            transport::Endpoint http;
        };

        /// Returns the live nodes, or an empty list if no node responds.
        std::vector<LiveNode> fetchLiveNodes() const
        {
            std::vector<LiveNode> nodes;
            auto body = queryNodes(this->invocation, this->client, "/admin/status");
            auto object = body ? parseObject(*body) : std::nullopt;
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

        /// Polls the live nodes until all of them have read the accepted change, or the time limit of the command has passed.
        int waitUntilActive(const PublishVerdict& verdict) const
        {
            std::vector<std::string> pendingNodes;
            do {
                pendingNodes.clear();
                for (const auto& node : this->fetchLiveNodes()) {
                    auto body = queryNode(node.http, this->client, "/admin/config");
                    auto config = body ? parseConfig(*body) : std::nullopt;
                    if (!config || config->nextOffset <= verdict.offset)
                        pendingNodes.push_back(node.name);
                }
                if (pendingNodes.empty())
                    return this->reportActive(verdict);
                sleepFor(pollInterval);
            } while (monotonicNow() < this->deadline);
            std::cerr << "comfreypier: accepted at offset " << verdict.offset << ", not yet active on:";
            for (const auto& name : pendingNodes)
                std::cerr << " " << name;
            std::cerr << "\n";
            return ExitNotActive;
        }

        int reportActive(const PublishVerdict& verdict) const
        {
            auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - this->publishStart);
            if (this->invocation.json)
                std::cout << json::serialize(json::object { { "verdict", "applied" }, { "offset", verdict.offset }, { "in_force_ms", elapsed.count() } }) << "\n";
            else
                std::cout << "accepted at offset " << verdict.offset << ", active on all live nodes after " << elapsed.count() << " ms\n";
            return ExitOk;
        }

        const Invocation& invocation;
        transport::HttpClient& client;
        std::chrono::nanoseconds deadline; ///< End of the command's time limit.
        std::chrono::nanoseconds publishStart { 0 }; ///< Time just before the change was first appended.
        RemoteConfig currentConfig; ///< Accepted configuration before the change.
        protocol::Envelope envelope; ///< The change: one entry for each service file that is published or removed.
    };

} // namespace

int runPublish(const Invocation& invocation, transport::HttpClient& client)
{
    return PublishCommand(invocation, client).run();
}

} // namespace comfreypier::client
