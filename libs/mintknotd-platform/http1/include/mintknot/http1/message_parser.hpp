/// @file
/// Incremental parsing of one HTTP/1.1 message, without I/O.
#ifndef MINTKNOT_HTTP1_MESSAGE_PARSER_HPP
#define MINTKNOT_HTTP1_MESSAGE_PARSER_HPP

#include <mintknot/http1/message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mintknot::http1 {

/// Bounds of a message; a larger one is a parse_error.
struct message_limits {
    /// Of the head, of the head of each chunk, and of all trailers with the
    /// head of the last chunk.
    std::size_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
};

/// Why a message could not be parsed.
enum class parse_error {
    none,
    header_too_large,
    body_too_large,
    malformed,
    cut_off, ///< The connection ended within the message.
};

/// Receives the body piece by piece.
using body_sink = std::function<void(std::string_view piece)>;

/// Parses one request. Ambiguous framing (two lengths that differ, a length
/// beside chunks, bare line feeds, a transfer coding other than chunked) is
/// malformed. Trailers are dropped.
///
/// @code
/// request_parser parser(limits);
/// std::size_t used = parser.put(bytes, sink); // call again with the rest
/// if (parser.has_head()) route(parser.head());
/// @endcode
class request_parser {
public:
    explicit request_parser(const message_limits& limits);
    ~request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// Consumes bytes. @return how many; offer the rest again with more
    /// behind it. Bytes after the end of the message are never consumed; of
    /// the message itself, no more than message_limits::header_bytes are left.
    std::size_t put(std::string_view bytes, const body_sink& on_body);

    bool has_head() const noexcept;
    bool done() const noexcept;
    parse_error error() const noexcept;
    /// Precondition: has_head().
    request_head& head();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Parses one answer; informational answers (1xx) are messages of their own.
/// Framing is as strict as for requests, and trailers are dropped.
class response_parser {
public:
    /// @param no_body the answer belongs to a HEAD request.
    response_parser(const message_limits& limits, bool no_body);
    ~response_parser();
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    /// As request_parser::put.
    std::size_t put(std::string_view bytes, const body_sink& on_body);
    /// Tells that the connection has ended in an orderly way. An answer that
    /// is framed by the end of its connection is done then.
    void put_end();

    bool has_head() const noexcept;
    bool done() const noexcept;
    parse_error error() const noexcept;
    /// Precondition: has_head().
    response_head& head();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::http1

#endif
