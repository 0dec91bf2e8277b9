#include "request_dispatcher.h"

#include "refuse.h"

namespace comfreypier::daemon {

using protocol::RefusalReason;

namespace {

    /// Retry delay that a refusal gives to the caller until this node has caught up.
    constexpr std::chrono::milliseconds catchUpRetryAfter { 1000 };

    bool isCompletionPath(std::string_view path)
    {
        return path == "/v1/completions" || path == "/v1/chat/completions";
    }

} // namespace

RequestDispatcher::RequestDispatcher(Node& node, CompletionHandler& completions, PlainCallHandler& plain, PeerForwarder& peerForwarder, const Admin& admin)
    : node(node)
    , completions(completions)
    , plain(plain)
    , peerForwarder(peerForwarder)
    , admin(admin)
{
}

void RequestDispatcher::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    auto path = transport::targetPath(request.target);
    if (isCompletionPath(path) || path.starts_with("/services/")) {
        this->serveCall(request, writer);
        return;
    }
    if (request.method != "GET") {
        refuse(this->node, writer, makeNotRunRefusal(RefusalReason::MethodNotAllowed, "only GET is served here"));
        return;
    }
    if (!this->admin.serve(request, writer))
        refuse(this->node, writer, makeNotRunRefusal(RefusalReason::NotFound, "nothing is served at this path"));
}

void RequestDispatcher::serveCall(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    bool isCompletion = isCompletionPath(transport::targetPath(request.target));
    if (isCompletion && request.method != "POST") {
        refuse(this->node, writer, makeNotRunRefusal(RefusalReason::MethodNotAllowed, "completions take POST"));
        return;
    }
    if (!this->node.lifecycle.caughtUp) {
        refuse(this->node, writer, makeNotRunRefusal(RefusalReason::NotReady, "this node is still reading the log", catchUpRetryAfter));
        return;
    }
    if (this->node.lifecycle.forwarding && this->peerForwarder.serve(request, writer))
        return;
    if (isCompletion)
        this->completions.serve(request, writer);
    else
        this->plain.serve(request, writer);
}

transport::HttpResponse RequestDispatcher::refuseMalformed(unsigned status, std::string_view reason) const
{
    auto refusal = makeNotRunRefusal(RefusalReason::MalformedHttp, std::string(reason));
    if (status == 431)
        refusal.reason = RefusalReason::HeaderTooLarge;
    else if (status == 413)
        refusal.reason = RefusalReason::BodyTooLarge;
    else if (status == 408)
        refusal.reason = RefusalReason::RequestTooSlow;
    add(this->node.counters, refusal.reason);
    return protocol::toResponse(refusal);
}

} // namespace comfreypier::daemon
