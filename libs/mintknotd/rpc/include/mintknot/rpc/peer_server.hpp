/// @file
/// Answers calls of other instances.
#ifndef MINTKNOT_RPC_PEER_SERVER_HPP
#define MINTKNOT_RPC_PEER_SERVER_HPP

#include <mintknot/rpc/peer_messages.hpp>

#include <absl/status/status.h>

#include <memory>
#include <string>
#include <vector>

namespace mintknot::rpc {

/// What the rest of the program does for peers. Called from gRPC's threads.
class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    /// Must not block; answers later by the callback.
    virtual void
    place(const routing::place_query& query, placed_callback done) = 0;
    virtual void report(progress_batch batch) = 0;
    /// Blocks until the stream has ended or the sink leaves it.
    virtual void
    attach(const attach_request& request, const attach_sink& sink) = 0;
    /// @return decision records as a JSON array.
    virtual std::string explain(const std::string& request) = 0;
    virtual config_page changes_since(std::uint64_t revision) = 0;
    virtual std::vector<std::string>
    unknown_streams(const std::vector<std::string>& attempts) = 0;
    virtual std::optional<found_stream>
    find_stream(const std::string& request) = 0;
};

/// Lifetime: the handler must outlive the server.
class peer_server {
public:
    explicit peer_server(peer_handler& handler);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// @return Unavailable if the address is taken.
    absl::Status start(const base::address& where);
    /// @return the bound port.
    int port() const;
    /// Ends open calls after the grace.
    void stop(base::milliseconds grace);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::rpc

#endif
