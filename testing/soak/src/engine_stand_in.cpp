#include "engine_stand_in.hpp"

#include "store_requests.hpp"

#include <mintknot/http1/serialize.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <utility>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds heartbeat{300};
/// How long it serves on after it has said that it leaves, beside a pause.
constexpr base::milliseconds serve_on{3000};
/// Requests may still come for so long after the store knows.
constexpr base::milliseconds drain_bound{2000};
/// How long a request that crashes its server runs before it does: it has no
/// answer by then.
constexpr base::milliseconds crash_time{10};
/// With what the body of such a request begins.
constexpr std::string_view crash_mark = "crash";
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
/// How long it turns requests away, and what it asks for each time.
constexpr base::milliseconds busy_time{4000};
constexpr const char* rest_seconds = "3";
/// To an order: these engines keep their phase.
constexpr int status_conflict = 409;

} // namespace

engine_stand_in::engine_stand_in(event::loop& owner, engine_options options)
    : owner_(owner)
    , options_(std::move(options))
    , pool_(owner)
    , beat_timer_(owner)
    , server_(
          owner,
          [this](
              const received_request& request,
              const event::connection_ptr& link) { serve(request, link); })
    , ledger_(::open(
          options_.ledger.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644)) {}

engine_stand_in::~engine_stand_in() {
    ::close(ledger_);
}

bool engine_stand_in::open() {
    if (ledger_ < 0 || !server_.open({"127.0.0.1", 0}).ok())
        return false;
    owner_.on_signals({SIGTERM, SIGUSR1, SIGUSR2, SIGHUP}, [this](int number) {
        on_signal(number);
    });
    fmt::print("listening {}\n", server_.port());
    std::fflush(stdout);
    beat();
    return true;
}

void engine_stand_in::on_signal(int number) {
    if (number == SIGUSR1)
        says_leaving_ = true;
    else if (number == SIGUSR2)
        busy_until_ = owner_.now() + busy_time;
    else if (number == SIGHUP)
        advertises_limit_ = !advertises_limit_;
    else
        leave();
}

void engine_stand_in::leave() {
    draining_ = true;
    beat();
    after(serve_on + options_.pause, [this] { owner_.stop(); });
}

void engine_stand_in::beat() {
    nlohmann::json row = {
        {"service", options_.service},
        {"address", base::to_string(options_.advertised)},
        {"zone", "a"},
        {"slots", 64},
        {"state", draining_ ? "draining" : "ready"},
        {"seq_no", 0}};
    // A server that is no engine has no phase.
    if (options_.phase == "prefill" || options_.phase == "decode")
        row["phase"] = options_.phase;
    if (!options_.version.empty())
        row["version"] = options_.version;
    call_ = upstream::call::start(
        pool_, {"store", options_.store},
        put_request({"servers", options_.id, row.dump()}), {},
        {nullptr,
         [this](http1::response_head& head) {
             row_write_status_ = head.status;
         },
         [](std::string_view) {},
         [this, told = draining_] {
             if (told && row_write_status_ == status_ok && !leaving_known_)
                 leaving_known_ = owner_.now();
         },
         [](upstream::call_failure) {}});
    beat_timer_.start(heartbeat, [this] { beat(); });
}

void engine_stand_in::serve(
    const received_request& request, const event::connection_ptr& link) {
    const std::string id = request.field("X-Mintknot-Request-Id");
    if (request.head.target == "/health") {
        reply(link, 200, {{"X-Mintknot-Instance-Id", options_.id}}, "ok");
        return;
    }
    if (request.head.target.starts_with("/mintknot/kv-handle/")) {
        handles_.erase(request.head.target.substr(20));
        reply(link, 200, {}, "");
        return;
    }
    if (request.head.target == "/mintknot/report") {
        reply(
            link, 200, {},
            R"({"phase":")" + options_.phase + R"(","seq_no":0,"busy":false})");
        return;
    }
    if (request.head.target == "/mintknot/order") {
        reply(link, status_conflict, {}, "");
        return;
    }
    if (request.field("X-Mintknot-Target-Instance") != options_.id) {
        reject(link, id, status_misdirected);
        return;
    }
    if (leaving_known_ && owner_.now() > *leaving_known_ + drain_bound)
        note("leaving", id);
    if (says_leaving_ || advertises_limit_ ||
        busy_until_ + busy_time > owner_.now())
        note("arrival", id);
    if (busy_until_ > owner_.now()) {
        note("said-rest", id);
        reply(
            link, status_unavailable,
            {{"X-Mintknot-Request-Id", id},
             {"X-Mintknot-Not-Executed", "1"},
             {"Retry-After", rest_seconds}},
            "");
        return;
    }
    const bool crashes = request.body.starts_with(crash_mark);
    if (crashes || has_crashing_part(request))
        note("marked", id);
    if (crashes && request.field("X-Mintknot-Phase") != "prefill")
        after(crash_time, [this, id] { crash(id); });
    if (options_.phase.empty())
        run_plain(id, link);
    else if (request.field("X-Mintknot-Phase") == "prefill")
        run_prefill(id, link);
    else if (options_.phase == "decode")
        run_decode(request, id, link);
    else
        reject(link, id, status_misdirected);
}

void engine_stand_in::reply(
    const event::connection_ptr& link, int status, http1::field_list fields,
    const std::string& body) {
    add_status_fields(fields);
    link->write(http1::text_response(status, fields, body, true));
}

void engine_stand_in::add_status_fields(http1::field_list& fields) {
    std::string id;
    for (const http1::field& entry : fields)
        if (entry.name == "X-Mintknot-Request-Id")
            id = entry.value;
    if (says_leaving_) {
        fields.push_back({"Server-Leaving", "1"});
        if (!id.empty())
            note("said-leaving", id);
    }
    if (advertises_limit_) {
        fields.push_back({"Server-Limit", options_.limit});
        if (!id.empty())
            note("said-limit", id);
    }
}

void engine_stand_in::reject(
    const event::connection_ptr& link, const std::string& id, int status) {
    reply(
        link, status,
        {{"X-Mintknot-Request-Id", id}, {"X-Mintknot-Not-Executed", "1"}}, "");
}

void engine_stand_in::note(std::string_view what, const std::string& id) {
    const auto at = std::chrono::duration_cast<base::milliseconds>(
        owner_.now().time_since_epoch());
    const std::string line =
        fmt::format("{} {} {} {}\n", what, id, at.count(), options_.id);
    if (::write(ledger_, line.data(), line.size()) < 0)
        std::perror("ledger");
}

void engine_stand_in::crash(const std::string& id) {
    note("crash", id);
    ::_exit(1);
}

void engine_stand_in::after(
    base::milliseconds delay, std::function<void()> action) {
    const std::uint64_t number = ++last_timer_;
    auto& timer = timers_[number];
    timer = std::make_unique<event::timer>(owner_);
    timer->start(delay, [this, number, action = std::move(action)] {
        action();
        owner_.post([this, number] { timers_.erase(number); });
    });
}

} // namespace mintknot::soak
