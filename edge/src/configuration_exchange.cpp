#include "configuration_exchange.h"

#include <algorithm>
#include <charconv>
#include <routing/routing.h>
#include <tuple>

namespace comfreypier::edge {

namespace {

    constexpr std::string_view configurationTarget = "/configuration";
    constexpr std::string_view versionHeader = "Configuration-Version";
    constexpr std::string_view eraHeader = "Configuration-Era";
    constexpr std::string_view offsetHeader = "Configuration-Offset";
    constexpr std::string_view nodeHeader = "Configuration-Node";
    constexpr std::string_view incarnationHeader = "Configuration-Incarnation";

    std::optional<uint64_t> readNumber(const std::vector<transport::Header>& headers, std::string_view header)
    {
        auto text = transport::findHeader(headers, header);
        uint64_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        bool isNumber = !text.empty() && error == std::errc {} && end == text.data() + text.size();
        return isNumber ? std::optional(number) : std::nullopt;
    }

} // namespace

std::vector<ConfigurationSource> orderConfigurationSources(std::vector<ConfigurationSource> sources, std::string_view node, std::string_view dataCentre)
{
    auto key = [&](const ConfigurationSource& source) {
        return std::tuple(source.dataCentre != dataCentre, routing::hashText(std::string(node) + "/" + source.node));
    };
    std::sort(sources.begin(), sources.end(), [&](const auto& a, const auto& b) { return key(a) < key(b); });
    if (sources.size() > maxConfigurationSources)
        sources.resize(maxConfigurationSources);
    return sources;
}

transport::HttpRequest makeConfigurationRequest(const ConfigurationAsker& asker)
{
    return { "GET", std::string(configurationTarget), { { std::string(nodeHeader), asker.node }, { std::string(incarnationHeader), std::to_string(asker.incarnation) } }, {} };
}

std::optional<ConfigurationAsker> decodeConfigurationAsker(const transport::HttpRequest& request)
{
    auto node = transport::findHeader(request.headers, nodeHeader);
    auto incarnation = readNumber(request.headers, incarnationHeader);
    return !node.empty() && incarnation ? std::optional(ConfigurationAsker { std::string(node), *incarnation }) : std::nullopt;
}

bool isConfigurationRequest(const transport::HttpRequest& request)
{
    return request.method == "GET" && request.target == configurationTarget;
}

void sendConfiguration(const ConfigurationRecordPtr& record, transport::ResponseWriter& writer, const std::function<bool()>& isInForce)
{
    if (!record) {
        writer.send({ 404, {}, "" });
        return;
    }
    std::vector<transport::Header> headers {
        { "Content-Type", "application/octet-stream" },
        { std::string(versionHeader), std::to_string(record->version) },
        { std::string(eraHeader), std::to_string(record->position.era) },
        { std::string(offsetHeader), std::to_string(record->position.offset) },
    };
    writer.startStream(200, headers);
    for (std::string_view rest = record->value; !rest.empty(); rest.remove_prefix(std::min(rest.size(), configurationChunkBytes))) {
        if (!writer.writeChunk(rest.substr(0, configurationChunkBytes)))
            return;
        if (!isInForce())
            return writer.abort();
    }
    writer.finishStream();
}

transport::HttpResponse makeConfigurationDenial()
{
    return { 403, {}, "" };
}

transport::HttpResponse makeConfigurationRefusal()
{
    return { 503, {}, "" };
}

std::optional<ConfigurationRecord> decodeConfigurationResponse(const transport::HttpResponse& response)
{
    auto version = readNumber(response.headers, versionHeader);
    auto era = readNumber(response.headers, eraHeader);
    auto offset = readNumber(response.headers, offsetHeader);
    if (response.status != 200 || !version || !era || !offset)
        return std::nullopt;
    return ConfigurationRecord { response.body, *version, { *era, *offset } };
}

} // namespace comfreypier::edge
