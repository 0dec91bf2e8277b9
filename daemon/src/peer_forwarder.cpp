#include "peer_forwarder.h"

namespace comfreypier::daemon {

namespace {

    /// Marks a forwarded request, so that the receiving node does not forward it again.
    constexpr const char* forwardedHeader = "X-Handed-Over";
    /// Time limit for the response head, and for each further part of the response.
    constexpr std::chrono::minutes streamTimeout { 10 };

    /// Returns the headers without those that each hop sets itself: framing, connection and target.
    std::vector<transport::Header> withoutFraming(const std::vector<transport::Header>& headers)
    {
        std::vector<transport::Header> remaining;
        for (const auto& header : headers) {
            auto name = std::string_view(header.name);
            bool isFraming = name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" || name == "Host";
            if (!isFraming)
                remaining.push_back(header);
        }
        return remaining;
    }

} // namespace

PeerForwarder::PeerForwarder(Node& node, const GossipTask& gossip)
    : node(node)
    , gossip(gossip)
{
}

bool PeerForwarder::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    if (!transport::findHeader(request.headers, forwardedHeader).empty())
        return false;
    transport::HttpRequest forwarded { request.method, request.target, withoutFraming(request.headers), request.body };
    forwarded.headers.push_back({ forwardedHeader, this->node.settings.node });
    transport::CallLimits limits;
    limits.response = streamTimeout;
    limits.maxBodyBytes = UINT64_MAX;
    for (const auto& peer : this->gossip.liveNodes()) {
        auto endpoint = transport::parseEndpoint(peer.open.http);
        if (peer.update.key.name == this->node.settings.node || !endpoint)
            continue;
        auto opened = this->node.client.open(endpoint.value(), forwarded, limits);
        if (!opened && transport::isConnectError(opened.error()))
            continue;
        // The peer may have received the request, so no other peer may run it.
        if (!opened) {
            writer.abort();
            return true;
        }
        add(this->node.counters, state::Counter::HandedOver);
        auto& stream = *opened.value();
        writer.startStream(stream.status(), withoutFraming(stream.headers()));
        while (true) {
            auto chunk = stream.read(streamTimeout);
            if (!chunk) {
                writer.abort();
                return true;
            }
            if (chunk.value().empty())
                break;
            if (!writer.writeChunk(chunk.value()))
                return true;
        }
        writer.finishStream();
        return true;
    }
    return false;
}

} // namespace comfreypier::daemon
