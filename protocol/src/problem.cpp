/// Builds RFC 9457 problem documents for refused requests and names the reasons of refusals and retries.
#include "protocol_p.h"

namespace comfreypier::protocol {

namespace {

    struct ReasonInfo {
        const char* name; ///< Name in problem documents and metrics.
        unsigned status; ///< HTTP status.
    };

    /// In the order of `RefusalReason`.
    constexpr std::array<ReasonInfo, static_cast<size_t>(RefusalReason::Count)> reasons { {
        { "malformed_http", 400 },
        { "header_too_large", 431 },
        { "body_too_large", 413 },
        { "request_too_slow", 408 },
        { "not_found", 404 },
        { "method_not_allowed", 405 },
        { "bad_json", 400 },
        { "unknown_model", 404 },
        { "unknown_service", 404 },
        { "not_ready", 503 },
        { "draining", 503 },
        { "no_live_copy", 503 },
        { "queue_full", 503 },
        { "late", 503 },
        { "suspect", 503 },
        { "retry_budget", 503 },
        { "log_unavailable", 503 },
        { "session_lapsed", 503 },
        { "key_reused", 422 },
        { "outcome_unknown", 409 },
        { "endpoint_failed", 502 },
        { "endpoint_silent", 504 },
    } };

} // namespace

const char* name(RefusalReason reason)
{
    return reasons[static_cast<size_t>(reason)].name;
}

unsigned httpStatus(RefusalReason reason)
{
    return reasons[static_cast<size_t>(reason)].status;
}

const char* name(RunState state)
{
    constexpr std::array<const char*, static_cast<size_t>(RunState::Count)> names { "not_run", "ran", "unknown" };
    return names[static_cast<size_t>(state)];
}

const char* name(RetryReason reason)
{
    constexpr std::array<const char*, static_cast<size_t>(RetryReason::Count)> names {
        "connect_failed", "engine_refused", "stream_cut", "stream_silent", "crossed_answer"
    };
    return names[static_cast<size_t>(reason)];
}

transport::HttpResponse toResponse(const Refusal& refusal)
{
    transport::HttpResponse response;
    response.status = httpStatus(refusal.reason);
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    if (refusal.retryAfter.count() > 0) {
        // Rounded up to the whole seconds that the header takes.
        auto seconds = (refusal.retryAfter.count() + 999) / 1000;
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    std::string reason = name(refusal.reason);
    response.body = R"({"type":"urn:comfreypier:refusal:)" + reason + R"(","title":")" + reason
        + R"(","status":)" + std::to_string(response.status) + R"(,"reason":")" + reason
        + R"(","run":")" + name(refusal.runState) + R"(","detail":)" + jsonQuote(refusal.detail) + "}\n";
    return response;
}

} // namespace comfreypier::protocol
