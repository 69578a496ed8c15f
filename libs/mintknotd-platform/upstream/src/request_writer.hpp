/// @file
/// Writing of requests to backend servers.
#ifndef MINTKNOT_UPSTREAM_REQUEST_WRITER_HPP
#define MINTKNOT_UPSTREAM_REQUEST_WRITER_HPP

#include <mintknot/event/connection.hpp>
#include <mintknot/upstream/call.hpp>

namespace mintknot::upstream {

/// Writes a request whole. A long body is shared with the connection, not
/// copied, until it is written.
void write_request(event::connection& link, const call_request& request);

} // namespace mintknot::upstream

#endif
