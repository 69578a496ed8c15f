/// @file
/// What a crowd of clients sends that does not keep to the limits.
#ifndef MINTKNOT_CROWDS_CROWD_PLAN_HPP
#define MINTKNOT_CROWDS_CROWD_PLAN_HPP

#include <cstddef>
#include <random>
#include <string>

namespace mintknot::crowds {

/// The bounds of the configuration in force in each trial.
inline constexpr std::size_t max_header_bytes = 16384;
inline constexpr std::size_t max_body_bytes = 4194304;

/// A crowd of clients that all send the same, each on its own connection, and
/// leave their connections open behind it.
struct crowd_plan {
    std::size_t clients = 0;
    std::string opening;     ///< Sent first.
    std::string repeated;    ///< Sent behind it, `repeats` times.
    std::size_t repeats = 0; ///< Bounds what a client sends.
    std::string ending;      ///< Sent last.
    bool reads_answers = true;
};

/// @return the plan, with requests to another path of a service.
crowd_plan sent_to(crowd_plan plan, const std::string& path);

/// @return one of the plans below, to no route and with fewer clients.
crowd_plan random_crowd(std::mt19937_64& random);

/// Fields of trailers that come without end behind a short chunked body.
crowd_plan trailers_without_end();
/// One line of a trailer that comes without end.
crowd_plan trailer_line_without_end();
/// Many trailers, but for their end.
crowd_plan unfinished_trailers();
/// The extension of one chunk that comes without end.
crowd_plan chunk_extension_without_end();
/// Whole bodies but for their last bytes, in chunks of 1 MiB.
crowd_plan unfinished_bodies_in_large_chunks();
/// The same in chunks of one byte.
crowd_plan unfinished_bodies_in_small_chunks();
/// Bodies with a length, but for their last byte.
crowd_plan unfinished_bodies_with_a_length();
/// Bodies with a length, but for a good part of them.
crowd_plan half_bodies_with_a_length();
/// Many clients that all send at the same time, but for the end of a body.
crowd_plan many_senders_at_once();
/// Whole bodies to no route, behind which the connections rest.
crowd_plan resting_connections_behind_bodies();
/// Chunks that come without end.
crowd_plan chunks_without_end();
/// Bodies whose length is far over the limit, and which come all the same.
crowd_plan announced_bodies_over_the_limit();
/// Pipelined requests to no route, whose answers are never read.
crowd_plan pipelined_requests_without_reading();
/// One request, and bytes without end behind it while it is answered.
crowd_plan bytes_behind_a_request();
/// One line of a head that comes without end.
crowd_plan header_line_without_end();
/// Heads just short of the limit, but for their end.
crowd_plan unfinished_heads();
/// Heads of as many fields as the limit allows, each with an unfinished body.
crowd_plan heads_of_short_fields();
/// More connections than an instance takes, each with the first byte of a body.
crowd_plan first_bytes_of_bodies();

} // namespace mintknot::crowds

#endif
