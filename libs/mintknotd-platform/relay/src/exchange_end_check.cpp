/// @file
/// Whether the end of a connection is the end of the answer on it.

#include "end_check.hpp"

#include <mintknot/policy/server_rest.hpp>
#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

void exchange::check_end(
    const upstream::target& server, std::function<void(bool whole)> then) {
    // A server that asks for rest is to get no calls.
    std::optional<http1::request_head> request;
    if (!policy::rests(
            context_.state.health.resting, server.id, context_.loop.now()))
        request =
            context_.protocol.health_request(service_.health_path, server.id);
    end_check_ = std::make_unique<end_check>(
        context_.loop, context_.pool, server, std::move(request));
    const base::steady_time began = context_.loop.now();
    end_check_->start([this, server, began,
                       then = std::move(then)](liveness_verdict found) {
        // The check, which is running now, must outlive this handler.
        context_.loop.post([check = std::shared_ptr(std::move(end_check_))] {});
        const bool whole = found == liveness_verdict::alive;
        const auto waited = std::chrono::duration_cast<base::milliseconds>(
            context_.loop.now() - began);
        if (!whole)
            context_.log.write(
                "answer_cut", {{"request", request_.terms.id},
                               {"server", server.id},
                               {"ended", found == liveness_verdict::ended},
                               {"checked_ms", waited.count()}});
        then(whole);
    });
}

} // namespace mintknot::relay
