#include <mintknot/scheduling/remote_placer.hpp>

#include <mintknot/policy/domain.hpp>
#include <mintknot/scheduling/messages.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace mintknot::scheduling {

namespace {

/// Schedulers of one domain that are asked before the choice is made here.
constexpr int max_tries = 2;
/// Servers that a question rules out because this instance avoids them.
constexpr std::size_t max_avoided = 32;

/// A request that waits for its servers.
struct question {
    explicit question(event::loop& owner)
        : patience(owner) {}
    policy::placement_query query;
    relay::placement_handler then;
    std::vector<policy::domain>
        left;                  ///< Domains to be asked, the next one first.
    policy::room_summary seen; ///< In the domains that had no room.
    std::string asked;         ///< The scheduler that is to answer.
    int tries = 0;             ///< Within the domain at hand.
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
        , report_timer(shared.loop) {}

    base::steady_time now() const { return context.loop.now(); }

    /// @return the scheduler of a domain, passing over those that have not
    /// answered lately; empty if there is none.
    std::string scheduler(const policy::domain& which) const {
        std::vector<std::string> hosts = ports.hosts(which.data_centre);
        std::erase_if(hosts, [this](const std::string& host) {
            const auto found = suspected.find(host);
            return found != suspected.end() && found->second > now();
        });
        return policy::scheduler_of(which, hosts);
    }

    /// Rules out what this instance avoids: its way to a server may be broken
    /// where the scheduler's is not. If it is most of them, the fault is here.
    void exclude_avoided(policy::placement_query& query) const {
        const auto& open =
            traffic::open_servers(context.state.servers, query.service);
        policy::excluded_servers avoided;
        for (const traffic::server* server : open)
            if (policy::avoided(context.state.health, server->id, now()))
                avoided.insert(server->id);
        if (avoided.size() > max_avoided || avoided.size() * 2 > open.size())
            return;
        query.excluded_prefill.insert(avoided.begin(), avoided.end());
        query.excluded.insert(avoided.begin(), avoided.end());
    }

    std::uint64_t
    begin(policy::placement_query query, relay::placement_handler then) {
        const std::uint64_t number = ++last_number;
        auto entry = std::make_unique<question>(context.loop);
        entry->left = policy::domains_of(
            context.state.servers, query.service, context.options.data_centre);
        if (query.kind == policy::placement_kind::plain &&
            entry->left.size() > 1)
            query.kind = policy::placement_kind::plain_with_room;
        exclude_avoided(query);
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
            placed.room = entry.seen;
            finish(number, placed);
            return;
        }
        const std::string host = scheduler(entry.left.front());
        if (host.empty() || host == ports.own_host ||
            entry.tries >= max_tries) {
            const bool exact = host == ports.own_host;
            take(number, decide(entry.query, entry.left.front(), exact));
            return;
        }
        ++entry.tries;
        entry.asked = host;
        ports.send(
            host, encode(placement_request{
                      number, entry.left.front().data_centre, entry.query}));
        entry.patience.start(options.patience, [this, number, host] {
            suspect(host);
            ask_next(number);
        });
    }

