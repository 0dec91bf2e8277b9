#include "peer_forwarder.h"

namespace comfreypier::daemon {

namespace {

    constexpr const char* marker = "X-Handed-Over";
    constexpr std::chrono::minutes streamLimit { 10 };

    std::vector<transport::Header> withoutFraming(const std::vector<transport::Header>& headers)
    {
        std::vector<transport::Header> kept;
        for (const auto& header : headers) {
            auto name = std::string_view(header.name);
            bool framing = name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" || name == "Host";
            if (!framing)
                kept.push_back(header);
        }
        return kept;
    }

} // namespace

PeerForwarder::PeerForwarder(Node& node, const GossipTask& gossip)
    : node(node)
    , gossip(gossip)
{
}

bool PeerForwarder::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    if (!transport::findHeader(request.headers, marker).empty())
        return false;
    transport::HttpRequest out { request.method, request.target, withoutFraming(request.headers), request.body };
    out.headers.push_back({ marker, this->node.settings.node });
    transport::CallLimits limits;
    limits.response = streamLimit;
    limits.bodyLimit = UINT64_MAX;
    for (const auto& peer : this->gossip.liveNodes()) {
        auto endpoint = transport::parseEndpoint(peer.open.http);
        if (peer.news.key.name == this->node.settings.node || !endpoint)
            continue;
        auto opened = this->node.client.open(endpoint.value(), out, limits);
        if (!opened && transport::isBeforeSend(opened.error()))
            continue;
        if (!opened) {
            writer.abort();
            return true;
        }
        add(this->node.counters, state::Counter::HandedOver);
        auto& stream = *opened.value();
        writer.startStream(stream.status(), withoutFraming(stream.headers()));
        while (true) {
            auto piece = stream.read(streamLimit);
            if (!piece) {
                writer.abort();
                return true;
            }
            if (piece.value().empty())
                break;
            if (!writer.writeChunk(piece.value()))
                return true;
        }
        writer.finishStream();
        return true;
    }
    return false;
}

} // namespace comfreypier::daemon
