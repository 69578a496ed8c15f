#include "soak_clients.hpp"

#include "caller_requests.hpp"

#include <mintknot/upstream/call.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds request_limit{6000};
/// One caller in so many leaves early, within this time.
constexpr std::size_t one_leaves_in = 12;
constexpr std::size_t longest_stay_ms = 200;
/// Requests that take up one stream, and the time before one if no answer
/// names another.
constexpr int max_take_ups = 4;
constexpr base::milliseconds take_up_pause{50};
constexpr base::milliseconds max_take_up_pause{1000};
constexpr int status_unavailable = 503;
constexpr int retries_of_a_request = 1;

} // namespace

struct soak_clients::impl {
    /// A request under way.
    struct exchange {
        explicit exchange(event::loop& owner)
            : limit(owner) {}
        caller_record record;
        std::unique_ptr<upstream::call> call;
        event::timer limit;
        std::function<void(const caller_record&)> on_record;
        bool of_load = true; ///< Counts among the records.
        /// Instances that the caller may still try, if this one reads nothing.
        int tries_left = 0;
    };

    impl(
        event::loop& loop, std::vector<base::address> where, std::uint64_t seed)
        : owner(loop)
        , entries(std::move(where))
        , pool(loop)
        , random(seed) {}

    std::size_t draw(std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    }

    void next(std::size_t caller, base::milliseconds pause) {
        if (stopped)
            return;
        timers[caller]->start(
            base::milliseconds(
                static_cast<std::int64_t>(draw(2 * pause.count()) + 1)),
            [this, caller, pause] {
                if (stopped)
                    return;
                const std::size_t entry = draw_entry();
                const auto kind = static_cast<request_kind>(draw(4));
                const std::uint64_t sent = send(kind, entry, {});
                exchanges.at(sent)->tries_left = retries;
                if (draw(one_leaves_in) == 0)
                    leave_early(
                        sent, base::milliseconds(draw(longest_stay_ms)));
                next(caller, pause);
            });
    }

    std::size_t draw_entry() {
        if (!skew || std::uniform_real_distribution<double>(0.0, 1.0)(random) >=
                         skew->share)
            return draw(entries.size());
        return skew->instances[draw(skew->instances.size())];
    }

    void leave_early(std::uint64_t number, base::milliseconds stay) {
        exchange& at = *exchanges.at(number);
        at.limit.start(stay, [this, number] {
            exchange& leaving = *exchanges.at(number);
            leaving.record.left_at = owner.now();
            leaving.call.reset();
            finish(number);
        });
    }

    std::uint64_t send(
        request_kind kind, std::size_t entry,
        std::function<void(const caller_record&)> on_record) {
        return send_to(
            kind, std::string(path_of(kind)), entry, {}, std::move(on_record));
    }

    /// Takes up the stream of a request that has ended, a moment later.
    void plan_take_up(const caller_record& broken) {
        const std::string stream =
            broken.resumes.empty() ? broken.id : broken.resumes;
        if (stopped || ++take_ups[stream] > max_take_ups)
            return;
        const base::milliseconds pause =
            broken.status == status_unavailable
                ? std::clamp(
                      broken.retry_after_time, take_up_pause, max_take_up_pause)
                : take_up_pause;
        timers.push_back(std::make_unique<event::timer>(owner));
        timers.back()->start(
            pause, [this, stream, last_event = last_event_of(broken)] {
                if (!stopped)
                    take_up(stream, last_event);
            });
    }

    void take_up(const std::string& stream, int last_event) {
        caller_record record;
        record.kind = request_kind::resumable;
        record.instance = draw(entries.size());
        record.resumes = stream;
        record.last_event = last_event;
        start_exchange(
            std::move(record), std::string(path_of(request_kind::resumable)),
            {});
    }

    std::uint64_t send_to(
        request_kind kind, const std::string& path, std::size_t entry,
        const std::string& mark,
        std::function<void(const caller_record&)> on_record) {
        caller_record record;
        record.kind = kind;
        record.instance = entry;
        record.mark = mark;
        return start_exchange(std::move(record), path, std::move(on_record));
    }

