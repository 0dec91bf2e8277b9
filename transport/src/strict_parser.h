/// Parser of messages, the base of those for requests and answers.
#pragma once

#include "transport_p.h"

#include <algorithm>

namespace comfreypier::transport {

/// Returns whether every reader finds the end of a message with a transfer coding at the same place: its only coding is chunked.
/// @param version of HTTP, 10 or 11. Readers of 1.0 know no codings.
inline bool isOnlyCodingChunked(const http::fields& fields, unsigned version)
{
    return version == 11 && fields.count(http::field::transfer_encoding) == 1 && beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

/// Parser that leaves trailers out and counts the fields of the head.
template <bool isRequest, class Body>
class StrictParser : public http::parser<isRequest, Body> {
public:
    /// Returns the memory of the fields in bytes, beside that of the buffer.
    /// @param buffered bytes that are not parsed yet; each of their lines may be a field.
    uint64_t fieldBytes(std::string_view buffered) const
    {
        auto fields = this->fieldCount;
        if (!this->is_header_done())
            fields += static_cast<uint64_t>(std::count(buffered.begin(), buffered.end(), '\n'));
        return fields * headerFieldBytes;
    }

    /// Hides `basic_parser::put`, which parses one part of the message: lines of the head, a body, or the head of a chunk. That of the
    /// last chunk includes the trailers.
    size_t put(asio::const_buffer buffer, ErrorCode& error)
    {
        bool inHead = !this->is_header_done();
        this->chunkHeadEnded = false;
        auto used = http::parser<isRequest, Body>::put(buffer, error);
        // A body takes any bytes, so that only the head of a chunk can be incomplete.
        this->inChunkHead = !inHead && (this->chunkHeadEnded || error == http::error::need_more);
        return used;
    }

protected:
    /// Whether the last call of `put` parsed the head of a chunk or a part of it.
    bool inChunkHead = false;

private:
    void on_field_impl(http::field field, beast::string_view name, beast::string_view value, ErrorCode&) override
    {
        if (this->is_header_done())
            return;
        this->fieldCount++;
        this->get().insert(field, name, value);
    }

    void on_chunk_header_impl(uint64_t, beast::string_view, ErrorCode& error) override
    {
        error = {};
        this->chunkHeadEnded = true;
    }

    uint64_t fieldCount = 0; ///< Fields of the head.
    bool chunkHeadEnded = false;
};

} // namespace comfreypier::transport
