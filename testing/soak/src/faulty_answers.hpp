/// @file
/// Answers of a server in trouble, as bytes on the wire.
#ifndef MINTKNOT_SOAK_FAULTY_ANSWERS_HPP
#define MINTKNOT_SOAK_FAULTY_ANSWERS_HPP

#include <optional>
#include <string>

namespace mintknot::soak {

/// Why an answer must not reach a caller as a whole one.
enum class answer_fault {
    status_zero,     ///< A status that HTTP does not know, then an answer.
    status_beyond,   ///< The same, above those that it knows.
    no_seal,         ///< A long success without the engine's seal.
    content_coding,  ///< A coding that nobody asked for.
    blank_in_name,   ///< A field name with a blank.
    control_in_name, ///< A field name with a control byte.
    reset,           ///< Without a length, and reset behind its first part.
    endless_no_seal, ///< A success without a seal and without an end.
    endless_head,    ///< A field without an end.
    endless_event,   ///< A stream with an event that has no end; else no seal.
};

/// What follows the text of a faulty answer.
enum class answer_end { open, reset, never };

struct faulty_answer {
    std::string text;
    answer_end ends = answer_end::open;
    std::string repeated; ///< With `never`.
};

/// @return the fault of the answer to a request; nothing: it is sound.
std::optional<answer_fault> fault_of(const std::string& request_id);

/// @param stream whether a stream was asked for.
faulty_answer faulty_answer_to(
    const std::string& request_id, answer_fault fault, bool stream);

} // namespace mintknot::soak

#endif
