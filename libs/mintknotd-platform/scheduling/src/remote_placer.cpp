#include <mintknot/scheduling/remote_placer.hpp>

#include "load_reporter.hpp"
#include "scheduler_directory.hpp"

#include <mintknot/policy/answer_timeout.hpp>
#include <mintknot/policy/domain.hpp>
#include <mintknot/relay/server_results.hpp>
#include <mintknot/scheduling/messages.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace mintknot::scheduling {

namespace {

/// Number of schedulers of one domain that are asked before a request is placed
/// locally. Each silent one costs at least placer_options::answer_timeout.
constexpr int max_tries = 2;
/// The same for an instance without rows of servers, which cannot place
/// locally.
constexpr int max_tries_without_rows = 4;

/// A request that waits for its placement.
struct pending_placement {
    explicit pending_placement(event::loop& owner)
        : answer_timer(owner) {}
    policy::placement_query query;
    relay::placement_handler then;
    std::vector<policy::domain> remaining_domains; ///< The current one first.
    policy::capacity_summary
        capacity_seen; ///< Sum of the domains that had no capacity.
    /// Of the last domain that denied capacity to the request's claim.
    policy::capacity_denial denial = policy::capacity_denial::none;
    /// The shortest wait of the domains that denied a plain call.
    std::optional<base::milliseconds> expected_wait;
    /// What the last domain that denied a plain call expected of it.
    std::optional<policy::plain_forecast> plain;
    std::string asked_host; ///< The scheduler whose answer is awaited.
    int tries = 0;          ///< In the current domain.
    event::timer answer_timer;
};

} // namespace

struct remote_placer::impl {
    impl(
        relay::router_context& shared, placer_callbacks outside,
        placer_options settings)
        : context(shared)
        , callbacks(std::move(outside))
        , options(settings)
        , directory(shared, callbacks, settings.suspect_time)
        , reporter(shared, callbacks, directory, settings) {}

    base::steady_time now() const { return context.loop.now(); }

    std::uint64_t
    begin(policy::placement_query query, relay::placement_handler then) {
        const std::uint64_t number = ++last_number;
        auto entry = std::make_unique<pending_placement>(context.loop);
        entry->remaining_domains = policy::domains_of(
            context.state.servers, query.service, context.options.data_centre);
        if (query.kind == policy::placement_kind::plain &&
            entry->remaining_domains.size() > 1)
            query.kind = policy::placement_kind::plain_with_free_slot;
        policy::exclude_avoided(
            query, context.state.servers, context.state.health, now());
        policy::exclude_unavailable(
            query, context.state.servers, context.state.health, now());
        query.data_centre = context.options.data_centre;
        entry->query = std::move(query);
        entry->then = std::move(then);
        pending.emplace(number, std::move(entry));
        // By contract, the handler is never called before this call returns.
        context.loop.post(
            [this, number, alive = std::weak_ptr<bool>(alive_token)] {
                if (!alive.expired())
                    ask_next(number);
            });
        return number;
    }

    void ask_next(std::uint64_t number) {
        const auto found = pending.find(number);
        if (found == pending.end())
            return;
        pending_placement& entry = *found->second;
        if (entry.remaining_domains.empty()) {
            finish_without_domain(number, entry);
            return;
        }
        const std::string host =
            directory.find(entry.remaining_domains.front());
        if (host.empty() || host == callbacks.own_host ||
            entry.tries >= tries_allowed()) {
            const bool is_scheduler = host == callbacks.own_host;
            apply_placement(
                number, place_in_domain(
                            entry.query, entry.remaining_domains.front(),
                            is_scheduler));
            if (!is_scheduler)
                reporter.loads_changed();
            return;
        }
        ++entry.tries;
        entry.asked_host = host;
        callbacks.send(host, encode(request_for(number, entry)));
        policy::note_query_sent(paces, host, now());
        const base::milliseconds timeout =
            policy::answer_timeout(paces, host, options.answer_timeout);
        entry.answer_timer.start(timeout, [this, number, host] {
            directory.suspect(host);
            // What was reported to it must be reported to the next scheduler.
            reporter.loads_changed();
            ask_next(number);
        });
    }

