#include "end_check.hpp"

#include <utility>

namespace mintknot::relay {

namespace {

/// A sound server may be silent for a second or so.
constexpr base::milliseconds max_wait{1800};
/// Each check is on a new connection but the first: a kept one may be dead.
constexpr std::size_t max_checks = 3;
constexpr base::milliseconds check_interval = max_wait / max_checks;

} // namespace

end_check::end_check(
    event::loop& owner, upstream::connection_pool& pool,
    upstream::target server, std::optional<http1::request_head> request)
    : owner_(owner)
    , pool_(pool)
    , server_(std::move(server))
    , request_(std::move(request))
    , timer_(owner) {}

void end_check::start(std::function<void(liveness_verdict)> then) {
    then_ = std::move(then);
    answers_ = pool_.watch_answers(
        server_.id, [this] { finish(liveness_verdict::alive); });
    ask();
}

void end_check::ask() {
    if (checks_.size() == max_checks) {
        finish(liveness_verdict::unknown);
        return;
    }
    timer_.start(check_interval, [this] { ask(); });
    const auto first =
        checks_.empty() ? first_connection::any : first_connection::fresh;
    liveness_check& check = *checks_.emplace_back(
        std::make_unique<liveness_check>(owner_, pool_, server_));
    check.start(
        request_, first, [this](liveness_verdict found) { on_verdict(found); },
        max_wait);
}

void end_check::on_verdict(liveness_verdict found) {
    if (found != liveness_verdict::unknown)
        finish(found);
}

void end_check::finish(liveness_verdict found) {
    timer_.stop();
    answers_.reset();
    // One of them may be running: let them go after it.
    owner_.post([done = std::make_shared<decltype(checks_)>(
                     std::exchange(checks_, {}))] {});
    // The handler may destroy this object.
    if (const auto then = std::exchange(then_, nullptr))
        then(found);
}

} // namespace mintknot::relay
