#include <mintknot/cluster/membership.hpp>

#include <mintknot/base/random.hpp>
#include <mintknot/base/rendezvous.hpp>

#include <algorithm>
#include <set>

namespace mintknot::cluster {

namespace {

/// Bytes sent stay near 12 datagrams a second for each instance.
constexpr base::milliseconds interval_for_each_peer{80};
/// Digests between data centres go out at every so many beats.
constexpr std::uint64_t beats_between_digests = 4;
/// The whole of the own data centre is told at every so many beats, so that
/// instances which share only a seed find each other.
constexpr std::uint64_t beats_between_introductions = 5;
/// What is heard through others is older by some relays.
constexpr int relayed_patience = 4;
/// Bounds a datagram to some 1,200 bytes.
constexpr std::size_t most_known = 16;
constexpr std::size_t most_loads = 16;
constexpr std::size_t digest_receivers = 2;
/// Silent instances are tried again for this long, then forgotten.
constexpr std::chrono::minutes long_gone{60};

bool is_local(const membership& state, const member& other) {
    return other.id.data_centre == state.self.id.data_centre;
}

base::milliseconds patience(const membership& state, const member& other) {
    const auto longest =
        std::max(state.options.gone_after, 6 * beat_interval(state));
    return is_local(state, other) ? longest : relayed_patience * longest;
}

bool is_fresh(
    const membership& state, const member& other, base::steady_time now) {
    return now - other.last_heard <= patience(state, other);
}

/// Takes what was heard of a member unless it is older than what is known.
/// @return whether it was news.
bool learn(membership& state, const member& heard) {
    if (heard.id.data_centre == state.self.id.data_centre &&
        heard.id.name == state.self.id.name)
        return false;
    const auto [position, added] =
        state.others.try_emplace(name_of(heard), heard);
    member& known = position->second;
    if (added)
        return true;
    if (heard.id.incarnation < known.id.incarnation)
        return false;
    const bool newer_run = heard.id.incarnation > known.id.incarnation;
    if (!newer_run && heard.last_heard <= known.last_heard)
        return false;
    known = heard;
    return true;
}

/// Splits loads and members over as many datagrams as they need.
void add_datagrams(
    std::vector<outgoing>& result, const base::address& where,
    const heartbeat& content) {
    std::size_t load = 0;
    std::size_t known = 0;
    do {
        heartbeat part;
        part.sender = content.sender;
        for (std::size_t i = 0; i < most_loads && load < content.loads.size();
             ++i)
            part.loads.push_back(content.loads[load++]);
        for (std::size_t i = 0; i < most_known && known < content.known.size();
             ++i)
            part.known.push_back(content.known[known++]);
        result.push_back({where, std::move(part)});
    } while (load < content.loads.size() || known < content.known.size());
}

std::vector<member>
local_members(const membership& state, base::steady_time now) {
    std::vector<member> result;
    for (const auto& [name, other] : state.others)
        if (is_local(state, other) && is_fresh(state, other, now))
            result.push_back(other);
    return result;
}

void forget_long_gone(membership& state, base::steady_time now) {
    std::erase_if(state.others, [now](const auto& item) {
        return now - item.second.last_heard > long_gone;
    });
}

/// Sends a digest to two members of each data centre that this instance is
/// the delegate for.
void add_digests(
    const membership& state, std::vector<outgoing>& result,
    const std::vector<member>& local, base::steady_time now) {
    std::map<std::string, std::vector<member>> remote;
    for (const auto& [name, other] : state.others)
        if (!is_local(state, other) && is_fresh(state, other, now))
            remote[other.id.data_centre].push_back(other);
    std::vector<std::string> candidates{name_of(state.self)};
    for (const member& other : local)
        candidates.push_back(name_of(other));

    // A member of each data centre, so that any two can get in touch.
    std::vector<member> introductions;
    for (const auto& [data_centre, members] : remote)
        introductions.push_back(members[base::random_below(members.size())]);

    for (auto& [data_centre, members] : remote) {
        const std::string job = state.self.id.data_centre + ">" + data_centre;
        const bool delegate =
            base::rendezvous(job, candidates) == name_of(state.self);
        if (!delegate && !state.announce)
            continue;
        // Their own members too: some of them may share nothing but a seed.
        heartbeat digest;
        digest.sender = state.self;
        digest.known = local;
        digest.known.insert(digest.known.end(), members.begin(), members.end());
        digest.known.insert(
            digest.known.end(), introductions.begin(), introductions.end());
        for (std::size_t i = 0; i < digest_receivers && !members.empty(); ++i) {
            const std::size_t chosen = base::random_below(members.size());
            add_datagrams(result, members[chosen].heartbeat, digest);
            members.erase(
                members.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
}

} // namespace

std::string name_of(const member& value) {
    return value.id.data_centre + "." + value.id.name;
}

base::milliseconds beat_interval(const membership& state) {
    const auto peers = std::count_if(
        state.others.begin(), state.others.end(),
        [&](const auto& item) { return is_local(state, item.second); });
    return std::max<base::milliseconds>(
        state.options.interval, interval_for_each_peer * peers);
}

std::vector<outgoing> beat(
    membership& state, const std::vector<named_load>& loads,
    base::steady_time now) {
    ++state.beats;
    state.self.last_heard = now;
    const std::vector<member> local = local_members(state, now);

    heartbeat inside;
    inside.sender = state.self;
    inside.loads = loads;
    inside.known = std::move(state.to_relay);
    state.to_relay.clear();
    if (state.beats % beats_between_introductions == 1)
        inside.known.insert(inside.known.end(), local.begin(), local.end());

    std::vector<outgoing> result;
    std::set<base::address> reached{state.self.heartbeat};
    for (const member& other : local) {
        add_datagrams(result, other.heartbeat, inside);
        reached.insert(other.heartbeat);
    }
    // Seeds in other data centres count as reached once anyone is known there.
    for (const auto& [name, other] : state.others)
        if (is_fresh(state, other, now))
            reached.insert(other.heartbeat);
    heartbeat hello;
    hello.sender = state.self;
    hello.known = local;
    for (const base::address& seed : state.options.seeds)
        if (!reached.contains(seed))
            add_datagrams(result, seed, hello);
    // Silent ones may be back behind a healed cut, and seeds may be replaced.
    if (state.beats % beats_between_introductions == 1) {
        forget_long_gone(state, now);
        for (const auto& [name, other] : state.others)
            if (!is_fresh(state, other, now))
                add_datagrams(result, other.heartbeat, hello);
    }
    if (state.announce || state.beats % beats_between_digests == 1)
        add_digests(state, result, local, now);
    state.announce = false;
    return result;
}

void take_heartbeat(
    membership& state, const heartbeat& received, base::steady_time now) {
    member sender = received.sender;
    sender.last_heard = now;
    if (learn(state, sender) && !is_local(state, sender))
        state.to_relay.push_back(sender);
    const bool from_outside = !is_local(state, sender);
    for (const member& heard : received.known) {
        if (!is_fresh(state, heard, now))
            continue;
        const bool news = learn(state, heard);
        if (news && from_outside && !is_local(state, heard))
            state.to_relay.push_back(heard);
    }
}

std::vector<member> live(const membership& state, base::steady_time now) {
    std::vector<member> result{state.self};
    result.front().last_heard = now;
    for (const auto& [name, other] : state.others)
        if (is_fresh(state, other, now))
            result.push_back(other);
    std::sort(
        result.begin(), result.end(), [](const member& a, const member& b) {
            return name_of(a) < name_of(b);
        });
    return result;
}

bool is_alive(
    const membership& state, const base::instance_id& id,
    base::steady_time now) {
    if (id == state.self.id)
        return true;
    const auto position = state.others.find(id.data_centre + "." + id.name);
    return position != state.others.end() && position->second.id == id &&
           is_fresh(state, position->second, now);
}

std::vector<std::string> ready_names(
    const std::vector<member>& members, const std::string& data_centre) {
    std::vector<std::string> ready;
    std::vector<std::string> starting;
    std::vector<std::string> elsewhere;
    for (const member& item : members) {
        const bool here = item.id.data_centre == data_centre;
        const bool is_ready = item.state == member_state::ready;
        if (here && is_ready)
            ready.push_back(name_of(item));
        else if (here && item.state == member_state::starting)
            starting.push_back(name_of(item));
        else if (is_ready)
            elsewhere.push_back(name_of(item));
    }
    if (!ready.empty())
        return ready;
    // News from other data centres lags: who was starting may be ready now.
    return starting.empty() ? elsewhere : starting;
}

} // namespace mintknot::cluster
