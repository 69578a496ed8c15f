#include <mintknot/limits/usage_accounts.hpp>

#include "group_tracker.hpp"
#include "keeper_directory.hpp"
#include "usage_book.hpp"
#include "usage_messages.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/policy/answer_timeout.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace mintknot::limits {

namespace {

/// How long a keeper has for its answer: ten times the way there and back
/// between data centres.
constexpr base::milliseconds patience{30};

/// How long an answer is waited for whose question has gone: what it grants
/// goes back.
constexpr base::milliseconds late_answer_life{2000};

/// How often the group is looked at anew. Heartbeats that show a change come as
/// often.
constexpr base::milliseconds group_age{200};

/// A request that waits for a grant.
struct waiting_request {
    explicit waiting_request(event::loop& owner)
        : timer(owner) {}
    std::string organisation;
    double cost = 0.0;
    relay::usage_handler then;
    account_kind account = account_kind::keeper; ///< That is being asked.
    event::timer timer;
};

/// A question to another instance.
struct open_question {
    std::string host;
    std::string organisation;
    double cost = 0.0;
    account_kind account = account_kind::keeper;
    std::uint64_t waiting = 0; ///< Number of the request that it is for.
    base::steady_time asked;
};

} // namespace

struct usage_accounts::impl {
    impl(
        relay::router_context& shared, account_ports outside,
        const policy::usage_bounds& bounds)
        : router(shared)
        , ports(std::move(outside))
        , book(bounds)
        , group(shared.loop.now())
        , last_number(base::random_bits()) {}

    base::steady_time now() const { return router.loop.now(); }

    const traffic::organisation* find(const std::string& name) const {
        const auto& config = router.state.config;
        return config == nullptr || config->organisations == nullptr
                   ? nullptr
                   : config->organisations->find_by_name(name);
    }

    /// Takes over who is heard, unless it did so a moment ago.
    void look_at_group() {
        if (looked_at && now() - *looked_at < group_age)
            return;
        looked_at = now();
        const std::vector<group_peer> members = ports.members();
        const std::string& here = router.options.data_centre;
        std::vector<std::string> all;
        std::vector<std::string> near;
        for (const group_peer& member : members) {
            if (member.leaving)
                continue;
            all.push_back(member.host);
            if (member.data_centre == here)
                near.push_back(member.host);
        }
        if (ports.stays()) {
            all.push_back(ports.own_host);
            near.push_back(ports.own_host);
        }
        directory.set_hosts(std::move(all), std::move(near));
        policy::account_shares shares =
            policy::shares_of(group.look(members, here, now()));
        const std::size_t instances = ports.instances ? ports.instances() : 0;
        if (instances > 0)
            shares.own =
                std::min(shares.own, 1.0 / static_cast<double>(instances));
        book.set_shares(shares);
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
        // The contract: the answer never comes from within ask().
        router.loop.post([this, number, alive = std::weak_ptr<bool>(life)] {
            if (!alive.expired())
                ask_next(number);
        });
        return number;
    }

    /// Asks the account at hand, wherever it is kept.
    void ask_next(std::uint64_t number) {
        const auto found = waiting.find(number);
        if (found == waiting.end())
            return;
        look_at_group();
        waiting_request& entry = *found->second;
        while (entry.account != account_kind::own) {
            const std::string host =
                directory.host_of(entry.organisation, entry.account, now());
            if (host == ports.own_host)
                break;
            if (!host.empty()) {
                send_question(number, entry, host);
                return;
            }
            entry.account = next_of(entry.account);
        }
        draw_here(number, entry);
    }

    static account_kind next_of(account_kind account) {
        return account == account_kind::keeper ? account_kind::deputy
                                               : account_kind::own;
    }

    void send_question(
        std::uint64_t number, waiting_request& entry, const std::string& host) {
        drop_old_questions();
        const std::uint64_t question = ++last_number;
        questions[question] = {
            host, entry.organisation, entry.cost, entry.account, number, now()};
        ports.send(
            host,
            encode(usage_question{
                question, entry.organisation, entry.cost, entry.account}));
        policy::note_query_sent(paces, host, now());
        entry.timer.start(
            policy::answer_timeout(paces, host, patience),
            [this, number, host] { on_silence(number, host); });
    }

    void on_silence(std::uint64_t number, const std::string& host) {
        const base::milliseconds length = directory.suspect(host, now());
        router.log.write(
            "keeper_silent", {{"host", host}, {"for_ms", length.count()}});
        ask_again(number);
    }

    /// The account at hand gave no verdict.
    void ask_again(std::uint64_t number) {
        const auto found = waiting.find(number);
        if (found == waiting.end())
            return;
        found->second->account = next_of(found->second->account);
        ask_next(number);
    }

    /// @return nothing if the organisation is not known here. One that has no
    /// limit any more is granted everything.
    std::optional<policy::draw_result>
    draw(const std::string& organisation, account_kind account, double cost) {
        const traffic::organisation* who = find(organisation);
        if (who == nullptr)
            return std::nullopt;
        if (!who->limit.limited())
            return policy::draw_result{true, base::milliseconds{0}};
        return book.draw(*who, account, cost, now());
    }

