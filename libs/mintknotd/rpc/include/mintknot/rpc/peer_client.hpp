/// @file
/// Calls to other instances.
#ifndef MINTKNOT_RPC_PEER_CLIENT_HPP
#define MINTKNOT_RPC_PEER_CLIENT_HPP

#include <mintknot/rpc/peer_messages.hpp>

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <vector>

namespace mintknot::rpc {

/// Keeps one channel for each address. Calls block, with a timeout.
/// Thread: all functions may be called from any thread.
class peer_client {
public:
    peer_client();
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// @return Unavailable if the scheduler is out of reach.
    absl::StatusOr<placed_request> place(
        const base::address& where, const routing::place_query& query,
        base::milliseconds timeout);

    absl::Status
    report(const base::address& where, const progress_batch& batch);

    /// Reads a stream that another instance holds, to its end.
    absl::Status attach(
        const base::address& where, const attach_request& request,
        const attach_sink& sink);

    /// @return the decision records as a JSON array.
    absl::StatusOr<std::string>
    explain(const base::address& where, const std::string& request);

    absl::StatusOr<config_page>
    changes_since(const base::address& where, std::uint64_t revision);

    /// @return those of the attempts that the instance does not know.
    absl::StatusOr<std::vector<std::string>> check_streams(
        const base::address& where, const std::vector<std::string>& attempts);

    /// @return a request's stream on an engine that the instance watches, or
    /// NotFound.
    absl::StatusOr<found_stream>
    find_stream(const base::address& where, const std::string& request);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::rpc

#endif
