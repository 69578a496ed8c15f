/// @file
/// Behaviours of scripted servers, and what they write.
#ifndef MINTKNOT_RELAY_TESTS_SERVER_SCRIPTS_HPP
#define MINTKNOT_RELAY_TESTS_SERVER_SCRIPTS_HPP

#include "scripted_server.hpp"

#include <string>

namespace mintknot::relay::tests {

/// @return an answer to the request that carries the server's signature.
std::string answer_to(
    const received_request& to, const std::string& body, int status = 200);
/// @return an answer that states that the request has not run.
std::string rejection_of(const received_request& to);

/// @return a prefill engine that answers with the handle of a result.
script good_prefill(const std::string& handle);
/// @return a decode engine that streams the events 1 to 3, or those after the
/// event to resume from.
script good_decode();
/// @return the head of an answer that has neither a length nor chunks.
std::string
head_without_length(const received_request& to, const std::string& type);
/// @return the text of the event with the given ID.
std::string event_text(int id);
/// @return the head of an event stream that answers the request.
std::string stream_head(const received_request& to);
/// @return the events that good_decode() streams.
std::string all_events();

/// @return a server that rejects each request.
script rejecting();
/// @return a server that answers with the ID of each request.
script echo_id();
/// @return a server that never answers.
script silent();

} // namespace mintknot::relay::tests

#endif
