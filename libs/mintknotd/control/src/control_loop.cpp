#include <mintknot/control/control_loop.hpp>

#include <mintknot/base/json_parser.hpp>

#include <mintknot/base/log.hpp>
#include <mintknot/control/mailbox.hpp>
#include <mintknot/rpc/heartbeat_codec.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <variant>

namespace mintknot::control {

namespace {

constexpr std::size_t most_messages = 100000;
/// Time between two looks at timers, and at queues while requests wait.
constexpr base::milliseconds idle_tick{100};
constexpr base::milliseconds busy_tick{20};
/// Schedulers that nobody asked for so long are dropped.
constexpr std::chrono::seconds idle_scheduler{60};

struct place_message {
    routing::place_query query;
    rpc::placed_callback done;
};
struct progress_message {
    rpc::progress_batch batch;
};
struct heartbeat_message {
    cluster::heartbeat content;
};
struct load_message {
    cluster::named_load load;
};
struct state_message {
    cluster::member_state state = cluster::member_state::starting;
};

using message = std::variant<
    place_message, progress_message, heartbeat_message, load_message,
    state_message>;

/// A scheduler with the callbacks of the requests that it has queued.
struct service_scheduler {
    explicit service_scheduler(const routing::scheduler_options& options)
        : state(options) {}

    routing::scheduler state;
    std::map<std::uint64_t, rpc::placed_callback> waiting; ///< By ticket.
    std::uint64_t followed_revision = 0;
    base::steady_time last_asked;
};

rpc::placed_request
to_placed(const routing::place_answer& answer, std::uint64_t revision) {
    rpc::placed_request placed;
    audit::decision record = answer.record;
    record.config_revision = revision;
    placed.record = base::to_text(audit::to_json(record));
    if (answer.end == routing::place_answer::state::refused) {
        placed.refused = answer.refused;
        return placed;
    }
    placed.attempt = answer.attempt;
    placed.prefill_name = answer.prefill_name;
    placed.prefill_at = answer.prefill_at;
    placed.decode_name = answer.decode_name;
    placed.decode_at = answer.decode_at;
    placed.cached_tokens = answer.where.cached_tokens;
    return placed;
}

routing::place_goal
goal_for(const config::catalogue& current, const routing::place_query& query) {
    routing::place_goal goal;
    if (const auto item = current.request_class(query.request_class)) {
        goal.first_token = item->spec.first_token;
        goal.per_token = item->spec.per_token;
        goal.priority = item->spec.priority;
    }
    if (const auto service = current.service(query.service))
        goal.weights = service->spec.goal;
    return goal;
}

} // namespace

struct control_loop::impl {
    impl(
        control_options chosen, const config::change_feed& changes,
        datagram_sender sender)
        : options(std::move(chosen))
        , feed(changes)
        , send(std::move(sender)) {
        members.self = options.self;
        members.options = options.membership;
    }

    const control_options options;
    const config::change_feed& feed;
    const datagram_sender send;
    const base::logger log{"control"};
    mailbox<message> messages{most_messages};

    // Owned by the control thread.
    cluster::membership members;
    std::map<std::string, routing::engine_load> loads;
    std::vector<cluster::named_load> unsent_loads;
    std::map<std::string, service_scheduler> schedulers; ///< By service.
    base::steady_time next_beat;

    mutable std::mutex view_mutex;
    std::shared_ptr<const cluster_view> view =
        std::make_shared<const cluster_view>();

    void handle(place_message& item, base::steady_time now);
    void handle(progress_message& item, base::steady_time now);
    void handle(heartbeat_message& item, base::steady_time now);
    void handle(load_message& item, base::steady_time now);
    void handle(state_message& item, base::steady_time now);

