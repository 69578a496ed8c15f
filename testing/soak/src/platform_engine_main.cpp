/// @file
/// Stand-in for a server of the platform: a model engine of one phase, or a
/// plain server. It notes each run in a ledger before it begins. After SIGUSR1
/// its answers say that it leaves, and its row does not; after SIGUSR2 it turns
/// requests away for a while and asks for rest. SIGHUP toggles whether its
/// answers advertise its rate limit.

#include "scripted_server.hpp"

#include <mintknot/http1/serialize.hpp>
#include <mintknot/upstream/call.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace {

using namespace mintknot;
using relay::tests::received_request;

constexpr base::milliseconds heartbeat{300};
constexpr base::milliseconds work_time{15};
constexpr base::milliseconds handle_life{500};
/// How long it serves on after it has said that it leaves, beside a pause.
constexpr base::milliseconds serve_on{3000};
/// Requests may still come for so long after the store knows.
constexpr base::milliseconds drain_bound{2000};
/// How long a request that crashes its server runs before it does: it has no
/// answer by then.
constexpr base::milliseconds crash_time{10};
/// An engine ends so long after its first event, if the prompt has a part that
/// crashes engines; the time differs by request.
constexpr base::milliseconds min_part_crash_time{30};
constexpr std::size_t part_crash_spread_ms = 80;
/// With what such a part begins.
constexpr std::string_view crashing_part = "bad";
/// With what the body of such a request begins.
constexpr std::string_view crash_mark = "crash";
constexpr int events_of_a_stream = 20;
/// One stream in so many pauses.
constexpr std::size_t streams_for_a_pause = 3;
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
/// How long it turns requests away, and what it asks for each time.
constexpr base::milliseconds busy_time{4000};
constexpr const char* rest_seconds = "3";
/// To an order: these engines keep their phase.
constexpr int status_conflict = 409;

struct engine_options {
    base::address store;
    std::string id;
    std::string service;
    std::string phase; ///< Empty: a plain server.
    std::string ledger;
    std::string limit;   ///< Requests per second, as sent in answers.
    std::string version; ///< Of its software; empty: its row has none.
    base::milliseconds event_time{12}; ///< Between two events of a stream.
    /// Pause of some streams in their middle; zero: none.
    base::milliseconds pause{0};
    base::address advertised; ///< Where instances reach it.
    /// Every second answer has neither a length nor chunks, and ends with its
    /// connection.
    bool without_length = false;
};

/// @param version named as the event's type, if it is not empty.
std::string
event_of(const std::string& id, int number, const std::string& version) {
    const std::string type =
        version.empty() ? std::string() : fmt::format("event: {}\n", version);
    return fmt::format("id: {}\n{}data: {} {}\n\n", number, type, id, number);
}

class engine_stand_in {
public:
    engine_stand_in(event::loop& owner, engine_options options)
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

    ~engine_stand_in() { ::close(ledger_); }

    bool open() {
        if (ledger_ < 0 || !server_.open({"127.0.0.1", 0}).ok())
            return false;
        owner_.on_signals(
            {SIGTERM, SIGUSR1, SIGUSR2, SIGHUP},
            [this](int number) { on_signal(number); });
        fmt::print("listening {}\n", server_.port());
        std::fflush(stdout);
        beat();
        return true;
    }

private:
    void on_signal(int number) {
        if (number == SIGUSR1)
            says_leaving_ = true;
        else if (number == SIGUSR2)
            busy_until_ = owner_.now() + busy_time;
        else if (number == SIGHUP)
            advertises_limit_ = !advertises_limit_;
        else
            leave();
    }

    /// Says that it leaves, serves on for a while, and ends.
    void leave() {
        draining_ = true;
        beat();
        after(serve_on + options_.pause, [this] { owner_.stop(); });
    }

