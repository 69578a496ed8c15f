#include <mintknot/peers/membership.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>
#include <map>

namespace mintknot::peers {

namespace {

using policy::group_role;

/// After its start an instance asks the seeds at these times: seeds that start
/// with it hear of most members after some hundred milliseconds.
constexpr base::milliseconds young_joins[] = {
    base::milliseconds{250}, base::milliseconds{500}, base::milliseconds{1000},
    base::milliseconds{2000}, base::milliseconds{4000}};
/// How often a flat group looks whether it has grown too large, after that.
/// Instances join one after the other.
constexpr base::milliseconds size_period{1000};
/// While members that start together still come, the first answers wait: one
/// that ranks half of them names others. So long without a new one, or so long
/// after the start. All start within 0.3 s.
constexpr base::milliseconds settle_time{200};
constexpr base::milliseconds max_settle_time{2000};
/// Requests without an answer after which a host is passed over, and for how
/// long: a lost datagram does not move a member to another host.
constexpr int max_unanswered = 2;
constexpr base::milliseconds silence_time{6000};
/// Without any answer for so long the instance takes itself for alone: by then
/// it has asked the three registrars and three more.
constexpr base::milliseconds orphan_time{9000};
/// Between two rosters for an instance that has not asked: it seeks seeds five
/// times a second.
constexpr base::milliseconds invitation_gap{1000};
/// A roster is made once for all that ask within this time: with 200 members
/// that is some 0.2 ms of work, and 130 of them ask each second.
constexpr base::milliseconds roster_age{100};
/// The job of those who are asked while no roster is known.
constexpr const char* registrar_job = "registrar";

/// A roster for the members of one data centre.
struct made_roster {
    base::steady_time at{};
    roster value;
    std::string datagram;
};

/// What has become of the requests to one host.
struct asked_host {
    int unanswered = 0;
    base::steady_time silent_until{};
    std::uint64_t revision = 0; ///< Of its last roster.
};

} // namespace

struct membership::impl {
    impl(
        event::loop& loop, logging::line_log& lines, membership_options given,
        membership_handlers functions)
        : owner(loop)
        , log(lines)
        , options(std::move(given))
        , handlers(std::move(functions))
        , timer(loop)
        , young_timer(loop) {
        table.own = options.own;
    }

    base::steady_time now() const { return owner.now(); }

    bool very_large() const {
        return is_very_large(
            table, handlers.heard().heard.size(), options.max_flat_group);
    }

    void ask_seeds(std::size_t next) {
        if (table.role != group_role::flat)
            return;
        for (const std::string& seed : options.seeds)
            if (seed != table.own.host)
                join(seed);
        if (next < std::size(young_joins))
            young_timer.start(started + young_joins[next], [this, next] {
                ask_seeds(next + 1);
            });
    }

    base::milliseconds period() const {
        if (table.role != group_role::flat)
            return join_period;
        return now() - started < max_settle_time ? settle_time : size_period;
    }

    void tick() {
        timer.start(period(), [this] { tick(); });
        if (handlers.leaving())
            return;
        expire(table, now());
        if (table.role == group_role::flat)
            look_for_size();
        else if (is_orphaned())
            become_flat();
        else
            renew();
    }

    /// The group is taken for a flat one: is it too large for that?
    void look_for_size() {
        if (!very_large() || !settled())
            return;
        if (!table.joined.empty())
            take(roster_for(table, table.own.data_centre, now()), {});
        else
            for (const std::string& host : registrars_of_flat())
                join(host);
    }

    /// Where no seed has told of a roster, all that hear too many choose the
    /// same ones to ask.
    std::vector<std::string> registrars_of_flat() const {
        std::vector<std::string> hosts =
            staying(handlers.heard(), table.own.data_centre);
        hosts.push_back(table.own.host);
        return base::rendezvous_first(
            registrar_job, hosts, policy::max_registrars);
    }

    bool settled() const {
        return now() - table.grown_at >= settle_time ||
               now() - started >= max_settle_time;
    }

    bool is_orphaned() const {
        return !table.registrar && now() - table.confirmed_at > orphan_time;
    }

    void become_flat() {
        log.write(
            "orphaned",
            {{"silent_ms", std::chrono::duration_cast<base::milliseconds>(
                               now() - table.confirmed_at)
                               .count()}});
        table.role = group_role::flat;
        table.joined.clear();
        asked.clear();
        started = now();
        handlers.on_roster(table.role, table.view);
        ask_seeds(0);
    }

    /// Asks for the roster anew; whoever is asked by others has it.
    void renew() {
        if (table.registrar)
            take(roster_for(table, table.own.data_centre, now()), {});
        for (const std::string& host : policy::registrars_to_ask(
                 members_in(table.view, table.own.data_centre), table.own.host,
                 silent_hosts()))
            join(host);
        if (table.role == group_role::super_peer)
            claim();
    }

