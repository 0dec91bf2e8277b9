/// Parser of answers, which decides what counts as one.
#pragma once

#include "strict_parser.h"

namespace comfreypier::transport {

/// Maximum size of an answer's head, whatever the pieces in which it arrives.
constexpr uint32_t maxAnswerHeadBytes = defaultMaxHeaderBytes;

/// Parser that also refuses heads beyond `maxAnswerHeadBytes`, statuses that HTTP does not have, and bodies in codings that this project does not know.
class ResponseParser : public StrictParser<false, http::buffer_body> {
public:
    ResponseParser() { this->header_limit(maxAnswerHeadBytes); }

    /// Hides `StrictParser::put`. Fails with `bad_status` if the status is not from 100 to 599, and with `bad_transfer_encoding` if there are
    /// other codings than chunked.
    size_t put(asio::const_buffer buffer, ErrorCode& error)
    {
        bool inHead = !this->is_header_done();
        auto used = StrictParser::put(buffer, error);
        // The limit of Beast's parser holds for each piece of the head.
        this->headBytes += inHead ? used : 0;
        if (inHead && this->headBytes > maxAnswerHeadBytes && (!error || error == http::error::need_more))
            error = http::error::header_limit;
        if (error || !inHead || !this->is_header_done())
            return used;
        if (http::to_status_class(this->get().result_int()) == http::status_class::unknown)
            error = http::error::bad_status;
        else if (this->get().count(http::field::transfer_encoding) > 0 && !isOnlyCodingChunked(this->get(), this->get().version()))
            error = http::error::bad_transfer_encoding;
        return used;
    }

    /// Returns the part of an answer for which `put` failed: the status, or the line that is not valid.
    /// @param unparsed bytes that the parser has not used.
    std::string faultyPart(const ErrorCode& error, std::string_view unparsed) const
    {
        if (error == http::error::bad_status && this->is_header_done())
            return std::to_string(this->get().result_int());
        if (error == http::error::bad_transfer_encoding && this->is_header_done())
            return std::string(this->get()[http::field::transfer_encoding]);
        return std::string(unparsed.substr(0, unparsed.find_first_of("\r\n", 1)));
    }

private:
    uint64_t headBytes = 0; ///< Parsed so far.
};

} // namespace comfreypier::transport
