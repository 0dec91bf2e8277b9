/// Front end for HTTP requests: passes each request to the part that serves it.
#pragma once

#include "admin.h"
#include "completions.h"
#include "peer_forwarder.h"
#include "plain_calls.h"

namespace comfreypier::daemon {

/// Dispatches requests by method and path.
class RequestDispatcher {
public:
    RequestDispatcher(Node& node, CompletionHandler& completions, PlainCallHandler& plain, PeerForwarder& peerForwarder, const Admin& admin);
    /// Serves one request, or refuses it if nothing is served at its path.
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);
    /// Counts and returns the problem document for a request that the HTTP server itself refused.
    /// @param status status code that the server chose.
    /// @param reason name of the cause, such as `header_too_large`, for the document's detail.
    transport::HttpResponse refuseMalformed(unsigned status, std::string_view reason) const;

private:
    /// Serves a completion or a call to a plain service: refuses it until this node has caught up, and forwards it to a peer
    /// while `Lifecycle::forwarding` is set. If no peer takes it, serves it here.
    void serveCall(const transport::HttpRequest& request, transport::ResponseWriter& writer);

    Node& node;
    CompletionHandler& completions;
    PlainCallHandler& plain;
    PeerForwarder& peerForwarder;
    const Admin& admin;
};

} // namespace comfreypier::daemon