    /// Finishes a request that no domain has placed.
    void finish_without_domain(
        std::uint64_t number, const pending_placement& entry) {
        policy::placement placed;
        if (entry.denial == policy::capacity_denial::none)
            placed = place_anywhere(entry.query);
        placed.capacity = entry.capacity_seen;
        placed.denial = entry.denial;
        placed.expected_wait = entry.expected_wait;
        placed.plain = entry.plain;
        finish(number, placed);
    }

    bool holds_rows() const { return !context.state.servers.partial; }

    int tries_allowed() const {
        return holds_rows() ? max_tries : max_tries_without_rows;
    }

    placement_request
    request_for(std::uint64_t number, const pending_placement& entry) const {
        placement_request request{
            number, entry.remaining_domains.front().data_centre, entry.query,
            !holds_rows()};
        // Plain servers queue requests: if no data centre has free capacity,
        // one of them takes the request all the same.
        const bool last_domain =
            !holds_rows() && entry.remaining_domains.size() == 1;
        if (last_domain &&
            request.query.kind == policy::placement_kind::plain_with_free_slot)
            request.query.kind = policy::placement_kind::plain;
        return request;
    }

    /// Finishes with the placement in the current domain, or moves on to the
    /// next domain if there is no free capacity.
    void
    apply_placement(std::uint64_t number, const policy::placement& placed) {
        pending_placement& entry = *pending.at(number);
        if (!placed.server.empty()) {
            finish(number, placed);
            return;
        }
        entry.capacity_seen.engines += placed.capacity.engines;
        entry.capacity_seen.avoided += placed.capacity.avoided;
        entry.capacity_seen.max_free_tokens = std::max(
            entry.capacity_seen.max_free_tokens,
            placed.capacity.max_free_tokens);
        entry.capacity_seen.forecast = policy::merge_forecasts(
            entry.capacity_seen.forecast, placed.capacity.forecast);
        if (placed.denial != policy::capacity_denial::none)
            entry.denial = placed.denial;
        if (placed.plain)
            entry.plain = placed.plain;
        if (placed.expected_wait)
            entry.expected_wait = std::min(
                *placed.expected_wait,
                entry.expected_wait.value_or(*placed.expected_wait));
        entry.remaining_domains.erase(entry.remaining_domains.begin());
        entry.tries = 0;
        ask_next(number);
    }

    void finish(std::uint64_t number, const policy::placement& placed) {
        auto node = pending.extract(number);
        node.mapped()->answer_timer.stop();
        const relay::placement_handler then = std::move(node.mapped()->then);
        then(placed);
    }

    /// Places a request for which no domain has free capacity. Plain servers
    /// queue requests, so one of them takes it all the same.
    policy::placement place_anywhere(const policy::placement_query& query) {
        if (query.kind != policy::placement_kind::plain_with_free_slot)
            return {};
        policy::placement_query anywhere = query;
        anywhere.kind = policy::placement_kind::plain;
        return place_in_domain(anywhere, {query.service, {}}, false);
    }

    /// @param is_scheduler whether this instance schedules the domain, and so
    /// knows what is in flight there.
    policy::placement place_in_domain(
        const policy::placement_query& query, const policy::domain& which,
        bool is_scheduler) const {
        const traffic::service* service = service_of(query.service);
        if (service == nullptr)
            return {};
        policy::selection_inputs inputs =
            relay::make_selection_inputs(context, *service);
        inputs.only_data_centre = which.data_centre;
        inputs.own_data_centre = query.data_centre;
        inputs.all_loads_known = is_scheduler;
        inputs.connected = &query.connected;
        inputs.only_version = query.version;
        return relay::place_here(context, inputs, query);
    }

    const traffic::service* service_of(const std::string& name) const {
        if (context.state.config == nullptr)
            return nullptr;
        const auto found = context.state.config->services.find(name);
        return found == context.state.config->services.end() ? nullptr
                                                             : &found->second;
    }