    /// Takes what the domain at hand has to offer, or asks the next one.
    void take(std::uint64_t number, const policy::placement& placed) {
        question& entry = *questions.at(number);
        if (!placed.server.empty()) {
            finish(number, placed);
            return;
        }
        entry.seen.engines += placed.room.engines;
        entry.seen.avoided += placed.room.avoided;
        entry.seen.max_room =
            std::max(entry.seen.max_room, placed.room.max_room);
        entry.seen.forecast =
            policy::joined(entry.seen.forecast, placed.room.forecast);
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

    void suspect(const std::string& host) {
        std::erase_if(suspected, [this](const auto& item) {
            return item.second <= now();
        });
        suspected[host] = now() + options.suspicion;
        context.log.write(
            "scheduler_silent",
            {{"host", host}, {"for_ms", options.suspicion.count()}});
        // What it had been told must be told to the next one.
        loads_changed();
    }

    /// No domain has room. Plain servers queue: one of them takes it still.
    policy::placement place_anywhere(const policy::placement_query& query) {
        if (query.kind != policy::placement_kind::plain_with_room)
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
        return policy::choose(inputs, query);
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
        answer.known = service_of(request.query.service) != nullptr;
        answer.placed = decide(
            request.query, {request.query.service, request.data_centre}, true);
        traffic::add_to_peer(
            context.state.loads, host,
            policy::placed_loads(answer.placed, request.query), now());
        ports.send(host, encode(answer));
    }

    void on_message(const std::string& host, const placement_answer& answer) {
        const auto found = questions.find(answer.number);
        if (found == questions.end() || found->second->asked != host) {
            // The scheduler counts a request that nobody sends.
            reported.insert(host);
            loads_changed();
            return;
        }
        found->second->patience.stop();
        if (answer.known) {
            policy::placement placed = answer.placed;
            placed.by = host;
            take(answer.number, placed);
            return;
        }
        found->second->tries = max_tries;
        ask_next(answer.number);
    }

    void on_message(const std::string& host, const load_report& report) {
        traffic::set_peer(context.state.loads, host, report.loads, now());
        for (const policy::server_warning& server : report.avoided)
            policy::warn(
                context.state.health, server.server_id, now() + server.left,
                now());
        for (const observed_rate& observed : report.rates)
            policy::note_rate(context.state.rates, observed.id, observed.rate);
    }

    void loads_changed() {
        if (report_due <= now() + options.min_gap && report_timer.active())
            return;
        plan_report(std::max(now(), reported_at + options.min_gap));
    }

    void plan_report(base::steady_time when) {
        report_due = when;
        report_timer.start(when, [this] { send_reports(); });
    }

    void send_reports() {
        reported_at = now();
        std::map<std::string, load_report> reports;
        for (const std::string& host : reported)
            reports[host];
        reported.clear();
        const std::vector<policy::server_warning> avoided =
            policy::own_warnings(context.state.health, now());
        for (const auto& [id, load] : context.state.loads.own) {
            const std::string host = scheduler_elsewhere(id);
            if (host.empty())
                continue;
            reports[host].loads[id] = load;
            reported.insert(host);
        }
        // The schedulers of servers that are avoided here are to know it, too.
        for (const policy::server_warning& warning : avoided) {
            const std::string host = scheduler_elsewhere(warning.server_id);
            if (!host.empty())
                reports[host];
        }
        add_observations(reports, avoided);
        for (const auto& [host, report] : reports)
            ports.send(host, encode(report));
        if (!reported.empty())
            plan_report(now() + options.max_gap);
    }

    /// @return the instance that schedules a server's domain; empty if it is
    /// this one or there is none.
    std::string scheduler_elsewhere(const std::string& server_id) const {
        const traffic::server* server =
            traffic::find(context.state.servers, server_id);
        if (server == nullptr)
            return {};
        std::string host =
            scheduler(policy::domain_of(context.state.servers, *server));
        return host == ports.own_host ? std::string{} : host;
    }

    /// Adds what is avoided here and how fast engines were seen to read.
    void add_observations(
        std::map<std::string, load_report>& reports,
        const std::vector<policy::server_warning>& avoided) {
        if (reports.empty())
            return;
        std::vector<observed_rate> rates;
        for (const std::string& id : context.state.rates.fresh)
            rates.push_back({id, policy::rate_of(context.state.rates, id)});
        context.state.rates.fresh.clear();
        for (auto& [host, report] : reports) {
            report.avoided = avoided;
            report.rates = rates;
        }
    }

    relay::router_context& context;
    placer_ports ports;
    placer_options options;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, std::unique_ptr<question>> questions;
    std::map<std::string, base::steady_time> suspected;
    std::set<std::string> reported; ///< Hosts that know of loads from here.
    base::steady_time reported_at{};
    base::steady_time report_due{};
    event::timer report_timer;
    std::shared_ptr<bool> life = std::make_shared<bool>(true);
};

namespace {

/// Calls a function when the question is withdrawn or answered.
class ticket final : public relay::placement_ticket {
public:
    explicit ticket(std::function<void()> on_end)
        : on_end_(std::move(on_end)) {}
    ~ticket() override { on_end_(); }

private:
    std::function<void()> on_end_;
};

} // namespace

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
    return std::make_unique<ticket>(
        [this, number, alive = std::weak_ptr<bool>(impl_->life)] {
            if (!alive.expired())
                impl_->questions.erase(number);
        });
}

void remote_placer::loads_changed() {
    impl_->loads_changed();
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
