#include "admin.h"

#include <boost/json.hpp>

namespace comfreypier::daemon {

namespace json = boost::json;

namespace {

    json::object toJson(const protocol::ItemSpec& spec)
    {
        json::object object;
        object["name"] = spec.name;
        object["service"] = spec.service;
        object["base"] = spec.base;
        object["version"] = spec.version;
        object["bytes"] = spec.bytes;
        object["urgency"] = protocol::name(spec.urgency);
        // The targets are in microseconds.
        object["first_token_target_ms"] = spec.firstTokenTarget.count() / 1000;
        object["token_gap_target_ms"] = spec.tokenGapTarget.count() / 1000;
        return object;
    }

    /// Formats the moves that concern `model`, or all moves if it is empty. Item keys have the form `name@version`.
    json::array toJson(const std::vector<protocol::PlanMove>& moves, const std::string& model)
    {
        json::array array;
        for (const auto& move : moves) {
            if (model.empty() || move.item.starts_with(model + "@"))
                array.push_back({ { "worker", move.worker }, { "item", move.item } });
        }
        return array;
    }

    /// Returns the state of a reservation as text for `/admin/placement`.
    const char* reservationState(const coordination::Reservation& reservation)
    {
        if (reservation.unloading)
            return "unloading";
        return reservation.loaded ? "loaded" : "loading";
    }

    json::object toJson(const coordination::Worker& worker)
    {
        json::object object;
        object["worker"] = worker.declared.worker;
        object["endpoint"] = worker.declared.endpoint;
        object["data_centre"] = worker.declared.dataCentre;
        object["capacity"] = worker.declared.capacity;
        object["reserved"] = coordination::reservedBytes(worker);
        object["owner_session"] = worker.owner;
        object["fence"] = worker.ownerSince;
        json::array items;
        for (const auto& [item, reservation] : worker.reservations)
            items.push_back({ { "item", item }, { "bytes", reservation.bytes }, { "state", reservationState(reservation) }, { "open_copies", reservation.openCopies.size() } });
        object["items"] = std::move(items);
        return object;
    }

    /// Appends quantiles and count of a distribution in the Prometheus text format.
    void appendDistribution(std::string& text, const std::string& metric, const transport::Distribution& distribution)
    {
        auto stats = distribution.stats();
        auto seconds = [](std::chrono::nanoseconds value) { return std::to_string(std::chrono::duration<double>(value).count()); };
        text += metric + "{quantile=\"0.5\"} " + seconds(stats.p50) + "\n";
        text += metric + "{quantile=\"0.99\"} " + seconds(stats.p99) + "\n";
        text += metric + "_count " + std::to_string(stats.count) + "\n";
    }

} // namespace

Admin::Admin(Node& node, const Router& router, const GossipTask& gossip, const SessionKeeper& session)
    : node(node)
    , router(router)
    , gossip(gossip)
    , session(session)
{
}

bool Admin::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer) const
{
    auto path = transport::targetPath(request.target);
    auto sendJson = [&writer](std::string body) { writer.send({ 200, { { "Content-Type", "application/json" } }, std::move(body) + "\n" }); };
    if (path == "/v1/addresses")
        sendJson(this->addresses());
    else if (path == "/v1/models")
        sendJson(this->models());
    else if (path == "/admin/status")
        sendJson(this->status());
    else if (path == "/admin/placement")
        sendJson(this->placement());
    else if (path == "/admin/config")
        sendJson(this->config());
    else if (path == "/admin/history")
        sendJson(this->history());
    else if (path == "/admin/explain")
        sendJson(this->explain(transport::queryValue(request.target, "model")));
    else if (path == "/admin/rpc")
        writer.send({ 200, { { "Content-Type", "text/plain" } }, toString(this->node.settings.rpc) + "\n" });
    else if (path == "/metrics")
        writer.send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics() });
    else if (path == "/healthz")
        writer.send({ 200, { { "Content-Type", "text/plain" } }, "ok\n" });
    else if (path == "/readyz")
        writer.send({ this->isReady() ? 200U : 503U, { { "Content-Type", "text/plain" } }, this->isReady() ? "ready\n" : "not ready\n" });
    else
        return false;
    return true;
}

bool Admin::isReady() const
{
    return this->node.lifecycle.caughtUp && !this->node.lifecycle.draining && this->session.current() != protocol::invalidOffset;
}

std::string Admin::addresses() const
{
    json::array list;
    for (const auto& liveNode : this->gossip.liveNodes())
        list.push_back({ { "address", liveNode.open.http }, { "data_centre", liveNode.open.dataCentre }, { "local", liveNode.open.dataCentre == this->node.settings.dataCentre } });
    json::object object;
    object["addresses"] = std::move(list);
    object["keep_seconds"] = std::chrono::duration<double>(this->node.settings.addressCacheTtl).count();
    return json::serialize(object);
}

