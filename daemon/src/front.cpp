#include "front.h"

#include "refuse.h"

namespace comfreypier::daemon {

using protocol::RefusalReason;

namespace {

    constexpr std::chrono::milliseconds startRetryAfter { 1000 };

    bool isCompletionPath(std::string_view path)
    {
        return path == "/v1/completions" || path == "/v1/chat/completions";
    }

} // namespace

Front::Front(Node& node, CompletionFront& completions, PlainFront& plain, HandOver& handOver, const Admin& admin)
    : node(node)
    , completions(completions)
    , plain(plain)
    , handOver(handOver)
    , admin(admin)
{
}

void Front::serve(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    auto path = transport::targetPath(request.target);
    if (isCompletionPath(path) || path.starts_with("/services/")) {
        this->serveWork(request, writer);
        return;
    }
    if (request.method != "GET") {
        refuse(this->node, writer, notRun(RefusalReason::MethodNotAllowed, "only GET is served here"));
        return;
    }
    if (!this->admin.serve(request, writer))
        refuse(this->node, writer, notRun(RefusalReason::NotFound, "nothing is served at this path"));
}

void Front::serveWork(const transport::HttpRequest& request, transport::ResponseWriter& writer)
{
    bool isCompletion = isCompletionPath(transport::targetPath(request.target));
    if (isCompletion && request.method != "POST") {
        refuse(this->node, writer, notRun(RefusalReason::MethodNotAllowed, "completions take POST"));
        return;
    }
    if (!this->node.phase.caughtUp) {
        refuse(this->node, writer, notRun(RefusalReason::NotReady, "this node is still reading the log", startRetryAfter));
        return;
    }
    if (this->node.phase.handingOver && this->handOver.serve(request, writer))
        return;
    if (isCompletion)
        this->completions.serve(request, writer);
    else
        this->plain.serve(request, writer);
}

transport::HttpResponse Front::refuseMalformed(unsigned status, std::string_view reason) const
{
    auto refusal = notRun(RefusalReason::MalformedHttp, std::string(reason));
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