    std::vector<std::string> silent_hosts() const {
        std::vector<std::string> hosts;
        for (const auto& [host, entry] : asked)
            if (entry.silent_until > now())
                hosts.push_back(host);
        return hosts;
    }

    void join(const std::string& host) {
        asked_host& entry = asked[host];
        if (++entry.unanswered > max_unanswered &&
            table.role != group_role::flat) {
            entry.unanswered = 0;
            entry.silent_until = now() + silence_time;
        }
        handlers.send(host, encode(own_request(entry.revision)));
    }

    join_request own_request(std::uint64_t known) const {
        return {
            table.own.data_centre, table.own.capacity, handlers.leaving(),
            known};
    }

    void claim() {
        const std::string datagram = encode(super_peer_claim{
            table.own.data_centre, table.own.capacity, members_here(table)});
        for (const policy::instance_info& member : table.view.super_peers)
            if (member.host != table.own.host)
                handlers.send(member.host, datagram);
    }

    /// @param from empty: it was made here.
    void take(roster value, const std::string& from) {
        const group_role before = table.role;
        const group_role after =
            take_roster(table, std::move(value), !from.empty(), now());
        if (after != before)
            log.write(
                "role",
                {{"role", policy::to_string(after)},
                 {"was", policy::to_string(before)},
                 {"told_by", from},
                 {"instances", static_cast<std::int64_t>(table.instances)},
                 {"super_peers",
                  static_cast<std::int64_t>(table.view.super_peers.size())}});
        handlers.on_roster(after, table.view);
        if (before == group_role::flat) {
            asked.clear();
            timer.start(base::milliseconds{0}, [this] { tick(); });
        }
    }

    const made_roster& roster_of(const std::string& data_centre) {
        made_roster& made = rosters[data_centre];
        if (made.datagram.empty() || now() - made.at >= roster_age) {
            made.at = now();
            made.value = roster_for(table, data_centre, now());
            made.datagram = encode(made.value);
        }
        return made;
    }

    void on_message(const std::string& host, const join_request& request) {
        note_join(table, host, request, now());
        const bool may_answer =
            very_large() && (table.role != group_role::flat || settled());
        if (request.leaving || !may_answer)
            return;
        const made_roster& made = roster_of(request.data_centre);
        if (made.value.revision == request.known)
            handlers.send(
                host, encode(roster_confirmation{
                          made.value.revision, made.value.instances,
                          made.value.age}));
        else
            handlers.send(host, made.datagram);
    }

    /// @return true if an answer from there is wanted, and counts it.
    bool note_answer(const std::string& host, std::uint64_t revision) {
        const auto found = asked.find(host);
        if (found == asked.end())
            return table.role == group_role::flat;
        found->second = {0, {}, revision};
        return true;
    }

    void on_message(const std::string& host, const roster& told) {
        if (note_answer(host, told.revision) && !told.super_peers.empty())
            take(told, host);
    }

    void on_message(const std::string& host, const roster_confirmation& told) {
        if (!note_answer(host, told.revision) || table.role == group_role::flat)
            return;
        roster same = table.view;
        same.instances = told.instances;
        same.age = told.age;
        take(std::move(same), host);
    }

    void on_message(const std::string& host, const super_peer_claim& told) {
        note_claim(table, host, told, now());
    }

    event::loop& owner;
    logging::line_log& log;
    membership_options options;
    membership_handlers handlers;
    event::timer timer;
    event::timer young_timer;
    member_table table;
    std::map<std::string, asked_host> asked;
    std::map<std::string, made_roster> rosters; ///< By data centre.
    std::map<std::string, base::steady_time> invited;
    base::steady_time started{};
};

membership::membership(
    event::loop& owner, logging::line_log& log, membership_options options,
    membership_handlers handlers)
    : impl_(std::make_unique<impl>(
          owner, log, std::move(options), std::move(handlers))) {}

membership::~membership() = default;

void membership::start() {
    impl_->started = impl_->now();
    impl_->ask_seeds(0);
    impl_->timer.start(settle_time, [this] { impl_->tick(); });
}

void membership::leave() {
    for (const auto& [host, entry] : impl_->asked)
        impl_->handlers.send(host, encode(impl_->own_request(0)));
}

bool membership::receive(const std::string& host, std::string_view datagram) {
    const auto value = decode_roster_message(datagram);
    if (!value.ok())
        return false;
    std::visit(
        [&](const auto& known) { impl_->on_message(host, known); }, *value);
    return true;
}

void membership::on_stranger(
    const std::string& host, const std::string& data_centre) {
    const base::steady_time now = impl_->now();
    if (impl_->table.role == group_role::flat)
        return;
    std::erase_if(impl_->invited, [now](const auto& item) {
        return now - item.second > invitation_gap;
    });
    if (impl_->invited.emplace(host, now).second)
        impl_->handlers.send(host, impl_->roster_of(data_centre).datagram);
}

group_role membership::role() const {
    return impl_->table.role;
}

const member_table& membership::table() const {
    return impl_->table;
}

} // namespace mintknot::peers
