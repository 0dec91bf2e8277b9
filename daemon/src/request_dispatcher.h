/// The HTTP front: hands each request to the part that serves it.
#pragma once

#include "admin.h"
#include "completions.h"
#include "peer_forwarder.h"
#include "plain_calls.h"

namespace comfreypier::daemon {

/// Dispatches on method and path.
class RequestDispatcher {
public:
    RequestDispatcher(Node& node, CompletionHandler& completions, PlainCallHandler& plain, PeerForwarder& peerForwarder, const Admin& admin);
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);
    /// Problem document for a request that the HTTP server itself refused.
    transport::HttpResponse refuseMalformed(unsigned status, std::string_view reason) const;

private:
    void serveWork(const transport::HttpRequest& request, transport::ResponseWriter& writer);

    Node& node;
    CompletionHandler& completions;
    PlainCallHandler& plain;
    PeerForwarder& peerForwarder;
    const Admin& admin;
};

} // namespace comfreypier::daemon
