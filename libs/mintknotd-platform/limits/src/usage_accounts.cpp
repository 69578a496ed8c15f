#include <mintknot/limits/usage_accounts.hpp>

#include "account_table.hpp"
#include "group_tracker.hpp"
#include "keeper_directory.hpp"
#include "usage_messages.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/policy/answer_timeout.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace mintknot::limits {

namespace {

/// Shortest time to wait for an answer: ten times the round trip between data
/// centres.
constexpr base::milliseconds min_answer_timeout{30};

/// How long the answer to a request that was given up is still accepted, in
/// order to refund what it grants.
constexpr base::milliseconds late_answer_time{2000};

/// How often the view of the group is refreshed. Heartbeats that show a change
/// come as often.
constexpr base::milliseconds group_refresh_interval{200};

/// A request that waits for a grant.
struct waiting_request {
    explicit waiting_request(event::loop& owner)
        : timer(owner) {}
    std::string organisation;
    double cost = 0.0;
    relay::usage_handler then;
    account_kind account = account_kind::keeper; ///< The one being asked.
    event::timer timer;
};

/// A usage request that was sent to another instance.
struct outstanding_request {
    std::string host;
    std::string organisation;
    double cost = 0.0;
    account_kind account = account_kind::keeper;
    std::uint64_t waiting = 0; ///< Key in usage_accounts::impl::waiting.
    base::steady_time asked;
};

} // namespace

struct usage_accounts::impl {
    impl(
        relay::router_context& shared, usage_account_callbacks outside,
        const policy::usage_bounds& bounds)
        : router(shared)
        , callbacks(std::move(outside))
        , accounts(bounds)
        , group(shared.loop.now())
        , last_number(base::random_bits()) {}

    base::steady_time now() const { return router.loop.now(); }

    const traffic::organisation* find(const std::string& name) const {
        const auto& config = router.state.config;
        return config == nullptr || config->organisations == nullptr
                   ? nullptr
                   : config->organisations->find_by_name(name);
    }

    /// Updates keepers and shares from the instances that are heard, unless
    /// that was done within group_refresh_interval.
    void refresh_group() {
        if (refreshed_at && now() - *refreshed_at < group_refresh_interval)
            return;
        refreshed_at = now();
        const std::vector<group_peer> members = callbacks.members();
        const std::string& here = router.options.data_centre;
        std::vector<std::string> all;
        std::vector<std::string> local;
        for (const group_peer& member : members) {
            if (member.leaving)
                continue;
            all.push_back(member.host);
            if (member.data_centre == here)
                local.push_back(member.host);
        }
        if (callbacks.may_keep_accounts()) {
            all.push_back(callbacks.own_host);
            local.push_back(callbacks.own_host);
        }
        directory.set_hosts(std::move(all), std::move(local));
        policy::account_shares shares =
            policy::shares_of(group.update(members, here, now()));
        const std::size_t instances =
            callbacks.instance_count ? callbacks.instance_count() : 0;
        if (instances > 0)
            shares.own =
                std::min(shares.own, 1.0 / static_cast<double>(instances));
        accounts.set_shares(shares);
    }

    std::uint64_t begin(
        const traffic::organisation& who, double cost,
        relay::usage_handler then) {
        const std::uint64_t number = ++last_number;
        auto entry = std::make_unique<waiting_request>(router.loop);
        entry->organisation = who.name;
        entry->cost = cost;
        entry->then = std::move(then);
        waiting.emplace(number, std::move(entry));
        // By contract, the handler is never called before this call returns.
        router.loop.post(
            [this, number, alive = std::weak_ptr<bool>(alive_token)] {
                if (!alive.expired())
                    ask_current_account(number);
            });
        return number;
    }

    /// Draws from the current account of a request, here or at the host that
    /// keeps it.
    void ask_current_account(std::uint64_t number) {
        const auto found = waiting.find(number);
        if (found == waiting.end())
            return;
        refresh_group();
        waiting_request& entry = *found->second;
        while (entry.account != account_kind::own) {
            const std::string host =
                directory.host_of(entry.organisation, entry.account, now());
            if (host == callbacks.own_host)
                break;
            if (!host.empty()) {
                send_request(number, entry, host);
                return;
            }
            entry.account = fallback_of(entry.account);
        }
        draw_locally(number, entry);
    }