    service_scheduler& scheduler_for(const std::string& service);
    void follow(service_scheduler& entry, const std::string& service);
    void spread_load(const cluster::named_load& item, base::steady_time now);
    void answer_queued(service_scheduler& entry, base::steady_time now);
    void advance_all(base::steady_time now);
    void beat_if_due(base::steady_time now);
    bool anyone_waits() const;
    void publish(base::steady_time now);
};

void control_loop::impl::follow(
    service_scheduler& entry, const std::string& service) {
    const auto current = feed.current();
    if (entry.followed_revision == current->revision())
        return;
    entry.followed_revision = current->revision();
    routing::follow_configuration(
        entry.state.table, *current, service, options.self.id.data_centre);
    if (const auto item = current->service(service))
        entry.state.options.most_queued = item->spec.most_queued;
}

service_scheduler&
control_loop::impl::scheduler_for(const std::string& service) {
    const auto [position, added] =
        schedulers.try_emplace(service, options.scheduler);
    service_scheduler& entry = position->second;
    follow(entry, service);
    if (added) {
        // A new scheduler starts from the loads that everyone hears.
        for (const auto& [engine, load] : loads)
            if (auto* known = routing::find_engine(entry.state.table, engine))
                routing::take_load(*known, load);
        log.info("Schedules service {} from now on.", service);
    }
    return entry;
}

void control_loop::impl::handle(place_message& item, base::steady_time now) {
    service_scheduler& entry = scheduler_for(item.query.service);
    entry.last_asked = now;
    const auto current = feed.current();
    const auto answer = routing::place(
        entry.state, item.query, goal_for(*current, item.query), now);
    if (answer.end == routing::place_answer::state::queued) {
        entry.waiting.emplace(answer.ticket, std::move(item.done));
        return;
    }
    item.done(to_placed(answer, current->revision()));
}

void control_loop::impl::handle(progress_message& item, base::steady_time now) {
    const auto position = schedulers.find(item.batch.service);
    if (position == schedulers.end())
        return;
    position->second.last_asked = now;
    for (const routing::progress& line : item.batch.lines)
        routing::take_progress(position->second.state, line, now);
    answer_queued(position->second, now);
}

void control_loop::impl::handle(
    heartbeat_message& item, base::steady_time now) {
    cluster::take_heartbeat(members, item.content, now);
    for (const cluster::named_load& load : item.content.loads)
        spread_load(load, now);
}

void control_loop::impl::handle(load_message& item, base::steady_time now) {
    spread_load(item.load, now);
    unsent_loads.push_back(std::move(item.load));
}

void control_loop::impl::handle(state_message& item, base::steady_time now) {
    members.self.state = item.state;
    members.announce = true;
    next_beat = now; // Everyone should know at once.
    publish(now);
}

void control_loop::impl::spread_load(
    const cluster::named_load& item, base::steady_time now) {
    routing::engine_load& known = loads[item.engine];
    if (item.load.read_at < known.read_at)
        return;
    known = item.load;
    for (auto& [service, entry] : schedulers)
        routing::take_engine_load(entry.state, item.engine, item.load, now);
}

void control_loop::impl::answer_queued(
    service_scheduler& entry, base::steady_time now) {
    const std::uint64_t revision = feed.current()->revision();
    for (const auto& answer : routing::advance(entry.state, now)) {
        const auto position = entry.waiting.find(answer.ticket);
        if (position == entry.waiting.end())
            continue;
        position->second(to_placed(answer, revision));
        entry.waiting.erase(position);
    }
}

void control_loop::impl::advance_all(base::steady_time now) {
    for (auto& [service, entry] : schedulers) {
        follow(entry, service);
        answer_queued(entry, now);
    }
    std::erase_if(schedulers, [now](const auto& item) {
        return item.second.waiting.empty() &&
               now - item.second.last_asked > idle_scheduler;
    });
}

void control_loop::impl::beat_if_due(base::steady_time now) {
    if (now < next_beat)
        return;
    members.self.applied_revision = feed.current()->revision();
    const auto datagrams = cluster::beat(members, unsent_loads, now);
    for (const cluster::outgoing& item : datagrams)
        send(item.where, rpc::encode(item.content, now));
    unsent_loads.clear();
    next_beat = now + cluster::beat_interval(members);
}

bool control_loop::impl::anyone_waits() const {
    return std::any_of(
        schedulers.begin(), schedulers.end(),
        [](const auto& item) { return !item.second.waiting.empty(); });
}

void control_loop::impl::publish(base::steady_time now) {
    auto next = std::make_shared<cluster_view>();
    next->self = members.self.id;
    next->live = cluster::live(members, now);
    next->loads = loads;
    const std::lock_guard lock(view_mutex);
    view = std::move(next);
}

control_loop::control_loop(
    control_options options, const config::change_feed& feed,
    datagram_sender send)
    : impl_(std::make_unique<impl>(std::move(options), feed, std::move(send))) {
    impl_->publish(base::steady_clock::now());
}

control_loop::~control_loop() = default;

void control_loop::run(
    const std::stop_token& stop, const std::function<void()>& alive) {
    constexpr base::milliseconds publish_period{100};
    auto next_publish = base::steady_clock::now();
    auto next_tick = base::steady_clock::now();
    while (!stop.stop_requested()) {
        auto taken =
            impl_->messages.take_all(std::min(next_tick, impl_->next_beat));
        const auto now = base::steady_clock::now();
        for (message& item : taken)
            std::visit([&](auto& one) { impl_->handle(one, now); }, item);
        if (now < next_tick && now < impl_->next_beat)
            continue;
        next_tick = now + (impl_->anyone_waits() ? busy_tick : idle_tick);
        impl_->advance_all(now);
        impl_->beat_if_due(now);
        if (now >= next_publish) {
            impl_->publish(now);
            next_publish = now + publish_period;
        }
        alive();
    }
    impl_->next_beat = {};
    impl_->beat_if_due(base::steady_clock::now());
}

void control_loop::place(
    const routing::place_query& query, rpc::placed_callback done) {
    // Kept aside, for a full mailbox drops what is posted.
    const rpc::placed_callback kept = done;
    if (impl_->messages.post(place_message{query, std::move(done)}))
        return;
    rpc::placed_request refused;
    refused.refused = base::refusal{
        base::reason::queue_full, "the control thread is overloaded",
        base::verdict::not_run, base::milliseconds{1000}};
    kept(std::move(refused));
}

void control_loop::report(rpc::progress_batch batch) {
    impl_->messages.post(progress_message{std::move(batch)});
}

void control_loop::take_datagram(std::string_view datagram) {
    auto heartbeat = rpc::decode_heartbeat(datagram, base::steady_clock::now());
    if (heartbeat)
        impl_->messages.post(heartbeat_message{*std::move(heartbeat)});
}

void control_loop::take_load(cluster::named_load load) {
    impl_->messages.post(load_message{std::move(load)});
}

void control_loop::set_state(cluster::member_state state) {
    impl_->messages.post(state_message{state});
}

std::shared_ptr<const cluster_view> control_loop::view() const {
    const std::lock_guard lock(impl_->view_mutex);
    return impl_->view;
}

} // namespace mintknot::control
