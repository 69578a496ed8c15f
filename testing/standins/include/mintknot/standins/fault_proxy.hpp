/// @file
/// TCP links that can be made to fail.
#ifndef MINTKNOT_STANDINS_FAULT_PROXY_HPP
#define MINTKNOT_STANDINS_FAULT_PROXY_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace mintknot::standins {

enum class link_mode {
    pass,
    delay,       ///< Every piece is late.
    stall,       ///< Nothing passes after so many bytes of an answer.
    cut,         ///< Connections are closed, and new ones at once.
    drop_answer, ///< Requests pass; connections close before the answer.
};

struct link_fault {
    link_mode mode = link_mode::pass;
    base::milliseconds delay{0};
    std::uint64_t after_bytes = 0; ///< Of the answer, on each connection.
};

/// Forwards TCP connections on named links. One thread serves all of them.
/// Thread: all functions may be called from any thread.
class fault_proxy {
public:
    fault_proxy();
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Opens a listener on loopback. @return its port, or Unavailable.
    absl::StatusOr<std::uint16_t>
    add_link(const std::string& name, const base::address& to);

    /// Applies to open and new connections. @return NotFound for an unknown
    /// link.
    absl::Status set_fault(const std::string& name, const link_fault& fault);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::standins

#endif