    static account_kind fallback_of(account_kind account) {
        return account == account_kind::keeper ? account_kind::deputy
                                               : account_kind::own;
    }

    void send_request(
        std::uint64_t number, waiting_request& entry, const std::string& host) {
        drop_expired_requests();
        const std::uint64_t request_number = ++last_number;
        outstanding[request_number] = {
            host, entry.organisation, entry.cost, entry.account, number, now()};
        callbacks.send(
            host, encode(usage_request{
                      request_number, entry.organisation, entry.cost,
                      entry.account}));
        policy::note_query_sent(paces, host, now());
        entry.timer.start(
            policy::answer_timeout(paces, host, min_answer_timeout),
            [this, number, host] { on_answer_timeout(number, host); });
    }

    void on_answer_timeout(std::uint64_t number, const std::string& host) {
        const base::milliseconds length = directory.suspect(host, now());
        router.log.write(
            "keeper_silent", {{"host", host}, {"for_ms", length.count()}});
        ask_next_account(number);
    }

    /// The current account gave no verdict: tries the next one.
    void ask_next_account(std::uint64_t number) {
        const auto found = waiting.find(number);
        if (found == waiting.end())
            return;
        found->second->account = fallback_of(found->second->account);
        ask_current_account(number);
    }

    /// @return nullopt if the organisation is not known here. An organisation
    /// that no longer has a limit is granted everything.
    std::optional<policy::draw_result>
    draw(const std::string& organisation, account_kind account, double cost) {
        const traffic::organisation* who = find(organisation);
        if (who == nullptr)
            return std::nullopt;
        if (!who->limit.limited())
            return policy::draw_result{true, base::milliseconds{0}};
        return accounts.draw(*who, account, cost, now());
    }

    void draw_locally(std::uint64_t number, waiting_request& entry) {
        // If the organisation has been removed, the request is refused for its
        // key before it runs, so it may be granted here.
        const policy::draw_result drawn =
            draw(entry.organisation, entry.account, entry.cost)
                .value_or(policy::draw_result{true, base::milliseconds{0}});
        relay::usage_grant grant;
        grant.granted = drawn.granted;
        grant.retry_after = drawn.retry_after;
        finish(number, callbacks.own_host, number, std::move(grant));
    }

    /// @param request_number number under which the grant may be refunded.
    void finish(
        std::uint64_t number, const std::string& host,
        std::uint64_t request_number, relay::usage_grant grant) {
        auto node = waiting.extract(number);
        waiting_request& entry = *node.mapped();
        entry.timer.stop();
        grant.keeper = host;
        grant.account = static_cast<int>(entry.account);
        grant.number = request_number;
        grant.cost = entry.cost;
        count(grant.granted, entry.account);
        if (grant.granted && entry.account != account_kind::keeper)
            charge_keeper(entry.organisation, entry.cost);
        const relay::usage_handler then = std::move(entry.then);
        then(grant);
    }

    /// Charges the keeper's account for what was granted without it.
    void charge_keeper(const std::string& organisation, double cost) {
        const std::string& keeper = directory.keeper_of(organisation);
        if (keeper != callbacks.own_host)
            callbacks.send(keeper, encode(usage_charge{organisation, cost}));
    }

    void count(bool granted, account_kind account) {
        ++(granted ? counters.granted : counters.refused);
        if (granted && account == account_kind::deputy)
            ++counters.granted_by_deputies;
        if (granted && account == account_kind::own)
            ++counters.granted_alone;
    }

    void drop_expired_requests() {
        const base::steady_time oldest = now() - late_answer_time;
        while (!outstanding.empty() &&
               outstanding.begin()->second.asked < oldest)
            outstanding.erase(outstanding.begin());
    }

