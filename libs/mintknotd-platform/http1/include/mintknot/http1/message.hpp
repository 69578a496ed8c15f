/// @file
/// Heads of HTTP/1.1 messages as plain structs.
#ifndef MINTKNOT_HTTP1_MESSAGE_HPP
#define MINTKNOT_HTTP1_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::http1 {

/// One header field, spelled as it was received.
struct field {
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were received.
using field_list = std::vector<field>;

/// How the end of a message body is found.
enum class framing {
    none,    ///< The message has no body.
    length,  ///< Content-Length.
    chunked, ///< Transfer-Encoding: chunked.
    close,   ///< The body ends with the connection (answers only).
};

/// First line and header fields of a request.
struct request_head {
    std::string method;
    std::string target; ///< Exactly as received.
    int minor_version = 1;
    field_list fields;
    framing body = framing::none;
    bool keep_alive = true;
    bool expects_continue = false;
};

/// First line and header fields of an answer.
struct response_head {
    int status = 0;
    std::string reason;
    int minor_version = 1;
    field_list fields;
    framing body = framing::none;
    std::uint64_t length = 0; ///< With framing::length.
    bool keep_alive = true;
};

/// @return true if two field names are equal; upper and lower case are alike.
bool same_name(std::string_view left, std::string_view right) noexcept;

/// @return the value of the first field of that name, or null. The pointer
/// lives as long as the list is not changed.
const std::string* find_field(const field_list& fields, std::string_view name);

/// @return the value as a whole number, or nothing if the field is missing or
/// is no number.
std::optional<std::uint64_t>
find_number(const field_list& fields, std::string_view name);

/// @return about how much memory the fields take, which is many times their
/// text if they are short.
std::size_t held_bytes(const field_list& fields) noexcept;

/// @return true if the text may be the value of a field: without control
/// characters, with which a line could be added to a message.
bool is_field_text(std::string_view text) noexcept;

/// Removes all fields of that name.
void erase_fields(field_list& fields, std::string_view name);

/// Removes the fields that concern one connection only: Connection and what
/// it names, Keep-Alive, Transfer-Encoding, Content-Length and their kin.
void erase_hop_fields(field_list& fields);

} // namespace mintknot::http1

#endif
