#include <mintknot/scheduling/remote_placer.hpp>

#include "load_reporter.hpp"
#include "scheduler_directory.hpp"

#include <mintknot/policy/answer_pace.hpp>
#include <mintknot/policy/domain.hpp>
#include <mintknot/scheduling/messages.hpp>

#include <algorithm>
#include <map>

namespace mintknot::scheduling {

namespace {

/// Schedulers of one domain that are asked before the choice is made here: each
/// silent one costs placer_options::patience.
constexpr int max_tries = 2;
/// The same where none can be made here.
constexpr int max_tries_without_rows = 4;

/// A request that waits for its servers.
struct question {
    explicit question(event::loop& owner)
        : patience(owner) {}
    policy::placement_query query;
    relay::placement_handler then;
    std::vector<policy::domain>
        left;                      ///< Domains to be asked, the next one first.
    policy::capacity_summary seen; ///< In the domains that had no room.
    std::string asked;             ///< The scheduler that is to answer.
    int tries = 0;                 ///< Within the domain at hand.
    event::timer patience;
};

} // namespace

struct remote_placer::impl {
    impl(
        relay::router_context& shared, placer_ports outside,
        placer_options settings)
        : context(shared)
        , ports(std::move(outside))
        , options(settings)
        , directory(shared, ports, settings.suspicion)
        , reporter(shared, ports, directory, settings) {}

    base::steady_time now() const { return context.loop.now(); }

    std::uint64_t
    begin(policy::placement_query query, relay::placement_handler then) {
        const std::uint64_t number = ++last_number;
        auto entry = std::make_unique<question>(context.loop);
        entry->left = policy::domains_of(
            context.state.servers, query.service, context.options.data_centre);
        if (query.kind == policy::placement_kind::plain &&
            entry->left.size() > 1)
            query.kind = policy::placement_kind::plain_with_free_slot;
        policy::exclude_avoided(
            query, context.state.servers, context.state.health, now());
        policy::exclude_unavailable(
            query, context.state.servers, context.state.health, now());
        query.data_centre = context.options.data_centre;
        entry->query = std::move(query);
        entry->then = std::move(then);
        questions.emplace(number, std::move(entry));
        // The contract: the answer never comes from within ask().
        context.loop.post([this, number, alive = std::weak_ptr<bool>(life)] {
            if (!alive.expired())
                ask_next(number);
        });
        return number;
    }

    void ask_next(std::uint64_t number) {
        const auto found = questions.find(number);
        if (found == questions.end())
            return;
        question& entry = *found->second;
        if (entry.left.empty()) {
            policy::placement placed = place_anywhere(entry.query);
            placed.capacity = entry.seen;
            finish(number, placed);
            return;
        }
        const std::string host = directory.find(entry.left.front());
        if (host.empty() || host == ports.own_host ||
            entry.tries >= tries_allowed()) {
            const bool exact = host == ports.own_host;
            take(number, decide(entry.query, entry.left.front(), exact));
            if (!exact)
                reporter.loads_changed();
            return;
        }
        ++entry.tries;
        entry.asked = host;
        ports.send(host, encode(request_for(number, entry)));
        policy::note_asked(paces, host, now());
        const base::milliseconds patience =
            policy::patience_for(paces, host, options.patience);
        entry.patience.start(patience, [this, number, host] {
            directory.suspect(host);
            // What it had been told must be told to the next one.
            reporter.loads_changed();
            ask_next(number);
        });
    }

    bool holds_rows() const { return !context.state.servers.partial; }

    int tries_allowed() const {
        return holds_rows() ? max_tries : max_tries_without_rows;
    }

    placement_request
    request_for(std::uint64_t number, const question& entry) const {
        placement_request request{
            number, entry.left.front().data_centre, entry.query, !holds_rows()};
        // Plain servers queue: where no data centre has room one takes it
        // still.
        const bool last_chance = !holds_rows() && entry.left.size() == 1;
        if (last_chance &&
            request.query.kind == policy::placement_kind::plain_with_free_slot)
            request.query.kind = policy::placement_kind::plain;
        return request;
    }