std::string Admin::models() const
{
    json::array list;
    auto table = this->router.table();
    for (const auto& [name, route] : table->routes) {
        auto object = toJson(route.spec);
        object["id"] = name;
        object["object"] = "model";
        object["copies"] = route.workers.size();
        list.push_back(std::move(object));
    }
    return json::serialize(json::object { { "object", "list" }, { "data", std::move(list) } });
}

std::string Admin::status() const
{
    json::object object;
    object["node"] = this->node.settings.node;
    object["region"] = this->node.settings.region;
    object["log"] = toString(this->node.settings.log);
    object["ready"] = this->isReady();
    object["draining"] = this->node.lifecycle.draining.load();
    object["session"] = this->session.current() == protocol::invalidOffset ? json::value(nullptr) : json::value(this->session.current());
    object["may_act"] = this->session.mayAct();
    object["config_next"] = this->node.config.next();
    object["region_next"] = this->node.region.next();
    auto liveNodes = this->gossip.liveNodes();
    json::array nodes;
    this->node.region.read([&](const coordination::RegionState& state) {
        for (const auto& [id, session] : state.sessions) {
            const auto& entry = session;
            bool isLive = std::any_of(liveNodes.begin(), liveNodes.end(), [&entry](const LiveNode& liveNode) { return liveNode.update.key.name == entry.open.node; });
            nodes.push_back({ { "node", entry.open.node }, { "session", id }, { "http", entry.open.http }, { "data_centre", entry.open.dataCentre }, { "heard", isLive } });
        }
        object["workers"] = state.workers.size();
        object["planned_copies"] = state.plan.size();
        object["open_actions"] = std::count_if(state.actions.begin(), state.actions.end(), [](const auto& action) { return !action.second.end; });
        object["known_keys"] = state.actions.size();
        return 0;
    });
    object["nodes"] = std::move(nodes);
    return json::serialize(object);
}

std::string Admin::placement() const
{
    json::array workers;
    this->node.region.read([&](const coordination::RegionState& state) {
        for (const auto& [name, worker] : state.workers)
            workers.push_back(toJson(worker));
        return 0;
    });
    return json::serialize(json::object { { "workers", std::move(workers) } });
}

std::string Admin::config() const
{
    json::array services;
    auto next = this->node.config.read([&](const coordination::ConfigState& state) {
        for (const auto& [name, file] : state.services)
            services.push_back({ { "service", name }, { "offset", file.offset }, { "text", file.publish.text }, { "author", file.publish.author } });
        return state.next;
    });
    return json::serialize(json::object { { "node", this->node.settings.node }, { "next", next }, { "services", std::move(services) } });
}

std::string Admin::history() const
{
    json::array list;
    this->node.config.read([&](const coordination::ConfigState& state) {
        for (const auto& outcome : state.history)
            list.push_back({ { "offset", outcome.offset }, { "id_high", outcome.id.high }, { "id_low", outcome.id.low }, { "service", outcome.service },
                { "author", outcome.author }, { "verdict", coordination::name(outcome.verdict) }, { "detail", outcome.detail } });
        return 0;
    });
    return json::serialize(json::object { { "history", std::move(list) } });
}

std::string Admin::explain(const std::string& model) const
{
    json::array list;
    this->node.region.read([&](const coordination::RegionState& state) {
        for (const auto& record : state.planHistory) {
            auto adds = toJson(record.change.adds, model);
            auto drops = toJson(record.change.drops, model);
            if (!adds.empty() || !drops.empty())
                list.push_back({ { "offset", record.offset }, { "reason", record.change.reason }, { "adds", std::move(adds) }, { "drops", std::move(drops) } });
        }
        return 0;
    });
    return json::serialize(json::object { { "model", model }, { "decisions", std::move(list) } });
}

std::string Admin::metrics() const
{
    auto text = state::formatCounters(this->node.counters);
    appendDistribution(text, "comfreypier_first_token_seconds", this->node.firstTokenTimes);
    auto server = this->server->stats();
    text += "comfreypier_http_connections " + std::to_string(server.connections) + "\n";
    text += "comfreypier_http_active_requests " + std::to_string(server.activeRequests) + "\n";
    text += "comfreypier_http_malformed_total " + std::to_string(server.malformed) + "\n";
    text += "comfreypier_http_over_limit_total " + std::to_string(server.overLimit) + "\n";
    text += transport::formatCutConnections();
    text += "comfreypier_cpu_seconds_total " + std::to_string(std::chrono::duration<double>(transport::processCpuTime()).count()) + "\n";
    text += "comfreypier_resident_bytes " + std::to_string(transport::residentBytes()) + "\n";
    text += "comfreypier_gossip_bytes_sent_total " + std::to_string(this->rpc->gossipBytesSent()) + "\n";
    text += "comfreypier_config_offset " + std::to_string(this->node.config.next()) + "\n";
    text += "comfreypier_region_offset " + std::to_string(this->node.region.next()) + "\n";
    return text;
}

} // namespace comfreypier::daemon
