#include <mintknot/relay/health_prober.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// A check is made this long before the server would be used again.
constexpr base::milliseconds ahead{250};
constexpr base::milliseconds check_time{200};
constexpr int status_ok = 200;

} // namespace

struct health_prober::state {
    explicit state(event::loop& owner)
        : timer(owner) {}
    event::timer timer;
    std::unique_ptr<upstream::call> call;
    bool good = false;
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
    plan(server_id);
}

void health_prober::plan(const std::string& id) {
    const auto wanted = find_check_(id);
    if (!wanted) {
        watched_.erase(id);
        return;
    }
    watched_.at(id)->timer.start(
        std::max(wanted->due - ahead, wanted->not_before),
        [this, id] { check(id); });
}

void health_prober::check(const std::string& id) {
    const auto wanted = find_check_(id);
    if (!wanted) {
        watched_.erase(id);
        return;
    }
    state& at = *watched_.at(id);
    if (wanted->not_before > owner_.now()) {
        plan(id);
        return;
    }
    at.good = false;
    at.timer.start(check_time, [this, id] { finish(id, false); });
    at.call = upstream::call::start(
        pool_, wanted->server, {protocol_.health(wanted->path, id), nullptr},
        {},
        {nullptr,
         [this, &at, id](http1::response_head& head) {
             at.good = head.status == status_ok &&
                       protocol_.read_answer(head).server_id == id;
         },
         [](std::string_view) {}, [this, &at, id] { finish(id, at.good); },
         [this, id](upstream::call_failure) { finish(id, false); }});
}

void health_prober::finish(const std::string& id, bool passed) {
    const auto found = watched_.find(id);
    if (found == watched_.end())
        return;
    found->second->timer.stop();
    found->second->call.reset();
    log_.write("health_check", {{"server", id}, {"passed", passed}});
    on_result_(id, passed);
    if (!passed) {
        plan(id);
        return;
    }
    // The state holds the handler that is running: let it go afterwards. The
    // server may be avoided again by then.
    owner_.post([this, id] {
        watched_.erase(id);
        const auto again = find_check_(id);
        if (again && again->due > owner_.now())
            watch(id);
    });
}

} // namespace mintknot::relay
