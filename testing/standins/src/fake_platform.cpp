#include <mintknot/standins/fake_platform.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/net/http_server.hpp>
#include <mintknot/standins/platform_tables.hpp>

#include <httplib.h>

#include <thread>

namespace mintknot::standins {

namespace {

using base::field_or;
using base::steady_clock;
using nlohmann::json;

constexpr std::size_t most_connections = 256;
constexpr std::size_t default_page = 1000;

void answer(httplib::Response& response, int status, const json& body) {
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

/// Counts calls in the running second.
class rate_limit {
public:
    explicit rate_limit(std::uint64_t per_second)
        : per_second_(per_second) {}

    bool allow() {
        const auto now = steady_clock::now();
        if (now - window_start_ >= std::chrono::seconds(1)) {
            window_start_ = now;
            used_ = 0;
        }
        return ++used_ <= per_second_;
    }
    std::uint64_t total() const noexcept { return total_; }
    void count() noexcept { ++total_; }

private:
    std::uint64_t per_second_;
    std::uint64_t used_ = 0;
    std::uint64_t total_ = 0;
    base::steady_time window_start_;
};

} // namespace

struct fake_platform::impl {
    explicit impl(const platform_options& chosen)
        : options(chosen)
        , writes(chosen.writes_per_second)
        , reads(chosen.reads_per_second)
        , server({.most_connections = most_connections}) {}

    const platform_options options;
    platform_tables tables;
    std::mutex mutex;
    rate_limit writes;
    rate_limit reads;
    platform_faults faults;
    net::http_server server;

    void add_routes();
    void add_control_routes();
    bool admit(rate_limit& limit, httplib::Response& response);
    bool take_lost_answer();
    void commit(const httplib::Request&, httplib::Response&);
};

/// Applies outage, delay and rate limit to a call.
bool fake_platform::impl::admit(
    rate_limit& limit, httplib::Response& response) {
    platform_faults now;
    bool allowed = false;
    {
        const std::lock_guard lock(mutex);
        now = faults;
        limit.count();
        allowed = limit.allow();
    }
    std::this_thread::sleep_for(now.delay);
    if (now.down) {
        answer(response, 503, {{"error", "the service is down"}});
        return false;
    }
    if (!allowed) {
        answer(response, 429, {{"error", "too many calls"}});
        return false;
    }
    return true;
}

bool fake_platform::impl::take_lost_answer() {
    const std::lock_guard lock(mutex);
    if (faults.lose_answers == 0)
        return false;
    --faults.lose_answers;
    return true;
}

void fake_platform::impl::commit(
    const httplib::Request& request, httplib::Response& response) {
    if (!admit(writes, response))
        return;
    const json body = json::parse(request.body, nullptr, false);
    const json list = field_or(body, "writes", json::array());
    if (!list.is_array() || list.empty())
        return answer(response, 400, {{"error", "no writes"}});
    const auto conflicts = tables.commit(list);
    if (take_lost_answer()) {
        // The write has taken effect; the caller sees a broken connection.
        response.set_content_provider(
            1, "application/json",
            [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
        return;
    }
    if (!conflicts.empty())
        return answer(response, 409, {{"conflicts", conflicts}});
    answer(response, 200, json::object());
}

void fake_platform::impl::add_routes() {
    httplib::Server& routes = server.routes();
    using request = httplib::Request;
    using response = httplib::Response;
    routes.Post("/v1/tables/commit", [this](const request& in, response& out) {
        commit(in, out);
    });
    routes.Get("/v1/tables/rows", [this](const request& in, response& out) {
        if (admit(reads, out))
            answer(out, 200, tables.read(in.get_param_value("key")));
    });
    routes.Get("/v1/tables/scan", [this](const request& in, response& out) {
        if (!admit(reads, out))
            return;
        const std::string limit = in.get_param_value("limit");
        const bool number =
            !limit.empty() &&
            limit.find_first_not_of("0123456789") == std::string::npos;
        const auto rows = tables.scan(
            in.get_param_value("prefix"), in.get_param_value("after"),
            number ? std::stoull(limit) : default_page);
        answer(out, 200, {{"rows", rows}});
    });
}

void fake_platform::impl::add_control_routes() {
    httplib::Server& routes = server.routes();
    using request = httplib::Request;
    using response = httplib::Response;
    routes.Post("/control/faults", [this](const request& in, response& out) {
        const json body = json::parse(in.body, nullptr, false);
        const std::lock_guard lock(mutex);
        faults.down = field_or(body, "down", false);
        faults.delay =
            base::milliseconds{field_or(body, "delay_ms", std::int64_t{0})};
        faults.lose_answers = field_or(body, "lose_answers", std::uint64_t{0});
        out.status = 200;
    });
    routes.Get("/control/counts", [this](const request&, response& out) {
        const std::lock_guard lock(mutex);
        answer(
            out, 200, {{"writes", writes.total()}, {"reads", reads.total()}});
    });
}

fake_platform::fake_platform(const platform_options& options)
    : impl_(std::make_unique<impl>(options)) {
    impl_->add_routes();
    impl_->add_control_routes();
}

fake_platform::~fake_platform() = default;

absl::StatusOr<std::uint16_t> fake_platform::start(const base::address& where) {
    return impl_->server.start(where);
}

void fake_platform::set_faults(const platform_faults& faults) {
    const std::lock_guard lock(impl_->mutex);
    impl_->faults = faults;
}

} // namespace mintknot::standins
