#include <mintknot/peers/peer_group.hpp>

#include <mintknot/base/random.hpp>
#include <mintknot/event/datagrams.hpp>

#include <algorithm>

namespace mintknot::peers {

namespace {

/// Hosts that one heartbeat names; a random part of a larger group.
constexpr std::size_t most_hosts = 16;
constexpr std::size_t most_hosts_in_large_group = 3;
/// Groups up to this size are told at the calm period, larger ones more
/// rarely, so that what an instance sends does not grow with the group.
constexpr std::size_t group_at_calm_period = 40;
constexpr base::milliseconds longest_calm_period{1300};

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
        table.seeds.insert(options.seeds.begin(), options.seeds.end());
    }

    std::vector<std::string> some_hosts() const {
        std::vector<std::string> hosts = recipients(table, false);
        const std::size_t most =
            hosts.size() > large_group ? most_hosts_in_large_group : most_hosts;
        while (hosts.size() > most) {
            hosts[base::random_below(hosts.size())] = hosts.back();
            hosts.pop_back();
        }
        return hosts;
    }

    void send_all() {
        const base::steady_time now = owner.now();
        for (const std::string& host : expire(table, now))
            log.write("peer_lost", {{"peer", host}});
        const bool search = now - searched >= options.search_period;
        if (search)
            searched = now;
        heartbeat own = handlers.describe();
        own.incarnation = incarnation;
        own.sequence = ++sequence;
        own.hosts = some_hosts();
        const std::string datagram = encode(own);
        for (const std::string& host : recipients(table, search))
            socket.send({host, options.own.port}, datagram);
        sent = now;
        plan(now + calm_period());
    }

    base::milliseconds calm_period() const {
        const std::size_t size = table.heard.size();
        if (size <= group_at_calm_period)
            return options.calm_period;
        return std::min(
            longest_calm_period,
            options.calm_period * static_cast<std::int64_t>(size) /
                static_cast<std::int64_t>(group_at_calm_period));
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
            changed();
        }
        handlers.on_heartbeat(from.host, *value);
    }

    void changed() {
        const base::steady_time soon =
            std::max(owner.now(), sent + options.shortest_gap);
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
    impl_->socket.send({host, impl_->options.own.port}, datagram);
}

void peer_group::changed() {
    impl_->changed();
}

const peer_table& peer_group::table() const {
    return impl_->table;
}

} // namespace mintknot::peers
