/// @file
/// How long an idle connection may be kept.
#ifndef MINTKNOT_UPSTREAM_KEEP_ALIVE_HPP
#define MINTKNOT_UPSTREAM_KEEP_ALIVE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/http1/message.hpp>

namespace mintknot::upstream {

/// @return how long a connection may be kept after an answer, by its Keep-Alive
/// field; zero: not at all.
base::milliseconds idle_time(const http1::response_head& head);

} // namespace mintknot::upstream

#endif
