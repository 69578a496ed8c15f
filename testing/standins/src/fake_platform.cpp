#include <mintknot/standins/fake_platform.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/net/http_server.hpp>
#include <mintknot/standins/platform_tables.hpp>

#include <httplib.h>

#include <deque>
#include <thread>

namespace mintknot::standins {

namespace {

using base::field_or;
using base::steady_clock;
using nlohmann::json;

constexpr std::size_t most_connections = 256;
constexpr std::size_t default_page = 1000;
/// Bytes of weights that are sent in one piece.
constexpr std::size_t weight_piece = 64U * 1024;

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

struct instance_version {
    base::steady_time since;
    json instances = json::array();
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
    std::map<std::string, std::string> objects;
    std::deque<instance_version> instance_versions;
    net::http_server server;

    void add_routes();
    void add_control_routes();
    bool admit(rate_limit& limit, httplib::Response& response);
    bool take_lost_answer();
    void commit(const httplib::Request&, httplib::Response&);
    json shown_instances();
    void send_weights(const httplib::Request&, httplib::Response&) const;
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

json fake_platform::impl::shown_instances() {
    const std::lock_guard lock(mutex);
    const auto until = steady_clock::now() - options.instance_list_lag;
    while (instance_versions.size() > 1 && instance_versions[1].since <= until)
        instance_versions.pop_front();
    if (instance_versions.empty() || instance_versions.front().since > until)
        return json::array();
    return instance_versions.front().instances;
}

/// Sends the asked number of bytes at the configured rate.
void fake_platform::impl::send_weights(
    const httplib::Request& request, httplib::Response& response) const {
    const std::string text = request.get_param_value("bytes");
    const bool number =
        !text.empty() && text.size() < 12 &&
        text.find_first_not_of("0123456789") == std::string::npos;
    const std::size_t total = number ? std::stoull(text) : weight_piece;
    const double rate = options.weight_bytes_per_second;
    response.set_content_provider(
        total, "application/octet-stream",
        [rate](std::size_t, std::size_t left, httplib::DataSink& sink) {
            const std::string part(std::min(left, weight_piece), 'w');
            std::this_thread::sleep_for(std::chrono::duration<double>(
                static_cast<double>(part.size()) / rate));
            return sink.write(part.data(), part.size());
        });
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
    routes.Put("/v1/objects/(.+)", [this](const request& in, response& out) {
        if (!admit(writes, out))
            return;
        const std::lock_guard lock(mutex);
        objects[in.matches[1]] = in.body;
        out.status = 200;
    });
    routes.Get("/v1/objects/(.+)", [this](const request& in, response& out) {
        if (!admit(reads, out))
            return;
        const std::lock_guard lock(mutex);
        const auto position = objects.find(in.matches[1]);
        if (position == objects.end())
            return answer(out, 404, {{"error", "no such object"}});
        out.set_content(position->second, "application/octet-stream");
    });
    routes.Get("/v1/weights/(.+)", [this](const request& in, response& out) {
        send_weights(in, out);
    });
    routes.Get("/v1/instances", [this](const request&, response& out) {
        if (admit(reads, out))
            answer(out, 200, {{"instances", shown_instances()}});
    });
}

void fake_platform::impl::add_control_routes() {
    httplib::Server& routes = server.routes();
    using request = httplib::Request;
    using response = httplib::Response;
    routes.Put("/control/instances", [this](const request& in, response& out) {
        const json body = json::parse(in.body, nullptr, false);
        const std::lock_guard lock(mutex);
        instance_versions.push_back(
            {steady_clock::now(), field_or(body, "instances", json::array())});
        out.status = 200;
    });
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