    std::uint64_t start_exchange(
        caller_record record, const std::string& path,
        std::function<void(const caller_record&)> on_record) {
        const std::uint64_t number = ++last;
        auto& at = exchanges[number];
        at = std::make_unique<exchange>(owner);
        at->record = std::move(record);
        at->record.id = fmt::format("r{}", number);
        if (is_generation(at->record.kind))
            at->record.first_part =
                fmt::format("a0a0a0a{}", static_cast<int>(at->record.kind));
        at->record.sent = owner.now();
        at->on_record = std::move(on_record);
        upstream::call_request request;
        request.head.method = "POST";
        request.head.target = path;
        if (both_versions && number % 2 == 0)
            request.head.minor_version = 0;
        request.head.fields =
            fields_of(at->record, draw(shared_documents), number);
        request.body = std::make_shared<const std::string>(
            at->record.mark.empty() ? "hello from " + at->record.id
                                    : at->record.mark);
        const base::address& entry = entries[at->record.instance];
        exchange* raw = at.get();
        upstream::call_options options;
        options.on_new_connection = skew.has_value();
        if (retries > 0)
            options.connect_timeout = request_limit;
        at->limit.start(request_limit, [this, number] { finish(number); });
        at->call = upstream::call::start(
            pool, {base::to_string(entry), entry}, std::move(request), options,
            {nullptr,
             [raw](http1::response_head& head) {
                 raw->record.status = head.status;
                 raw->record.retry_after =
                     http1::find_field(head.fields, "Retry-After") != nullptr;
                 raw->record.retry_after_time = retry_after_of(head);
             },
             [raw](std::string_view piece) { raw->record.body.append(piece); },
             [this, raw, number] {
                 raw->record.whole = true;
                 finish(number);
             },
             [this, raw, number](upstream::call_failure why) {
                 raw->record.unanswered = raw->record.status == 0 &&
                                          why == upstream::call_failure::ended;
                 if (raw->record.unanswered || upstream::nothing_was_sent(why))
                     try_elsewhere(*raw);
                 finish(number);
             }});
        return number;
    }

    void try_elsewhere(exchange& unread) {
        if (unread.tries_left == 0 || stopped || entries.size() < 2)
            return;
        unread.record.tried_again = true;
        const std::size_t step = 1 + draw(entries.size() - 1);
        const std::uint64_t sent = send(
            unread.record.kind,
            (unread.record.instance + step) % entries.size(), {});
        exchanges.at(sent)->tries_left = unread.tries_left - 1;
    }

    void finish(std::uint64_t number) {
        const auto found = exchanges.find(number);
        if (found == exchanges.end())
            return;
        const std::unique_ptr<exchange> done = std::move(found->second);
        exchanges.erase(found);
        done->record.ended = owner.now();
        if (done->of_load)
            records.push_back(done->record);
        if (takes_up && done->of_load && is_broken_stream(done->record))
            plan_take_up(done->record);
        if (done->on_record)
            done->on_record(done->record);
    }

    event::loop& owner;
    std::vector<base::address> entries;
    upstream::connection_pool pool;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<event::timer>> timers;
    std::map<std::uint64_t, std::unique_ptr<exchange>> exchanges;
    std::vector<caller_record> records;
    std::map<std::string, int> take_ups; ///< By stream.
    std::uint64_t last = 0;
    std::optional<connection_skew> skew;
    int retries = 0; ///< Of a request that no instance has read.
    bool takes_up = false;
    bool both_versions = false;
    bool stopped = false;
};

soak_clients::soak_clients(
    event::loop& owner, std::vector<base::address> entries, std::uint64_t seed)
    : impl_(std::make_unique<impl>(owner, std::move(entries), seed)) {}

soak_clients::~soak_clients() = default;

void soak_clients::start(std::size_t callers, base::milliseconds pause) {
    for (std::size_t i = 0; i < callers; ++i) {
        impl_->timers.push_back(std::make_unique<event::timer>(impl_->owner));
        impl_->next(i, pause);
    }
}

void soak_clients::take_up_streams() {
    impl_->takes_up = true;
}

void soak_clients::use_both_versions() {
    impl_->both_versions = true;
}

void soak_clients::try_again_elsewhere() {
    impl_->retries = retries_of_a_request;
}

void soak_clients::begin_skew(const connection_skew& skew) {
    impl_->skew = skew;
}

void soak_clients::end_skew() {
    impl_->skew.reset();
}

void soak_clients::stop() {
    impl_->stopped = true;
}

std::size_t soak_clients::open() const {
    return impl_->exchanges.size();
}

const std::vector<caller_record>& soak_clients::records() const {
    return impl_->records;
}

void soak_clients::probe(
    const std::string& path, std::size_t entry,
    std::function<void(int)> on_status) {
    const std::uint64_t number = impl_->send_to(
        request_kind::safe, path, entry, {},
        [on_status = std::move(on_status)](const caller_record& record) {
            on_status(record.status);
        });
    impl_->exchanges.at(number)->of_load = false;
}

void soak_clients::send_crashing(
    request_kind kind, std::size_t entry, const std::string& mark) {
    impl_->send_to(kind, std::string(path_of(kind)), entry, mark, {});
}

void soak_clients::send_crashing_part(
    request_kind kind, std::size_t entry, const std::string& part) {
    caller_record record;
    record.kind = kind;
    record.instance = entry;
    record.crashing_part = part;
    impl_->start_exchange(std::move(record), std::string(path_of(kind)), {});
}

void soak_clients::send(
    request_kind kind, std::size_t entry,
    std::function<void(const caller_record&)> on_record) {
    impl_->send(kind, entry, std::move(on_record));
}

} // namespace mintknot::soak
