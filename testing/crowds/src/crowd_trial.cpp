#include "crowd_trial.hpp"

#include "crowd_clients.hpp"
#include "process_usage.hpp"

#include <mintknot/event/connection.hpp>
#include <mintknot/http1/message_parser.hpp>

#include <algorithm>

namespace mintknot::crowds {

namespace {

constexpr base::milliseconds poll{10};
constexpr base::milliseconds crowd_limit{60000};
constexpr base::milliseconds call_limit{2000};
/// A crowd that nothing is read from any more has come to rest.
constexpr int quiet_polls = 100;
constexpr int status_ok = 200;

/// Tells whether a crowd has come to rest; to be asked at each poll.
class rest_watch {
public:
    explicit rest_watch(const crowd_clients& crowd)
        : crowd_(crowd) {}

    bool operator()() {
        quiet_ = crowd_.sent_bytes() == sent_ ? quiet_ + 1 : 0;
        sent_ = crowd_.sent_bytes();
        return crowd_.all_done() || quiet_ > quiet_polls;
    }

private:
    const crowd_clients& crowd_;
    std::size_t sent_ = 0;
    int quiet_ = 0;
};

} // namespace

crowd_trial::crowd_trial(trial_subject subject)
    : subject_(std::move(subject))
    , poll_timer_(owner_) {}

trial_result crowd_trial::play(const crowd_plan& plan) {
    {
        crowd_clients crowd(owner_, subject_.target, plan);
        crowd.start();
        run_until(rest_watch(crowd), crowd_limit);
        result_.status_beside_crowd = ask_until_answered(request_limit);
        result_.sent_bytes = crowd.sent_bytes();
        result_.left_open = crowd.open();
    }
    result_.status_after_crowd = ask_until_answered(request_limit);
    result_.lives = subject_.process.running();
    return result_;
}

int crowd_trial::ask_until_answered(base::milliseconds limit) {
    const auto end = owner_.now() + limit;
    int status = 0;
    while (status != status_ok && owner_.now() < end) {
        status = ask(subject_.ordinary_request, call_limit);
        if (status != status_ok)
            run_until([] { return false; }, poll);
    }
    return status;
}

int crowd_trial::ask(const std::string& request, base::milliseconds limit) {
    bool ended = false;
    event::connection_ptr link;
    http1::response_parser parser({}, false);
    std::string pending;
    event::connect(
        owner_, subject_.entry, limit,
        [&](event::connection_ptr opened, event::connect_result) {
            ended = opened == nullptr;
            link = std::move(opened);
            if (ended)
                return;
            link->set_handlers(
                {[&](std::string_view piece) {
                     pending += piece;
                     pending.erase(0, parser.put(pending, nullptr));
                 },
                 [&](event::connection_end) { ended = true; }, nullptr});
            link->write(request);
        });
    run_until([&] { return ended || parser.done(); }, limit);
    if (link != nullptr)
        link->abort();
    return parser.done() ? parser.head().status : 0;
}

void crowd_trial::look() {
    if (!subject_.process.running())
        return;
    const process_usage usage =
        read_usage(subject_.process.pid(), subject_.listens);
    result_.max_memory_bytes = std::max(
        {result_.max_memory_bytes, usage.max_resident_bytes,
         usage.resident_bytes + usage.unread_bytes});
    result_.max_descriptors =
        std::max(result_.max_descriptors, usage.descriptors);
}

void crowd_trial::run_until(
    const std::function<bool()>& condition, base::milliseconds limit) {
    const auto end = owner_.now() + limit;
    std::function<void()> check = [&] {
        look();
        if (condition() || owner_.now() >= end)
            owner_.stop();
        else
            poll_timer_.start(poll, [&] { check(); });
    };
    poll_timer_.start(poll, [&] { check(); });
    owner_.run();
    poll_timer_.stop();
}

} // namespace mintknot::crowds
