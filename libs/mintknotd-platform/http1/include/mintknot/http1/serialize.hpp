/// @file
/// Writing HTTP/1.1 messages.
#ifndef MINTKNOT_HTTP1_SERIALIZE_HPP
#define MINTKNOT_HTTP1_SERIALIZE_HPP

#include <mintknot/http1/message.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace mintknot::http1 {

/// @return the head of a request with a body of that length, ready to be sent.
/// The framing fields are written here; the list must hold none.
std::string serialize_head(const request_head& head, std::size_t body_bytes);

/// @return the same with the body behind it.
std::string serialize(const request_head& head, std::string_view body);

/// @return the head of an answer, framed as `head.body` says. The list must
/// hold no framing fields.
std::string serialize(const response_head& head);

/// @return one chunk of a chunked body. Precondition: data is not empty.
std::string chunk(std::string_view data);

/// The end of a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @return the usual phrase for a status, such as "Not Found".
std::string_view reason_phrase(int status) noexcept;

/// @return a whole answer with a plain-text body.
std::string text_response(
    int status, const field_list& fields, std::string_view body,
    bool keep_alive);

} // namespace mintknot::http1

#endif
