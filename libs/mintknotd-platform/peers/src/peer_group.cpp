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
/// Told to an instance that asks: some 11 bytes each, within one packet.
constexpr std::size_t max_hosts_for_asker = 100;
/// Lost instances that are sought at a time.
constexpr std::size_t max_sought = 16;
/// After its start an instance seeks more at a time and more often, and asks
/// peers for hosts. When 295 instances started together, the median had heard
/// 280 of them after 12.5 s without this; until then they disagree on who
/// schedules what.
constexpr base::milliseconds young_time{6000};
constexpr base::milliseconds young_search_period{200};
constexpr std::size_t max_sought_when_young = 48;
constexpr std::size_t peers_asked_for_hosts = 2;
/// Groups of hundreds find and lose each other at once. A line for each was
/// 86,730 lines of 295 instances that started together.
constexpr std::size_t max_lines_at_once = 8;

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
        , search_timer(loop)
        , incarnation(base::random_bits()) {
        table.own_host = options.own.host;
        table.own_data_centre = options.data_centre;
        table.seeds.insert(options.seeds.begin(), options.seeds.end());
    }

    std::size_t usual_hosts() const {
        return policy::is_large_group(table.heard.size())
                   ? max_hosts_in_large_group
                   : max_hosts;
    }

    /// @param most hosts that it names; 0: it asks for hosts.
    std::string next_datagram(std::size_t most) {
        heartbeat own = handlers.describe();
        own.incarnation = incarnation;
        own.sequence = ++sequence;
        own.hosts = heard_hosts(table, audience::all);
        base::keep_some(own.hosts, most);
        return encode(own);
    }

    bool young(base::steady_time now) const {
        return now - opened < young_time;
    }

    /// A line for each host, or one for many.
    void log_hosts(
        std::string_view event_of_one, std::string_view event_of_many,
        const std::vector<std::string>& hosts) {
        const auto peers = static_cast<std::int64_t>(table.heard.size());
        if (hosts.size() > max_lines_at_once) {
            const auto count = static_cast<std::int64_t>(hosts.size());
            log.write(
                event_of_many,
                {{"count", count}, {"first", hosts.front()}, {"peers", peers}});
            return;
        }
        for (const std::string& host : hosts)
            log.write(event_of_one, {{"peer", host}, {"peers", peers}});
    }

    void send_all() {
        if (part == policy::group_role::leaf)
            return;
        const base::steady_time now = owner.now();
        log_hosts("peer_lost", "peers_lost", expire(table, now));
        log_hosts("peer_found", "peers_found", found);
        found.clear();
        const std::string datagram = next_datagram(usual_hosts());
        for (const std::string& host : due_hosts(now))
            send(host, datagram);
        sent = now;
        plan(now + near_period(table, options.heartbeat_period));
    }

    void search() {
        if (part == policy::group_role::leaf)
            return;
        const base::steady_time now = owner.now();
        const bool hurried = young(now);
        seek(
            next_datagram(usual_hosts()),
            hurried ? max_sought_when_young : max_sought);
        if (hurried)
            ask_for_hosts();
        search_timer.start(
            now + (hurried
                       ? std::min(options.search_period, young_search_period)
                       : options.search_period),
            [this] { search(); });
    }

    /// Peers of the own data centre first: their answers are long.
    void ask_for_hosts() {
        std::vector<std::string> hosts = heard_hosts(table, audience::near);
        if (hosts.size() < peers_asked_for_hosts)
            hosts = heard_hosts(table, audience::all);
        base::keep_some(hosts, peers_asked_for_hosts);
        for (const std::string& host : hosts)
            send(host, next_datagram(0));
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
    void seek(const std::string& datagram, std::size_t most) {
        std::vector<std::string> hosts = sought_hosts(table);
        base::keep_some(hosts, most);
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
        if (part != policy::group_role::flat &&
            !super_peers.contains(from.host) && handlers.on_stranger)
            handlers.on_stranger(from.host, value->data_centre);
        if (part == policy::group_role::leaf)
            return;
        const bool fresh = !table.heard.contains(from.host);
        if (!note(table, from.host, *value, owner.now()))
            return;
        if (fresh)
            found.push_back(from.host);
        // Answer a newcomer soon, so that it learns of the others.
        if (value->hosts.empty())
            send(from.host, next_datagram(max_hosts_for_asker));
        else if (fresh && is_large(table))
            send(from.host, next_datagram(usual_hosts()));
        if (fresh && !is_large(table))
            changed();
        handlers.on_heartbeat(from.host, *value);
    }

    void take_super_peers(
        const std::vector<policy::instance_info>& members,
        std::size_t instances) {
        super_peers.clear();
        for (const policy::instance_info& member : members)
            if (member.host != table.own_host)
                super_peers.insert(member.host);
        table.largest_size = std::max(table.largest_size, instances);
    }

    /// Others are not to wait until they miss this one.
    void tell_of_leaving() {
        heartbeat last = handlers.describe();
        last.incarnation = incarnation;
        last.sequence = ++sequence;
        last.leaving = true;
        const std::string datagram = encode(last);
        for (const std::string& host : heard_hosts(table, audience::all))
            send(host, datagram);
    }

    void follow(const std::vector<policy::instance_info>& members) {
        if (part != policy::group_role::leaf)
            tell_of_leaving();
        part = policy::group_role::leaf;
        table.seeds.clear();
        send_timer.stop();
        search_timer.stop();
        planned = base::steady_time::max();
        found.clear();
        table.candidates.clear();
        table.heard.clear();
        const base::steady_time now = owner.now();
        for (const policy::instance_info& member : members)
            if (member.host != table.own_host) {
                peer& known = table.heard[member.host];
                known.heard = now;
                known.data_centre = member.data_centre;
            }
    }

    void lead() {
        const bool was_leaf = part == policy::group_role::leaf;
        if (part != policy::group_role::super_peer) {
            const auto is_none = [this](const auto& item) {
                return !super_peers.contains(item.first);
            };
            std::erase_if(table.heard, is_none);
            std::erase_if(table.candidates, is_none);
        }
        part = policy::group_role::super_peer;
        table.seeds.clear();
        const base::steady_time now = owner.now();
        for (const std::string& host : super_peers)
            table.candidates[host] = now;
        if (was_leaf)
            begin_again();
    }

    void become_flat() {
        const bool was_leaf = part == policy::group_role::leaf;
        part = policy::group_role::flat;
        table.seeds.insert(options.seeds.begin(), options.seeds.end());
        if (was_leaf)
            begin_again();
    }

    /// A leaf has not heard those that its table holds.
    void begin_again() {
        const base::steady_time now = owner.now();
        for (const auto& [host, known] : table.heard)
            table.candidates[host] = now;
        table.heard.clear();
        opened = now;
        send_all();
        search();
    }

    void changed() {
        if (part == policy::group_role::leaf)
            return;
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
    event::timer search_timer;
    peer_table table;
    std::vector<std::string> found; ///< Since the last line about them.
    base::steady_time opened{};
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    base::steady_time sent{};
    base::steady_time sent_far{};
    bool change_pending = false; ///< Everybody is to be told of it.
    base::steady_time planned = base::steady_time::max();
    policy::group_role part = policy::group_role::flat;
    std::set<std::string> super_peers; ///< Hosts, where there are such.
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
    if (!opened.ok())
        return opened;
    impl_->opened = impl_->owner.now();
    impl_->send_all();
    impl_->search();
    return opened;
}

void peer_group::send(const std::string& host, std::string_view datagram) {
    impl_->send(host, datagram);
}

void peer_group::changed() {
    impl_->changed();
}

void peer_group::follow(
    const std::vector<policy::instance_info>& super_peers,
    std::size_t instances) {
    impl_->take_super_peers(super_peers, instances);
    impl_->follow(super_peers);
}

void peer_group::lead(
    const std::vector<policy::instance_info>& super_peers,
    std::size_t instances) {
    impl_->take_super_peers(super_peers, instances);
    impl_->lead();
}

void peer_group::become_flat() {
    impl_->become_flat();
}

const peer_table& peer_group::table() const {
    return impl_->table;
}

} // namespace mintknot::peers
