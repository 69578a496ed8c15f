#include <mintknot/peers/peer_group.hpp>

#include <mintknot/base/random.hpp>
#include <mintknot/event/datagrams.hpp>

#include <algorithm>
#include <set>

namespace mintknot::peers {

namespace {

/// Hosts that one heartbeat names; a random part of a larger group.
constexpr std::size_t max_hosts = 16;
constexpr std::size_t max_hosts_in_large_group = 3;
/// Lost instances that are sought at a time.
constexpr std::size_t max_sought = 16;

/// Keeps a random part of the hosts.
void keep_some(std::vector<std::string>& hosts, std::size_t most) {
    while (hosts.size() > most) {
        hosts[base::random_below(hosts.size())] = hosts.back();
        hosts.pop_back();
    }
}

} // namespace

struct peer_group::impl {
    impl(
        event::loop& loop, logging::line_log& lines, group_options settings,
        group_handlers functions)
        : owner(loop)
        , log(lines)
        , options(std::move(settings))
        , handlers(std::move(functions))
        , socket(loop)
        , send_timer(loop)
        , incarnation(base::random_bits()) {
        table.own_host = options.own.host;
        table.own_data_centre = options.data_centre;
        table.seeds.insert(options.seeds.begin(), options.seeds.end());
    }

    std::vector<std::string> some_hosts() const {
        std::vector<std::string> hosts = heard_hosts(table, audience::all);
        keep_some(
            hosts, policy::is_large(hosts.size()) ? max_hosts_in_large_group
                                                  : max_hosts);
        return hosts;
    }

    std::string next_datagram() {
        heartbeat own = handlers.describe();
        own.incarnation = incarnation;
        own.sequence = ++sequence;
        own.hosts = some_hosts();
        return encode(own);
    }

    void send_all() {
        const base::steady_time now = owner.now();
        for (const std::string& host : expire(table, now))
            log.write("peer_lost", {{"peer", host}});
        const std::string datagram = next_datagram();
        for (const std::string& host : due_hosts(now))
            send(host, datagram);
        if (now - searched >= options.search_period) {
            searched = now;
            seek(datagram);
        }
        sent = now;
        plan(now + near_period(table, options.heartbeat_period));
    }

    /// @return who is to be told now: everybody of a change, else other data
    /// centres more rarely.
    std::vector<std::string> due_hosts(base::steady_time now) {
        const bool far_due =
            now - sent_far >= far_period(table, options.heartbeat_period);
        if (!change_pending && !far_due)
            return heard_hosts(table, audience::near);
        change_pending = false;
        sent_far = now;
        return heard_hosts(table, audience::all);
    }

    /// Seeds are always among those that are sought, while they are not heard.
    void seek(const std::string& datagram) {
        std::vector<std::string> hosts = sought_hosts(table);
        keep_some(hosts, max_sought);
        std::set<std::string> due(hosts.begin(), hosts.end());
        for (const std::string& seed : table.seeds)
            if (seed != table.own_host && !table.heard.contains(seed))
                due.insert(seed);
        for (const std::string& host : due)
            send(host, datagram);
    }

    void send(const std::string& host, std::string_view datagram) {
        socket.send({host, options.own.port}, datagram);
    }

    void plan(base::steady_time when) {
        planned = when;
        send_timer.start(when, [this] { send_all(); });
    }

    void receive(const base::address& from, std::string_view datagram) {
        if (!is_heartbeat(datagram)) {
            if (handlers.on_other)
                handlers.on_other(from.host, datagram);
            return;
        }
        const auto value = decode(datagram);
        if (!value.ok())
            return;
        const bool fresh = !table.heard.contains(from.host);
        if (!note(table, from.host, *value, owner.now()))
            return;
        if (fresh) {
            log.write(
                "peer_found",
                {{"peer", from.host},
                 {"peers", static_cast<std::int64_t>(table.heard.size())}});
            // Answer a newcomer soon, so that it learns of the others.
            if (is_large(table))
                send(from.host, next_datagram());
            else
                changed();
        }
        handlers.on_heartbeat(from.host, *value);
    }

    void changed() {
        change_pending = true;
        const base::steady_time soon =
            std::max(owner.now(), sent + options.min_gap);
        if (soon < planned)
            plan(soon);
    }

    event::loop& owner;
    logging::line_log& log;
    group_options options;
    group_handlers handlers;
    event::datagrams socket;
    event::timer send_timer;
    peer_table table;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    base::steady_time sent{};
    base::steady_time sent_far{};
    bool change_pending = false; ///< Everybody is to be told of it.
    base::steady_time searched{};
    base::steady_time planned = base::steady_time::max();
};

peer_group::peer_group(
    event::loop& owner, logging::line_log& log, group_options options,
    group_handlers handlers)
    : impl_(std::make_unique<impl>(
          owner, log, std::move(options), std::move(handlers))) {}

peer_group::~peer_group() = default;

absl::Status peer_group::open() {
    absl::Status opened = impl_->socket.open(
        impl_->options.own,
        [this](const base::address& from, std::string_view datagram) {
            impl_->receive(from, datagram);
        });
    if (opened.ok())
        impl_->send_all();
    return opened;
}

void peer_group::send(const std::string& host, std::string_view datagram) {
    impl_->send(host, datagram);
}

void peer_group::changed() {
    impl_->changed();
}

const peer_table& peer_group::table() const {
    return impl_->table;
}

} // namespace mintknot::peers
