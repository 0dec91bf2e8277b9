/// Requests to the admin API of the nodes.
#include "client_p.h"

namespace comfreypier::client {

namespace {

    /// Time limit for a request to one node, up to the response head.
    constexpr std::chrono::milliseconds requestTimeout { 2000 };

} // namespace

std::optional<std::string> queryNode(const transport::Endpoint& node, transport::HttpClient& client, const std::string& target)
{
    transport::CallLimits limits;
    limits.response = requestTimeout;
    auto response = client.call(node, { "GET", target, {}, {} }, limits);
    if (!response || response.value().status != 200)
        return std::nullopt;
    return response.value().body;
}

std::optional<std::string> queryNodes(const Invocation& invocation, transport::HttpClient& client, const std::string& target)
{
    for (const auto& node : invocation.nodes) {
        if (auto body = queryNode(node, client, target))
            return body;
    }
    return std::nullopt;
}

std::optional<json::object> parseObject(const std::string& text)
{
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

std::optional<RemoteConfig> parseConfig(const std::string& text)
{
    auto object = parseObject(text);
    if (!object || !object->contains("services"))
        return std::nullopt;
    RemoteConfig config;
    config.nextOffset = object->at("next").to_number<uint64_t>();
    for (const auto& element : object->at("services").as_array()) {
        const auto& service = element.as_object();
        auto name = std::string(service.at("service").as_string());
        config.services[name] = { service.at("offset").to_number<uint64_t>(), std::string(service.at("text").as_string()) };
    }
    return config;
}

std::optional<RemoteConfig> fetchConfig(const Invocation& invocation, transport::HttpClient& client)
{
    auto body = queryNodes(invocation, client, "/admin/config");
    return body ? parseConfig(*body) : std::nullopt;
}

} // namespace comfreypier::client