    void beat() {
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
        const nlohmann::json put = {
            {"put",
             {{{"table", "servers"},
               {"part", ""},
               {"key", options_.id},
               {"value", absl::Base64Escape(row.dump())}}}}};
        upstream::call_request request;
        request.head.method = "POST";
        request.head.target = "/mintknot/rows-tx";
        request.head.fields = {{"Host", "store"}};
        request.body = std::make_shared<const std::string>(put.dump());
        call_ = upstream::call::start(
            pool_, {"store", options_.store}, std::move(request), {},
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

    void
    serve(const received_request& request, const event::connection_ptr& link) {
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
                R"({"phase":")" + options_.phase +
                    R"(","seq_no":0,"busy":false})");
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

    static bool has_crashing_part(const received_request& request) {
        const std::string parts = request.field("X-Mintknot-Prompt-Prefix");
        return parts.find("," + std::string(crashing_part)) !=
               std::string::npos;
    }

    void reply(
        const event::connection_ptr& link, int status, http1::field_list fields,
        const std::string& body) {
        add_status_fields(fields);
        link->write(http1::text_response(status, fields, body, true));
    }

    /// Adds the fields that describe the server's own state to an answer.
    void add_status_fields(http1::field_list& fields) {
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

    void reject(
        const event::connection_ptr& link, const std::string& id, int status) {
        reply(
            link, status,
            {{"X-Mintknot-Request-Id", id}, {"X-Mintknot-Not-Executed", "1"}},
            "");
    }

    /// Notes something about a request in the ledger.
    void note(std::string_view what, const std::string& id) {
        const auto at = std::chrono::duration_cast<base::milliseconds>(
            owner_.now().time_since_epoch());
        const std::string line =
            fmt::format("{} {} {} {}\n", what, id, at.count(), options_.id);
        if (::write(ledger_, line.data(), line.size()) < 0)
            std::perror("ledger");
    }

    http1::field_list sealed(const std::string& id) {
        return {
            {"X-Mintknot-Request-Id", id}, {"X-Mintknot-Response-Seal", "s"}};
    }

    /// Ends as a process does that has crashed: without a word to anybody.
    void crash(const std::string& id) {
        note("crash", id);
        ::_exit(1);
    }

    void run_plain(const std::string& id, const event::connection_ptr& link) {
        note("run", id);
        after(work_time, [this, id, link] {
            if (!ends_with_connection(id)) {
                reply(link, 200, sealed(id), "answer to " + id);
                return;
            }
            write_head(id, http1::framing::close, {}, link);
            link->write("answer to " + id);
            link->close();
        });
    }

    void run_prefill(const std::string& id, const event::connection_ptr& link) {
        if (options_.phase != "prefill") {
            reject(link, id, status_misdirected);
            return;
        }
        after(work_time, [this, id, link] {
            const std::string handle = options_.id + "-" + id;
            handles_.insert(handle);
            after(handle_life, [this, handle] { handles_.erase(handle); });
            reply(
                link, 200, {{"X-Mintknot-Request-Id", id}},
                R"({"kv_handle":")" + handle + R"(","tokens":1})");
        });
    }

    void run_decode(
        const received_request& request, const std::string& id,
        const event::connection_ptr& link) {
        note("run", id);
        const std::string result = request.field("X-Mintknot-Kv-Source");
        if (!result.empty() && !result.ends_with("-" + id))
            note("mixed", id);
        int from = 0;
        if (!absl::SimpleAtoi(request.field("Last-Event-Id"), &from))
            from = 0;
        write_head(
            id,
            ends_with_connection(id) ? http1::framing::close
                                     : http1::framing::chunked,
            {{"Content-Type", "text/event-stream"}}, link);
        write_event(id, from + 1, link);
        if (has_crashing_part(request))
            after(
                min_part_crash_time +
                    base::milliseconds(
                        std::hash<std::string>{}(id) % part_crash_spread_ms),
                [this, id] { crash(id); });
    }

    /// @return true if the answer to the request has neither a length nor
    /// chunks, at all engines.
    bool ends_with_connection(const std::string& id) const {
        return options_.without_length && std::hash<std::string>{}(id) % 2 == 0;
    }

    void write_head(
        const std::string& id, http1::framing body,
        const http1::field_list& more, const event::connection_ptr& link) {
        http1::response_head head;
        head.status = status_ok;
        head.fields = sealed(id);
        add_status_fields(head.fields);
        head.fields.insert(head.fields.end(), more.begin(), more.end());
        head.body = body;
        head.keep_alive = body != http1::framing::close;
        link->write(http1::serialize(head));
    }

    void write_event(
        const std::string& id, int number, const event::connection_ptr& link) {
        const bool in_chunks = !ends_with_connection(id);
        if (number > events_of_a_stream) {
            if (in_chunks)
                link->write(std::string(http1::last_chunk));
            else
                link->close();
            return;
        }
        const std::string event = event_of(id, number, options_.version);
        link->write(in_chunks ? http1::chunk(event) : event);
        const base::milliseconds pause =
            pauses_after(id, number) ? options_.pause : base::milliseconds{0};
        after(options_.event_time + pause, [this, id, number, link] {
            write_event(id, number + 1, link);
        });
    }

    /// @return true if the stream of the request pauses after this event, the
    /// same one at all engines.
    static bool pauses_after(const std::string& id, int number) {
        const std::size_t drawn = std::hash<std::string>{}(id);
        const auto event = static_cast<int>(
            drawn / streams_for_a_pause % (events_of_a_stream - 1));
        return drawn % streams_for_a_pause == 0 && event + 1 == number;
    }

    void after(base::milliseconds delay, std::function<void()> action) {
        const std::uint64_t number = ++last_timer_;
        auto& timer = timers_[number];
        timer = std::make_unique<event::timer>(owner_);
        timer->start(delay, [this, number, action = std::move(action)] {
            action();
            owner_.post([this, number] { timers_.erase(number); });
        });
    }

    event::loop& owner_;
    engine_options options_;
    upstream::connection_pool pool_;
    event::timer beat_timer_;
    relay::tests::scripted_server server_;
    std::unique_ptr<upstream::call> call_;
    int ledger_;
    bool draining_ = false;
    int row_write_status_ = 0; ///< Of the last write of its row.
    bool says_leaving_ = false;
    bool advertises_limit_ = false;
    base::steady_time busy_until_{};
    /// When the store took its word that it leaves.
    std::optional<base::steady_time> leaving_known_;
    std::set<std::string> handles_;
    std::uint64_t last_timer_ = 0;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> timers_;
};

} // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine line("Stand-in for a server of the platform", ' ', "1");
    const auto text = [&line](const char* name, const char* what, bool needed) {
        return std::make_unique<TCLAP::ValueArg<std::string>>(
            "", name, what, needed, "", "text", line);
    };
    const auto store = text("store", "address of the store", true);
    const auto id = text("id", "its ID", true);
    const auto service = text("service", "its service", true);
    const auto phase = text("phase", "prefill or decode", false);
    const auto ledger = text("ledger", "file that takes the runs", true);
    const auto limit =
        text("limit", "rate limit to advertise, in requests per second", false);
    const auto version = text("software", "version of its software", false);
    TCLAP::ValueArg<int> event_time(
        "", "event-ms", "milliseconds between two events", false, 12, "MS",
        line);
    TCLAP::ValueArg<int> pause(
        "", "pause-ms", "pause in some streams, in milliseconds", false, 0,
        "MS", line);
    const auto address = text("address", "where instances reach it", true);
    TCLAP::SwitchArg without_length(
        "", "without-length",
        "every second answer has neither a length nor chunks", line);
    line.parse(argc, argv);
    const auto where = base::parse_address(store->getValue());
    const auto advertised = base::parse_address(address->getValue());
    if (!where.ok() || !advertised.ok())
        return 2;
    event::loop owner;
    engine_stand_in engine(
        owner, {*where, id->getValue(), service->getValue(), phase->getValue(),
                ledger->getValue(), limit->getValue(), version->getValue(),
                base::milliseconds(event_time.getValue()),
                base::milliseconds(pause.getValue()), *advertised,
                without_length.getValue()});
    if (!engine.open())
        return 1;
    owner.run();
    return 0;
}
