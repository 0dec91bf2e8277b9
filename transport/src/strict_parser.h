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

/// Parser that leaves trailers out and counts the fields of the head. Unlike that of Beast it takes any bytes in any pieces.
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
        if (this->inChunkHead && !this->chunkHeadEnded && isUnparsableChunkHead({ static_cast<const char*>(buffer.data()), buffer.size() })) {
            error = http::error::need_more;
            return 0;
        }
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
    /// Returns whether Beast's parser, which has seen the first three bytes alone, would end the process: after the size of a last chunk that
    /// is the first one, it asserts that five bytes are there.
    static bool isUnparsableChunkHead(std::string_view bytes) { return bytes.size() == 4 && bytes.starts_with("0\r\n"); }

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
    bool chunkHeadEnded = false; ///< Whether the last call of `put` parsed the end of a chunk's head.
};

} // namespace comfreypier::transport
