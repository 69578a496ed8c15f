/// @file
/// Ports that nobody uses.
#ifndef MINTKNOT_HARNESS_FREE_PORTS_HPP
#define MINTKNOT_HARNESS_FREE_PORTS_HPP

#include <cstdint>

namespace mintknot::harness {

/// @return a loopback port that is free for TCP and UDP. Ports are handed out
/// from below the range of the system, in turns that differ by process, so
/// that neither outgoing connections nor other tests take them.
std::uint16_t free_port();

} // namespace mintknot::harness

#endif
