/// The HTTP front: hands each request to the part that serves it.
#pragma once

#include "admin.h"
#include "completions.h"
#include "hand_over.h"
#include "plain_calls.h"

namespace comfreypier::daemon {

/// Dispatches on method and path.
class Front {
public:
    Front(Node& node, CompletionFront& completions, PlainFront& plain, HandOver& handOver, const Admin& admin);
    void serve(const transport::HttpRequest& request, transport::ResponseWriter& writer);
    /// Problem document for a request that the HTTP server itself refused.
    transport::HttpResponse refuseMalformed(unsigned status, std::string_view reason) const;

private:
    void serveWork(const transport::HttpRequest& request, transport::ResponseWriter& writer);

    Node& node;
    CompletionFront& completions;
    PlainFront& plain;
    HandOver& handOver;
    const Admin& admin;
};

} // namespace comfreypier::daemon
