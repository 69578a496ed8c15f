#include "soak_clients.hpp"

#include <mintknot/upstream/call.hpp>

#include <fmt/format.h>

#include <map>
#include <random>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds request_limit{6000};
/// One caller in so many leaves early, within this time.
constexpr std::size_t one_leaves_in = 12;
constexpr std::size_t longest_stay_ms = 200;

std::string_view path_of(request_kind kind) {
    switch (kind) {
    case request_kind::safe:
        return "/safe/x";
    case request_kind::unsafe:
        return "/unsafe/x";
    case request_kind::stream:
        return "/stream/x";
    case request_kind::resumable:
        return "/resumable/x";
    }
    return "/";
}

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
                const std::uint64_t sent = send(
                    static_cast<request_kind>(draw(4)), draw(entries.size()),
                    {});
                if (draw(one_leaves_in) == 0)
                    leave_early(
                        sent, base::milliseconds(draw(longest_stay_ms)));
                next(caller, pause);
            });
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

    std::uint64_t send_to(
        request_kind kind, const std::string& path, std::size_t entry,
        const std::string& mark,
        std::function<void(const caller_record&)> on_record) {
        const std::uint64_t number = ++last;
        auto& at = exchanges[number];
        at = std::make_unique<exchange>(owner);
        at->record.id = fmt::format("r{}", number);
        at->record.kind = kind;
        at->record.instance = entry;
        at->record.mark = mark;
        at->record.sent = owner.now();
        at->on_record = std::move(on_record);
        upstream::call_request request;
        request.head.method = "POST";
        request.head.target = path;
        request.head.fields = {
            {"Host", "soak.example"},
            {"X-Mintknot-Request-Id", at->record.id},
            {"X-Mintknot-Deadline-Ms", "4000"},
            {"X-Mintknot-Token-Count", "500,50"}};
        request.body =
            std::make_shared<const std::string>(mark.empty() ? "hello" : mark);
        exchange* raw = at.get();
        at->limit.start(request_limit, [this, number] { finish(number); });
        at->call = upstream::call::start(
            pool, {base::to_string(entries[entry]), entries[entry]},
            std::move(request), {},
            {nullptr,
             [raw](http1::response_head& head) {
                 raw->record.status = head.status;
                 raw->record.retry_after =
                     http1::find_field(head.fields, "Retry-After") != nullptr;
             },
             [raw](std::string_view piece) { raw->record.body.append(piece); },
             [this, raw, number] {
                 raw->record.whole = true;
                 finish(number);
             },
             [this, raw, number](upstream::call_failure why) {
                 raw->record.unanswered = raw->record.status == 0 &&
                                          why == upstream::call_failure::ended;
                 finish(number);
             }});
        return number;
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
    std::uint64_t last = 0;
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

void soak_clients::send(
    request_kind kind, std::size_t entry,
    std::function<void(const caller_record&)> on_record) {
    impl_->send(kind, entry, std::move(on_record));
}

} // namespace mintknot::soak