    void on_message(const std::string& host, const placement_request& request) {
        placement_answer answer;
        answer.number = request.number;
        answer.knows_service =
            service_of(request.query.service) != nullptr &&
            (!callbacks.knows_servers || callbacks.knows_servers());
        answer.placed = place_in_domain(
            request.query, {request.query.service, request.data_centre}, true);
        if (request.wants_server_rows)
            for (const std::string* id :
                 {&answer.placed.server, &answer.placed.prefill})
                add_server_row(answer.servers, *id);
        traffic::add_to_peer(
            context.state.loads, host,
            policy::placed_loads(answer.placed, request.query), now());
        callbacks.send(host, encode(answer));
    }

    void add_server_row(
        std::vector<traffic::versioned_server>& servers,
        const std::string& id) const {
        const auto found = context.state.servers.by_id.find(id);
        if (found != context.state.servers.by_id.end() && found->second.value)
            servers.push_back({*found->second.value, found->second.version});
    }

    void on_message(const std::string& host, const placement_answer& answer) {
        policy::note_answer_received(paces, host, now());
        const auto found = pending.find(answer.number);
        if (found == pending.end() || found->second->asked_host != host) {
            reporter.schedule_correction(host);
            return;
        }
        found->second->answer_timer.stop();
        for (const traffic::versioned_server& named : answer.servers)
            traffic::note_named(context.state.servers, named);
        if (answer.knows_service) {
            policy::placement placed = answer.placed;
            placed.scheduler_host = host;
            if (!placed.server.empty())
                reporter.placed_by(host);
            apply_placement(answer.number, placed);
            return;
        }
        if (holds_rows())
            found->second->tries = max_tries;
        else
            directory.suspect(host);
        ask_next(answer.number);
    }

    void on_message(const std::string& host, const load_report& report) {
        traffic::set_peer(context.state.loads, host, report.loads, now());
        for (const policy::server_warning& server : report.avoided)
            relay::note_peer_warning(context, host, server);
        for (const observed_rate& observed : report.rates)
            policy::note_prefill_rate(
                context.state.prefill_rates, observed.id, observed.rate);
        policy::note_peer_results(context.state.health, report.results, now());
        if (!context.state.capacity_sharing)
            return;
        policy::note_reported_times(
            context.state.plain_times, report.call_times, now());
        for (const auto& [id, counts] : report.results)
            policy::note_rejections(
                context.state.plain_times, id, counts.rejected);
    }

    relay::router_context& context;
    placer_callbacks callbacks;
    placer_options options;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, std::unique_ptr<pending_placement>> pending;
    policy::answer_times paces;
    scheduler_directory directory;
    load_reporter reporter;
    std::shared_ptr<bool> alive_token = std::make_shared<bool>(true);
};

remote_placer::remote_placer(
    relay::router_context& context, placer_callbacks callbacks,
    placer_options options)
    : impl_(std::make_unique<impl>(context, std::move(callbacks), options)) {}

remote_placer::~remote_placer() = default;

bool remote_placer::active() const {
    return impl_->callbacks.active();
}

std::unique_ptr<relay::placement_ticket> remote_placer::request_placement(
    policy::placement_query query, relay::placement_handler then) {
    const std::uint64_t number =
        impl_->begin(std::move(query), std::move(then));
    return std::make_unique<relay::cancelling_ticket>(
        impl_->alive_token, [this, number] { impl_->pending.erase(number); });
}

void remote_placer::loads_changed() {
    impl_->reporter.loads_changed();
}

void remote_placer::loads_added() {
    impl_->reporter.loads_added();
}

void remote_placer::receive(
    const std::string& host, std::string_view datagram) {
    const auto value = decode(datagram);
    if (!value.ok())
        return;
    std::visit(
        [&](const auto& known) { impl_->on_message(host, known); }, *value);
}

} // namespace mintknot::scheduling