    void draw_here(std::uint64_t number, waiting_request& entry) {
        // Whose organisation has gone is refused for its key before it runs.
        const policy::draw_result drawn =
            draw(entry.organisation, entry.account, entry.cost)
                .value_or(policy::draw_result{true, base::milliseconds{0}});
        relay::usage_grant told;
        told.granted = drawn.granted;
        told.come_back = drawn.retry_after;
        finish(number, ports.own_host, number, std::move(told));
    }

    /// @param question number under which a grant may be given back.
    void finish(
        std::uint64_t number, const std::string& host, std::uint64_t question,
        relay::usage_grant told) {
        auto node = waiting.extract(number);
        waiting_request& entry = *node.mapped();
        entry.timer.stop();
        told.keeper = host;
        told.account = static_cast<int>(entry.account);
        told.number = question;
        told.cost = entry.cost;
        count(told.granted, entry.account);
        if (told.granted && entry.account != account_kind::keeper)
            charge_keeper(entry.organisation, entry.cost);
        const relay::usage_handler then = std::move(entry.then);
        then(told);
    }

    /// Tells the keeper what was granted without it.
    void charge_keeper(const std::string& organisation, double cost) {
        const std::string& keeper = directory.keeper_of(organisation);
        if (keeper != ports.own_host)
            ports.send(keeper, encode(usage_charge{organisation, cost}));
    }

    void count(bool granted, account_kind account) {
        ++(granted ? counters.granted : counters.refused);
        if (granted && account == account_kind::deputy)
            ++counters.deputised;
        if (granted && account == account_kind::own)
            ++counters.alone;
    }

    void drop_old_questions() {
        const base::steady_time oldest = now() - late_answer_life;
        while (!questions.empty() && questions.begin()->second.asked < oldest)
            questions.erase(questions.begin());
    }

    void give_back(const std::string& host, const usage_return& unused) {
        if (host != ports.own_host) {
            ports.send(host, encode(unused));
            return;
        }
        on_message(host, unused);
    }

    void on_message(const std::string& host, const usage_question& question) {
        look_at_group();
        usage_answer answer;
        answer.number = question.number;
        const auto drawn =
            draw(question.organisation, question.account, question.cost);
        if (drawn) {
            answer.verdict = drawn->granted ? usage_verdict::granted
                                            : usage_verdict::refused;
            answer.come_back = drawn->retry_after;
        }
        ports.send(host, encode(answer));
    }

    void on_message(const std::string& host, const usage_answer& answer) {
        policy::note_answer_received(paces, host, now());
        const auto found = questions.find(answer.number);
        if (found == questions.end() || found->second.host != host)
            return;
        directory.trust(host);
        const open_question question = std::move(found->second);
        questions.erase(found);
        const auto request = waiting.find(question.waiting);
        const bool waited_for = request != waiting.end() &&
                                request->second->account == question.account;
        if (!waited_for) {
            if (answer.verdict == usage_verdict::granted)
                give_back(
                    host, {answer.number, question.organisation, question.cost,
                           question.account});
            return;
        }
        if (answer.verdict == usage_verdict::unknown) {
            request->second->timer.stop();
            ask_again(question.waiting);
            return;
        }
        relay::usage_grant told;
        told.granted = answer.verdict == usage_verdict::granted;
        told.come_back = answer.come_back;
        finish(question.waiting, host, answer.number, std::move(told));
    }

    void on_message(const std::string&, const usage_charge& granted) {
        const traffic::organisation* who = find(granted.organisation);
        if (who != nullptr && who->limit.limited())
            book.charge(*who, granted.cost, now());
    }

    void on_message(const std::string& host, const usage_return& unused) {
        const traffic::organisation* who = find(unused.organisation);
        if (who != nullptr)
            book.give_back(*who, host, unused, now());
    }

    relay::router_context& router;
    account_ports ports;
    usage_book book;
    group_tracker group;
    keeper_directory directory;
    policy::answer_times paces;
    std::optional<base::steady_time> looked_at;
    std::uint64_t last_number;
    std::map<std::uint64_t, std::unique_ptr<waiting_request>> waiting;
    /// In the order in which they were asked.
    std::map<std::uint64_t, open_question> questions;
    account_counters counters;
    std::shared_ptr<bool> life = std::make_shared<bool>(true);
};

usage_accounts::usage_accounts(
    relay::router_context& router, account_ports ports,
    const policy::usage_bounds& bounds)
    : impl_(std::make_unique<impl>(router, std::move(ports), bounds)) {}

usage_accounts::~usage_accounts() = default;

std::unique_ptr<relay::usage_ticket> usage_accounts::ask(
    const traffic::organisation& who, double cost, relay::usage_handler then) {
    const std::uint64_t number = impl_->begin(who, cost, std::move(then));
    return std::make_unique<relay::withdrawing_ticket>(
        impl_->life, [this, number] { impl_->waiting.erase(number); });
}

void usage_accounts::give_back(
    const std::string& organisation, const relay::usage_grant& unused) {
    impl_->give_back(
        unused.keeper, {unused.number, organisation, unused.cost,
                        static_cast<account_kind>(unused.account)});
}

void usage_accounts::set_bounds(const policy::usage_bounds& bounds) {
    impl_->book.set_bounds(bounds);
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
