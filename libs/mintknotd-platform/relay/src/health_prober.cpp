#include <mintknot/relay/health_prober.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// How long before the end of the avoidance time a server is checked.
constexpr base::milliseconds check_lead_time{250};
constexpr base::milliseconds check_timeout{200};
constexpr int status_ok = 200;

} // namespace

struct health_prober::state {
    explicit state(event::loop& owner)
        : timer(owner) {}
    event::timer timer;
    std::unique_ptr<upstream::call> call;
    bool healthy = false;
};

health_prober::health_prober(
    event::loop& owner, upstream::connection_pool& pool,
    const dialect& protocol, logging::line_log& log,
    std::function<std::optional<health_check>(const std::string&)> find_check,
    std::function<void(const std::string&, bool)> on_result)
    : owner_(owner)
    , pool_(pool)
    , protocol_(protocol)
    , log_(log)
    , find_check_(std::move(find_check))
    , on_result_(std::move(on_result)) {}

health_prober::~health_prober() = default;

void health_prober::watch(const std::string& server_id) {
    if (watched_.contains(server_id))
        return;
    watched_.emplace(server_id, std::make_unique<state>(owner_));
    schedule_check(server_id);
}

void health_prober::schedule_check(const std::string& id) {
    const auto next_check = find_check_(id);
    if (!next_check) {
        watched_.erase(id);
        return;
    }
    watched_.at(id)->timer.start(
        std::max(next_check->due - check_lead_time, next_check->not_before),
        [this, id] { run_check(id); });
}

void health_prober::run_check(const std::string& id) {
    const auto next_check = find_check_(id);
    if (!next_check) {
        watched_.erase(id);
        return;
    }
    state& current = *watched_.at(id);
    if (next_check->not_before > owner_.now()) {
        schedule_check(id);
        return;
    }
    current.healthy = false;
    current.timer.start(check_timeout, [this, id] { finish_check(id, false); });
    current.call = upstream::call::start(
        pool_, next_check->server,
        {protocol_.health_request(next_check->path, id), nullptr}, {},
        {[this](const http1::response_head& head) {
             return answers_own_call(protocol_, head);
         },
         [this, &current, id](http1::response_head& head) {
             current.healthy = head.status == status_ok &&
                               protocol_.read_answer(head).server_id == id;
         },
         [](std::string_view) {},
         [this, &current, id] { finish_check(id, current.healthy); },
         [this, id](upstream::call_failure) { finish_check(id, false); }});
}

void health_prober::finish_check(const std::string& id, bool passed) {
    const auto found = watched_.find(id);
    if (found == watched_.end())
        return;
    found->second->timer.stop();
    found->second->call.reset();
    log_.write("health_check", {{"server", id}, {"passed", passed}});
    on_result_(id, passed);
    if (!passed) {
        schedule_check(id);
        return;
    }
    // The state owns the handler that is running, so it is erased later. The
    // server may be avoided again by then.
    owner_.post([this, id] {
        watched_.erase(id);
        const auto again = find_check_(id);
        if (again && again->due > owner_.now())
            watch(id);
    });
}

} // namespace mintknot::relay
