#include "soak_clients.hpp"

#include <mintknot/upstream/call.hpp>

#include <fmt/format.h>

#include <map>
#include <random>

namespace mintknot::soak {

namespace {

constexpr base::milliseconds request_limit{6000};

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
                send(
                    static_cast<request_kind>(draw(4)), draw(entries.size()),
                    {});
                next(caller, pause);
            });
    }

    void send(
        request_kind kind, std::size_t entry,
        std::function<void(const caller_record&)> on_record) {
        const std::uint64_t number = ++last;
        auto& at = exchanges[number];
        at = std::make_unique<exchange>(owner);
        at->record.id = fmt::format("r{}", number);
        at->record.kind = kind;
        at->on_record = std::move(on_record);
        upstream::call_request request;
        request.head.method = "POST";
        request.head.target = path_of(kind);
        request.head.fields = {
            {"Host", "soak.example"},
            {"X-Mintknot-Request-Id", at->record.id},
            {"X-Mintknot-Deadline-Ms", "4000"},
            {"X-Mintknot-Token-Count", "500,50"}};
        request.body = std::make_shared<const std::string>("hello");
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
    }

    void finish(std::uint64_t number) {
        const auto found = exchanges.find(number);
        if (found == exchanges.end())
            return;
        const std::unique_ptr<exchange> done = std::move(found->second);
        exchanges.erase(found);
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

void soak_clients::send(
    request_kind kind, std::size_t entry,
    std::function<void(const caller_record&)> on_record) {
    impl_->send(kind, entry, std::move(on_record));
}

} // namespace mintknot::soak
