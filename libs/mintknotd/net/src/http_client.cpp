#include <mintknot/net/http_client.hpp>

#include <httplib.h>

#include <algorithm>
#include <map>
#include <mutex>

namespace mintknot::net {

namespace {

/// Idle connections kept for one address; more are closed after their call.
constexpr std::size_t most_idle = 256;
/// Servers close idle connections after some seconds. Giving ours up earlier
/// keeps calls from starting on a connection that is just being closed.
constexpr std::chrono::seconds idle_time{3};

struct idle_connection {
    std::unique_ptr<httplib::Client> client;
    base::steady_time since;
};

bool equal_names(std::string_view left, std::string_view right) {
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
}

/// Only a failed connection proves that no byte has gone out.
base::verdict verdict_of(httplib::Error error) {
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
        return base::verdict::not_run;
    default:
        return base::verdict::may_have_run;
    }
}

httplib::Request to_library(const http_request& request) {
    httplib::Request result;
    result.method = request.method;
    result.path = request.path;
    for (const http_header& header : request.headers)
        result.headers.emplace(header.name, header.value);
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT") {
        result.body = request.body;
        result.headers.emplace("Content-Type", request.content_type);
    }
    return result;
}

/// Hands the body of a success on piece by piece; that of a failure is kept.
void stream_body(
    httplib::Request& call, int& head_status, http_response& answer,
    const http_client::data_receiver& on_data) {
    call.response_handler = [&head_status](const httplib::Response& head) {
        head_status = head.status;
        return true;
    };
    call.content_receiver = [&](const char* data, size_t length, uint64_t,
                                uint64_t) {
        if (head_status >= 200 && head_status < 300)
            return on_data(std::string_view(data, length));
        answer.body.append(data, length);
        return true;
    };
}

void take_result(
    httplib::Response& result, http_response& answer, bool with_body) {
    answer.status = result.status;
    answer.run = base::verdict::ran;
    if (with_body)
        answer.body = std::move(result.body);
    for (auto& [name, value] : result.headers)
        answer.headers.push_back({name, value});
}

} // namespace

std::string http_response::header(std::string_view name) const {
    const auto position = std::find_if(
        headers.begin(), headers.end(),
        [name](const http_header& h) { return equal_names(h.name, name); });
    return position == headers.end() ? std::string{} : position->value;
}

struct call_canceller::impl {
    mutable std::mutex mutex;
    httplib::Client* running = nullptr;
    bool cancelled = false;
};

call_canceller::call_canceller()
    : impl_(std::make_unique<impl>()) {}
call_canceller::~call_canceller() = default;

void call_canceller::cancel() {
    const std::lock_guard lock(impl_->mutex);
    impl_->cancelled = true;
    if (impl_->running != nullptr)
        impl_->running->stop();
}

bool call_canceller::cancelled() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->cancelled;
}

struct http_client::impl {
    std::mutex mutex;
    std::map<base::address, std::vector<idle_connection>> idle;

    std::unique_ptr<httplib::Client> take(const base::address& server) {
        {
            const std::lock_guard lock(mutex);
            auto& connections = idle[server];
            const auto now = base::steady_clock::now();
            // The newest connection is last; if that is too old, all are.
            if (!connections.empty() &&
                now - connections.back().since < idle_time) {
                auto client = std::move(connections.back().client);
                connections.pop_back();
                return client;
            }
            connections.clear();
        }
        auto client =
            std::make_unique<httplib::Client>(server.host, server.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_decompress(false);
        client->set_url_encode(false);
        return client;
    }

    void give_back(
        const base::address& server, std::unique_ptr<httplib::Client> client) {
        const std::lock_guard lock(mutex);
        auto& connections = idle[server];
        if (connections.size() < most_idle)
            connections.push_back(
                {std::move(client), base::steady_clock::now()});
    }

    /// @return false if the canceller has been used already.
    static bool
    register_with(call_canceller* canceller, httplib::Client* client) {
        if (canceller == nullptr)
            return true;
        const std::lock_guard lock(canceller->impl_->mutex);
        if (canceller->impl_->cancelled)
            return false;
        canceller->impl_->running = client;
        return true;
    }

    static void unregister(call_canceller* canceller) {
        if (canceller == nullptr)
            return;
        const std::lock_guard lock(canceller->impl_->mutex);
        canceller->impl_->running = nullptr;
    }

    http_response send(
        const base::address& server, const http_request& request,
        const data_receiver* on_data, call_canceller* canceller);
};

http_response http_client::impl::send(
    const base::address& server, const http_request& request,
    const data_receiver* on_data, call_canceller* canceller) {
    auto client = take(server);
    client->set_connection_timeout(request.connect_timeout);
    client->set_read_timeout(request.read_timeout);
    client->set_write_timeout(request.read_timeout);

    httplib::Request call = to_library(request);
    http_response answer;
    int head_status = 0;
    if (on_data != nullptr)
        stream_body(call, head_status, answer, *on_data);
    if (!register_with(canceller, client.get())) {
        answer.error = "cancelled before it was sent";
        return answer;
    }
    httplib::Response result;
    httplib::Error error = httplib::Error::Success;
    const bool done = client->send(call, result, error);
    unregister(canceller);
    if (!done) {
        answer.run = verdict_of(error);
        answer.error = httplib::to_string(error);
        if (head_status != 0)
            answer.run = base::verdict::may_have_run;
        return answer;
    }
    take_result(result, answer, on_data == nullptr);
    if (!equal_names(result.get_header_value("Connection"), "close"))
        give_back(server, std::move(client));
    return answer;
}

http_client::http_client()
    : impl_(std::make_unique<impl>()) {}
http_client::~http_client() = default;

http_response http_client::call(
    const base::address& server, const http_request& request,
    call_canceller* canceller) {
    return impl_->send(server, request, nullptr, canceller);
}

http_response http_client::stream(
    const base::address& server, const http_request& request,
    const data_receiver& on_data, call_canceller* canceller) {
    return impl_->send(server, request, &on_data, canceller);
}

} // namespace mintknot::net
