/// Parses the fields of an OpenAI-style completion request that routing uses.
#include "protocol_p.h"

#include <boost/json.hpp>
#include <xxhash.h>

namespace comfreypier::protocol {

namespace json = boost::json;

namespace {

    /// Length of the prompt prefix that `CompletionRequest::prefixHash` covers.
    constexpr size_t hashedPrefixBytes = 1024;
    /// Maximum JSON nesting depth of a request. Deeper ones are rejected.
    constexpr size_t maxJsonDepth = 64;

    /// Returns `prompt`, or else `messages`, as text; empty if the request has neither. Values that are not strings are serialized to
    /// JSON.
    std::string promptText(const json::object& object)
    {
        if (const auto* prompt = object.if_contains("prompt"))
            return prompt->is_string() ? std::string(prompt->get_string()) : json::serialize(*prompt);
        if (const auto* messages = object.if_contains("messages"))
            return json::serialize(*messages);
        return {};
    }

} // namespace

Result<CompletionRequest, CompletionError> parseCompletion(std::string_view body)
{
    json::parse_options options;
    options.max_depth = maxJsonDepth;
    json::error_code error;
    auto value = json::parse({ body.data(), body.size() }, error, {}, options);
    if (error || !value.is_object())
        return CompletionError::BadJson;
    const auto& object = value.get_object();
    const auto* model = object.if_contains("model");
    if (!model || !model->is_string())
        return CompletionError::NoModel;
    CompletionRequest request;
    request.model = std::string(model->get_string());
    if (const auto* stream = object.if_contains("stream"))
        request.stream = stream->is_bool() && stream->get_bool();
    if (const auto* tokens = object.if_contains("max_tokens"))
        request.maxTokens = static_cast<uint32_t>(std::min<uint64_t>(toNumber(*tokens).value_or(0), UINT32_MAX));
    auto prompt = promptText(object);
    request.promptBytes = static_cast<uint32_t>(prompt.size());
    request.prefixHash = contentHash(std::string_view(prompt).substr(0, hashedPrefixBytes));
    request.contentHash = contentHash(body);
    return request;
}

std::optional<uint64_t> toNumber(const json::value& value)
{
    json::error_code error;
    auto number = value.to_number<uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

uint64_t readNumber(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(json::string_view(key.data(), key.size()));
    return value == nullptr ? 0 : toNumber(*value).value_or(0);
}

std::string jsonQuote(std::string_view text)
{
    return json::serialize(json::string(text.data(), text.size()));
}

uint64_t contentHash(std::string_view bytes, uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace comfreypier::protocol
