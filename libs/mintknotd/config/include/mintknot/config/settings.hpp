/// @file
/// The settings of one instance: a JSON file, checked whole at start.
#ifndef MINTKNOT_CONFIG_SETTINGS_HPP
#define MINTKNOT_CONFIG_SETTINGS_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::config {

/// PEM files; both empty: plain HTTP.
struct tls_settings {
    std::string certificate_file;
    std::string private_key_file;
};

struct caller_settings {
    base::address listen;
    tls_settings tls;
    std::size_t most_open_requests = 512;
    std::size_t most_body_bytes = 4U * 1024 * 1024;
    /// What all requests that are being read or answered may hold together.
    std::size_t most_held_bytes = 64U * 1024 * 1024;
    /// How long a broken stream may be resumed before it is cancelled.
    base::milliseconds resume_grace{2000};
};

struct operator_key {
    std::string name;
    std::string key_digest; ///< SHA-256, hexadecimal.
};

struct operator_settings {
    base::address listen;
    tls_settings tls;
    std::vector<operator_key> keys;
};

/// Between instances.
struct peer_settings {
    base::address rpc;                ///< gRPC, TCP.
    base::address heartbeat;          ///< Datagrams, UDP.
    std::vector<base::address> seeds; ///< Heartbeat addresses of others.
    base::milliseconds heartbeat_interval{500};
    /// Silence after which an instance counts as gone.
    base::milliseconds gone_after{3000};
};

struct platform_settings {
    base::address where;
    base::milliseconds timeout{1000};
    base::milliseconds poll_interval{1000};
    std::size_t log_kept = 10000; ///< Changes kept in the table.
    /// How long claims of non-repeatable calls, and their answers, are kept.
    std::chrono::hours claims_kept{168};
};

struct engine_settings {
    base::milliseconds report_interval{200};
    /// Longest silence of a stream or a transfer before it counts as stalled.
    base::milliseconds idle_timeout{3000};
    /// Streams without a reader and a live holder are cancelled after this.
    base::milliseconds orphan_grace{5000};
};

struct settings {
    std::string instance;
    std::string data_centre;
    std::string log_level = "info";
    caller_settings caller;
    operator_settings operators;
    peer_settings peers;
    platform_settings platform;
    engine_settings engines;
    /// How long after SIGTERM new requests are still taken, for balancers
    /// that notice late.
    base::milliseconds stop_accept{0};
    /// Longest wait for open requests after SIGTERM.
    base::milliseconds stop_deadline{30000};
    /// Decision records kept in memory.
    std::size_t decisions_kept = 20000;
};

/// @return the settings, or one line for each wrong field.
absl::StatusOr<settings> parse_settings(std::string_view text);

/// @return NotFound if the file cannot be read.
absl::StatusOr<settings> load_settings(const std::string& file);

} // namespace mintknot::config

#endif
