/// @file
/// Whether the end of a connection is the end of the answer on it.

#include <mintknot/policy/server_rest.hpp>
#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

namespace {

/// A sound server may be silent for a second or so.
constexpr int max_end_checks = 6;

} // namespace

bool exchange::may_be_cut(
    const http1::response_head& answer, const std::string& server_id) const {
    const traffic::server* server =
        traffic::find(context_.state.servers, server_id);
    return answer.body == http1::framing::close && server != nullptr &&
           !traffic::leaves(context_.state.servers, *server) &&
           !policy::rests(
               context_.state.health.resting, server_id, context_.loop.now());
}

void exchange::check_end(
    const std::string& server_id, std::function<void(bool whole)> then) {
    const traffic::server* server =
        traffic::find(context_.state.servers, server_id);
    end_checks_left_ = max_end_checks;
    start_end_check(
        {server->id, server->where, request_.terms.id}, std::move(then));
}

void exchange::start_end_check(
    const upstream::target& server, std::function<void(bool whole)> then) {
    --end_checks_left_;
    end_check_ =
        std::make_unique<liveness_check>(context_.loop, context_.pool, server);
    end_check_->start(
        context_.protocol.health_request(service_.health_path, server.id),
        first_connection::any,
        [this, server, then = std::move(then)](liveness_verdict found) {
            // The check, which is running now, must outlive this handler.
            context_.loop.post(
                [check = std::shared_ptr(std::move(end_check_))] {});
            if (found == liveness_verdict::unknown && end_checks_left_ > 0)
                start_end_check(server, then);
            else
                finish_end_check(server.id, found, then);
        });
}

void exchange::finish_end_check(
    const std::string& server_id, liveness_verdict found,
    const std::function<void(bool whole)>& then) {
    const bool whole = found == liveness_verdict::alive;
    if (!whole)
        context_.log.write(
            "answer_cut", {{"request", request_.terms.id},
                           {"server", server_id},
                           {"ended", found == liveness_verdict::ended}});
    then(whole);
}

} // namespace mintknot::relay