    void refund(const std::string& host, const usage_refund& unused) {
        if (host != callbacks.own_host) {
            callbacks.send(host, encode(unused));
            return;
        }
        on_message(host, unused);
    }

    void on_message(const std::string& host, const usage_request& request) {
        refresh_group();
        usage_answer answer;
        answer.number = request.number;
        const auto drawn =
            draw(request.organisation, request.account, request.cost);
        if (drawn) {
            answer.verdict = drawn->granted ? usage_verdict::granted
                                            : usage_verdict::refused;
            answer.retry_after = drawn->retry_after;
        }
        callbacks.send(host, encode(answer));
    }

    void on_message(const std::string& host, const usage_answer& answer) {
        policy::note_answer_received(paces, host, now());
        const auto found = outstanding.find(answer.number);
        if (found == outstanding.end() || found->second.host != host)
            return;
        directory.clear_suspicion(host);
        const outstanding_request request = std::move(found->second);
        outstanding.erase(found);
        const auto waiter = waiting.find(request.waiting);
        const bool is_awaited = waiter != waiting.end() &&
                                waiter->second->account == request.account;
        if (!is_awaited) {
            if (answer.verdict == usage_verdict::granted)
                refund(
                    host, {answer.number, request.organisation, request.cost,
                           request.account});
            return;
        }
        if (answer.verdict == usage_verdict::unknown) {
            waiter->second->timer.stop();
            ask_next_account(request.waiting);
            return;
        }
        relay::usage_grant grant;
        grant.granted = answer.verdict == usage_verdict::granted;
        grant.retry_after = answer.retry_after;
        finish(request.waiting, host, answer.number, std::move(grant));
    }

    void on_message(const std::string&, const usage_charge& charge) {
        const traffic::organisation* who = find(charge.organisation);
        if (who != nullptr && who->limit.limited())
            accounts.charge(*who, charge.cost, now());
    }

    void on_message(const std::string& host, const usage_refund& unused) {
        const traffic::organisation* who = find(unused.organisation);
        if (who != nullptr)
            accounts.refund(*who, host, unused, now());
    }

    relay::router_context& router;
    usage_account_callbacks callbacks;
    account_table accounts;
    group_tracker group;
    keeper_directory directory;
    policy::answer_times paces;
    std::optional<base::steady_time> refreshed_at;
    std::uint64_t last_number;
    std::map<std::uint64_t, std::unique_ptr<waiting_request>> waiting;
    /// By number, and so in the order of sending.
    std::map<std::uint64_t, outstanding_request> outstanding;
    account_counters counters;
    std::shared_ptr<bool> alive_token = std::make_shared<bool>(true);
};

usage_accounts::usage_accounts(
    relay::router_context& router, usage_account_callbacks callbacks,
    const policy::usage_bounds& bounds)
    : impl_(std::make_unique<impl>(router, std::move(callbacks), bounds)) {}

usage_accounts::~usage_accounts() = default;

std::unique_ptr<relay::usage_ticket> usage_accounts::request_grant(
    const traffic::organisation& who, double cost, relay::usage_handler then) {
    const std::uint64_t number = impl_->begin(who, cost, std::move(then));
    return std::make_unique<relay::cancelling_ticket>(
        impl_->alive_token, [this, number] { impl_->waiting.erase(number); });
}

void usage_accounts::refund(
    const std::string& organisation, const relay::usage_grant& unused) {
    impl_->refund(
        unused.keeper, {unused.number, organisation, unused.cost,
                        static_cast<account_kind>(unused.account)});
}

void usage_accounts::set_bounds(const policy::usage_bounds& bounds) {
    impl_->accounts.set_bounds(bounds);
}

bool usage_accounts::receive(
    const std::string& host, std::string_view datagram) {
    const auto value = decode_usage(datagram);
    if (!value.ok())
        return false;
    std::visit(
        [&](const auto& known) { impl_->on_message(host, known); }, *value);
    return true;
}

const account_counters& usage_accounts::counters() const {
    return impl_->counters;
}

} // namespace mintknot::limits
