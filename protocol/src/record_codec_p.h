/// Shared between the record and the snapshot codec: Cap'n Proto conversions.
#pragma once

#include "protocol_p.h"
#include "record.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

namespace comfreypier::protocol {

std::string text(capnp::Text::Reader reader);
std::string bytes(capnp::Data::Reader reader);
capnp::Data::Reader toData(std::string_view view);
/// Packs a built message.
std::string pack(capnp::MessageBuilder& message);

void writeSessionOpen(wire::SessionOpen::Builder to, const SessionOpen& open);
SessionOpen readSessionOpen(wire::SessionOpen::Reader in);
void writeWorker(wire::WorkerDeclared::Builder to, const WorkerDeclared& worker);
WorkerDeclared readWorker(wire::WorkerDeclared::Reader in);
void writeActionEnd(wire::ActionEnd::Builder to, const ActionEnd& end);
ActionEnd readActionEnd(wire::ActionEnd::Reader in);
void writePublish(wire::ConfigPublish::Builder to, const ConfigPublish& publish);
ConfigPublish readPublish(wire::ConfigPublish::Reader in);

/// Words of a message that a reader may follow; bounds the work that hostile bytes can cause.
constexpr uint64_t traversalWordLimit = 64 * 1024 * 1024;

/// Unpacks `bytes` and hands the root struct to `read`. Turns Cap'n Proto's exceptions into errors.
template <class Wire, class Value>
Result<Value, RecordError> unpack(std::string_view bytes, Result<Value, RecordError> (*read)(typename Wire::Reader))
{
    std::optional<Result<Value, RecordError>> result;
    auto exception = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream(toData(bytes));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalWordLimit;
        capnp::PackedMessageReader message(stream, options);
        result = read(message.getRoot<Wire>());
    });
    if (exception != nullptr || !result)
        return RecordError::Truncated;
    return std::move(*result);
}

} // namespace comfreypier::protocol
