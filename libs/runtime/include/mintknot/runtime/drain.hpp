/// @file
/// The steps of a planned stop.
#ifndef MINTKNOT_RUNTIME_DRAIN_HPP
#define MINTKNOT_RUNTIME_DRAIN_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>

namespace mintknot::runtime {

/// What an instance does while it stops. Later steps include earlier ones.
enum class drain_step {
    serve,      ///< Not ready; still accepts and answers everything.
    close_idle, ///< Also closes connections that carry no request.
    leave,      ///< Nothing is left, or the time is up: end now.
};

/// @param since how long ago the stop began.
/// @param grace after which the process is killed.
/// @param busy requests that are being read or answered.
drain_step next_step(
    base::milliseconds since, base::milliseconds grace, std::size_t busy);

} // namespace mintknot::runtime

#endif