    /// Takes what the domain at hand has to offer, or asks the next one.
    void take(std::uint64_t number, const policy::placement& placed) {
        question& entry = *questions.at(number);
        if (!placed.server.empty()) {
            finish(number, placed);
            return;
        }
        entry.seen.engines += placed.capacity.engines;
        entry.seen.avoided += placed.capacity.avoided;
        entry.seen.max_free_tokens = std::max(
            entry.seen.max_free_tokens, placed.capacity.max_free_tokens);
        entry.seen.forecast = policy::merge_forecasts(
            entry.seen.forecast, placed.capacity.forecast);
        entry.left.erase(entry.left.begin());
        entry.tries = 0;
        ask_next(number);
    }

    void finish(std::uint64_t number, const policy::placement& placed) {
        auto node = questions.extract(number);
        node.mapped()->patience.stop();
        const relay::placement_handler then = std::move(node.mapped()->then);
        then(placed);
    }

    /// No domain has room. Plain servers queue: one of them takes it still.
    policy::placement place_anywhere(const policy::placement_query& query) {
        if (query.kind != policy::placement_kind::plain_with_free_slot)
            return {};
        policy::placement_query anywhere = query;
        anywhere.kind = policy::placement_kind::plain;
        return decide(anywhere, {query.service, {}}, false);
    }

    /// @param exact whether this instance schedules the domain, and so knows
    /// what is in flight there.
    policy::placement decide(
        const policy::placement_query& query, const policy::domain& which,
        bool exact) const {
        const traffic::service* service = service_of(query.service);
        if (service == nullptr)
            return {};
        policy::selection_inputs inputs =
            relay::selection_for(context, *service);
        inputs.only_data_centre = which.data_centre;
        inputs.own_data_centre = query.data_centre;
        inputs.all_loads_known = exact;
        inputs.connected = &query.connected;
        policy::placement placed = policy::choose_servers(inputs, query);
        policy::charge_placement(
            context.state.health.limits, context.state.servers, query.service,
            placed, now());
        return placed;
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
        answer.known = service_of(request.query.service) != nullptr &&
                       (!ports.knows_servers || ports.knows_servers());
        answer.placed = decide(
            request.query, {request.query.service, request.data_centre}, true);
        if (request.wants_servers)
            for (const std::string* id :
                 {&answer.placed.server, &answer.placed.prefill})
                add_known(answer.servers, *id);
        traffic::add_to_peer(
            context.state.loads, host,
            policy::placed_loads(answer.placed, request.query), now());
        ports.send(host, encode(answer));
    }

    void add_known(
        std::vector<traffic::versioned_server>& servers,
        const std::string& id) const {
        const auto found = context.state.servers.by_id.find(id);
        if (found != context.state.servers.by_id.end() && found->second.value)
            servers.push_back({*found->second.value, found->second.version});
    }

    void on_message(const std::string& host, const placement_answer& answer) {
        policy::note_answered(paces, host, now());
        const auto found = questions.find(answer.number);
        if (found == questions.end() || found->second->asked != host) {
            reporter.correct(host);
            return;
        }
        found->second->patience.stop();
        for (const traffic::versioned_server& named : answer.servers)
            traffic::note_named(context.state.servers, named);
        if (answer.known) {
            policy::placement placed = answer.placed;
            placed.scheduler_host = host;
            if (!placed.server.empty())
                reporter.placed_by(host);
            take(answer.number, placed);
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
            policy::note_peer_warning(
                context.state.health, server.server_id, now() + server.left,
                now());
        for (const observed_rate& observed : report.rates)
            policy::note_prefill_rate(
                context.state.rates, observed.id, observed.rate);
        policy::note_peer_results(context.state.health, report.results, now());
    }

    relay::router_context& context;
    placer_ports ports;
    placer_options options;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, std::unique_ptr<question>> questions;
    policy::answer_paces paces;
    scheduler_directory directory;
    load_reporter reporter;
    std::shared_ptr<bool> life = std::make_shared<bool>(true);
};

remote_placer::remote_placer(
    relay::router_context& context, placer_ports ports, placer_options options)
    : impl_(std::make_unique<impl>(context, std::move(ports), options)) {}

remote_placer::~remote_placer() = default;

bool remote_placer::active() const {
    return impl_->ports.active();
}

std::unique_ptr<relay::placement_ticket> remote_placer::ask(
    policy::placement_query query, relay::placement_handler then) {
    const std::uint64_t number =
        impl_->begin(std::move(query), std::move(then));
    return std::make_unique<relay::withdrawing_ticket>(
        impl_->life, [this, number] { impl_->questions.erase(number); });
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
