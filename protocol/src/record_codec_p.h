/// Cap'n Proto conversions shared by the codecs of records, snapshots and RPC messages.
#pragma once

#include "protocol_p.h"
#include "record.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

namespace comfreypier::protocol {

/// Copies a text field.
std::string text(capnp::Text::Reader reader);
/// Copies a data field.
std::string bytes(capnp::Data::Reader reader);
/// Returns a view of the same bytes.
capnp::Data::Reader toData(std::string_view view);
/// Serializes a message in the packed encoding.
std::string pack(capnp::MessageBuilder& message);

void writeSessionOpen(wire::SessionOpen::Builder to, const SessionOpen& open);
SessionOpen readSessionOpen(wire::SessionOpen::Reader in);
void writeWorker(wire::WorkerDeclared::Builder to, const WorkerDeclared& worker);
WorkerDeclared readWorker(wire::WorkerDeclared::Reader in);
void writeActionEnd(wire::ActionEnd::Builder to, const ActionEnd& end);
ActionEnd readActionEnd(wire::ActionEnd::Reader in);
void writePublish(wire::ConfigPublish::Builder to, const ConfigPublish& publish);
ConfigPublish readPublish(wire::ConfigPublish::Reader in);

/// Maximum number of words (8 bytes each) that a reader may traverse in a message. Limits the work that malicious input can cause.
constexpr uint64_t maxTraversalWords = 64 * 1024 * 1024;

/// Decodes `bytes` and passes the root struct to `read`.
/// @return result of `read`, or `RecordError::Truncated` if Cap'n Proto throws, as it does for incomplete or invalid messages.
template <class Wire, class Value>
Result<Value, RecordError> unpack(std::string_view bytes, Result<Value, RecordError> (*read)(typename Wire::Reader))
{
    std::optional<Result<Value, RecordError>> result;
    auto exception = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(toData(bytes));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxTraversalWords;
        capnp::PackedMessageReader message(stream, options);
        result = read(message.getRoot<Wire>());
    });
    if (exception != nullptr || !result)
        return RecordError::Truncated;
    return std::move(*result);
}

} // namespace comfreypier::protocol
