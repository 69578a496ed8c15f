#include <mintknot/scheduling/remote_return_planner.hpp>

#include <mintknot/policy/answer_timeout.hpp>
#include <mintknot/policy/domain.hpp>
#include <mintknot/scheduling/return_messages.hpp>

#include <map>

namespace mintknot::scheduling {

namespace {

/// How long a host that has never answered is not asked again.
constexpr base::milliseconds time_without_answers{30000};

/// A refusal that waits for its return time.
struct pending_return {
    explicit pending_return(event::loop& owner)
        : answer_timer(owner) {}
    relay::refused_request refused;
    relay::return_handler then;
    std::string asked_host;
    event::timer answer_timer;
};

/// What is known of a host that was asked.
struct asked_host {
    bool answers = false;     ///< It has answered before.
    bool silent_once = false; ///< It missed the last answer.
    base::steady_time skipped_until;
};

policy::return_decision decision_of(const return_answer& answer) {
    policy::return_decision decision;
    decision.retry_after = answer.retry_after;
    if (answer.promised)
        decision.kind = policy::return_kind::promised;
    else if (answer.retry_after > base::milliseconds{0})
        decision.kind = policy::return_kind::refused;
    return decision;
}

} // namespace

struct remote_return_planner::impl {
    impl(
        relay::router_context& shared, placer_callbacks outside,
        scheduler_finder find, placer_options settings)
        : context(shared)
        , callbacks(std::move(outside))
        , find_scheduler(std::move(find))
        , options(settings) {}

    base::steady_time now() const { return context.loop.now(); }

    std::uint64_t
    begin(relay::refused_request refused, relay::return_handler then) {
        const std::uint64_t number = ++last_number;
        auto entry = std::make_unique<pending_return>(context.loop);
        entry->refused = std::move(refused);
        entry->then = std::move(then);
        pending.emplace(number, std::move(entry));
        // By contract, the handler is never called before this call returns.
        context.loop.post(
            [this, number, alive = std::weak_ptr<bool>(alive_token)] {
                if (!alive.expired())
                    ask(number);
            });
        return number;
    }

    void ask(std::uint64_t number) {
        const auto found = pending.find(number);
        if (found == pending.end())
            return;
        pending_return& entry = *found->second;
        const policy::domain which =
            policy::domains_of(
                context.state.servers, entry.refused.service,
                context.options.data_centre)
                .front();
        const std::string host = find_scheduler(which);
        if (host.empty() || host == callbacks.own_host) {
            const bool is_scheduler = !host.empty();
            finish(
                number, {is_scheduler ? relay::plan_return_here(
                                            context, which.data_centre, true,
                                            entry.refused)
                                      : policy::return_decision{},
                         host});
            return;
        }
        if (asked_hosts[host].skipped_until > now()) {
            finish(number, {});
            return;
        }
        entry.asked_host = host;
        callbacks.send(
            host,
            encode(return_request{number, which.data_centre, entry.refused}));
        policy::note_query_sent(times, host, now());
        entry.answer_timer.start(
            policy::answer_timeout(times, host, options.answer_timeout),
            [this, number, host] { on_silence(number, host); });
    }

    /// No other host is asked instead: it does not place the requests, so that
    /// nothing would be kept for what it promises. A host that has never
    /// answered is of an earlier version.
    void on_silence(std::uint64_t number, const std::string& host) {
        asked_host& seen = asked_hosts[host];
        if (!seen.answers)
            seen.skipped_until = now() + time_without_answers;
        else if (seen.silent_once)
            seen.skipped_until = now() + options.suspect_time;
        seen.silent_once = !seen.silent_once;
        finish(number, {});
    }

    void finish(std::uint64_t number, const relay::planned_return& planned) {
        auto node = pending.extract(number);
        node.mapped()->answer_timer.stop();
        const relay::return_handler then = std::move(node.mapped()->then);
        then(planned);
    }

    void on_message(const std::string& host, const return_request& request) {
        if (!context.state.capacity_sharing)
            return;
        policy::return_decision decision;
        if (!callbacks.knows_servers || callbacks.knows_servers())
            decision = relay::plan_return_here(
                context, request.data_centre, true, request.refused);
        callbacks.send(
            host,
            encode(return_answer{
                request.number, decision.kind == policy::return_kind::promised,
                decision.retry_after}));
    }

    void on_message(const std::string& host, const return_answer& answer) {
        policy::note_answer_received(times, host, now());
        const auto seen = asked_hosts.find(host);
        if (seen != asked_hosts.end())
            seen->second = {true, false, {}};
        const auto found = pending.find(answer.number);
        // An answer after the timeout: the caller was told another time, and
        // the promise lapses.
        if (found != pending.end() && found->second->asked_host == host)
            finish(answer.number, {decision_of(answer), host});
    }

    relay::router_context& context;
    placer_callbacks callbacks;
    scheduler_finder find_scheduler;
    placer_options options;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, std::unique_ptr<pending_return>> pending;
    policy::answer_times times;
    std::map<std::string, asked_host> asked_hosts;
    std::shared_ptr<bool> alive_token = std::make_shared<bool>(true);
};

remote_return_planner::remote_return_planner(
    relay::router_context& context, placer_callbacks ports,
    scheduler_finder find, placer_options options)
    : impl_(std::make_unique<impl>(
          context, std::move(ports), std::move(find), options)) {}

remote_return_planner::~remote_return_planner() = default;

bool remote_return_planner::active() const {
    return impl_->callbacks.active();
}

std::unique_ptr<relay::ticket> remote_return_planner::request_return(
    relay::refused_request refused, relay::return_handler then) {
    const std::uint64_t number =
        impl_->begin(std::move(refused), std::move(then));
    return std::make_unique<relay::cancelling_ticket>(
        impl_->alive_token, [this, number] { impl_->pending.erase(number); });
}

bool remote_return_planner::receive(
    const std::string& host, std::string_view datagram) {
    const auto value = decode_return(datagram);
    if (!value.ok())
        return false;
    std::visit(
        [&](const auto& known) { impl_->on_message(host, known); }, *value);
    return true;
}

} // namespace mintknot::scheduling
