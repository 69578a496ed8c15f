#include <mintknot/entry/request_registry.hpp>

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <unordered_map>

namespace mintknot::entry {

namespace {

constexpr base::milliseconds limit_retry{500};

/// "organisation/key", with a separator that names cannot contain.
std::string key_of(const completion_call& call) {
    return call.organisation + "/" + call.idempotency_key;
}

} // namespace

struct request_registry::impl {
    explicit impl(const registry_options& chosen)
        : options(chosen) {}

    const registry_options options;
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::shared_ptr<live_request>> requests;
    std::size_t open = 0;
    std::map<std::string, std::size_t> open_by_organisation;
    std::map<std::string, std::weak_ptr<live_request>> by_key;

    std::optional<base::refusal>
    limit_reached(const completion_call& call, std::size_t most_for_one);
    void forget(const live_request& request);
};

std::optional<base::refusal> request_registry::impl::limit_reached(
    const completion_call& call, std::size_t most_for_one) {
    if (open >= options.most_open)
        return base::refusal{
            base::reason::too_many_open_requests,
            fmt::format("this instance has {} open requests", open),
            base::verdict::not_run, limit_retry};
    const std::size_t own = open_by_organisation[call.organisation];
    if (own >= most_for_one)
        return base::refusal{
            base::reason::organisation_limit,
            fmt::format("the organisation has {} open requests here", own),
            base::verdict::not_run, limit_retry};
    return std::nullopt;
}

void request_registry::impl::forget(const live_request& request) {
    const std::lock_guard lock(mutex);
    requests.erase(request.id());
    if (!request.call().idempotency_key.empty())
        by_key.erase(key_of(request.call()));
}

request_registry::request_registry(const registry_options& options)
    : impl_(std::make_unique<impl>(options)) {}

request_registry::~request_registry() = default;

base::outcome<std::shared_ptr<live_request>> request_registry::add(
    completion_call call, std::size_t most_open_for_organisation) {
    const std::lock_guard lock(impl_->mutex);
    if (!call.idempotency_key.empty()) {
        const auto known = impl_->by_key.find(key_of(call));
        if (known != impl_->by_key.end())
            if (auto earlier = known->second.lock())
                return earlier;
    }
    if (auto refused = impl_->limit_reached(call, most_open_for_organisation))
        return *std::move(refused);
    auto request = std::make_shared<live_request>(std::move(call));
    ++impl_->open;
    ++impl_->open_by_organisation[request->call().organisation];
    if (!request->call().idempotency_key.empty())
        impl_->by_key[key_of(request->call())] = request;
    impl_->requests.emplace(request->id(), request);
    return request;
}

std::shared_ptr<live_request>
request_registry::find(const std::string& id) const {
    const std::lock_guard lock(impl_->mutex);
    const auto found = impl_->requests.find(id);
    return found == impl_->requests.end() ? nullptr : found->second;
}

bool request_registry::knows_attempt(const std::string& attempt) const {
    const auto request = find(attempt.substr(0, attempt.rfind('.')));
    return request != nullptr && !request->ended();
}

std::size_t request_registry::open() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->open;
}

std::vector<std::shared_ptr<live_request>> request_registry::all() const {
    const std::lock_guard lock(impl_->mutex);
    std::vector<std::shared_ptr<live_request>> result;
    result.reserve(impl_->requests.size());
    for (const auto& [id, request] : impl_->requests)
        result.push_back(request);
    return result;
}

void request_registry::sweep() {
    for (const auto& request : all()) {
        const bool left = request->unread_for() > impl_->options.resume_grace;
        if (!left)
            continue;
        if (request->ended())
            impl_->forget(*request);
        else
            request->cancel(base::reason::caller_gone);
    }
}

void request_registry::note_ended(const live_request& request) {
    const std::lock_guard lock(impl_->mutex);
    --impl_->open;
    const auto position =
        impl_->open_by_organisation.find(request.call().organisation);
    if (--position->second == 0)
        impl_->open_by_organisation.erase(position);
}

} // namespace mintknot::entry
