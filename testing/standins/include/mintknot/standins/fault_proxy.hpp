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
    delay,        ///< Every piece is late.
    stall,        ///< Nothing passes after so many bytes of an answer.
    cut,          ///< Connections are closed, and new ones at once.
    reset,        ///< The same by a reset, so that unread bytes are lost.
    silence,      ///< Nothing passes one way or both; connections stay open.
    drop_answer,  ///< Requests pass; connections close before the answer.
    partition,    ///< Nothing passes, and new connections are not answered.
    reset_refuse, ///< Open connections are reset, new ones are refused.
    refuse_new,   ///< Open connections pass, new ones are refused.
};

/// Which way a silence holds bytes back.
enum class silent_way { to_server, to_caller, both };

struct link_fault {
    link_mode mode = link_mode::pass;
    base::milliseconds delay{0};
    std::uint64_t after_bytes = 0; ///< Of the answer, on each connection.
    silent_way way = silent_way::both;
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

    /// New connections on the link go to another address from now on; open
    /// ones stay as they are. @return NotFound for an unknown link.
    absl::Status retarget(const std::string& name, const base::address& to);

    /// Applies to open and new connections. What a silence or a stall has held
    /// back goes on after it. @return NotFound for an unknown link.
    absl::Status set_fault(const std::string& name, const link_fault& fault);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::standins

#endif
