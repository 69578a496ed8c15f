#include <mintknot/policy/server_limit.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Token holders of a server in addition to one per request per second. Each
/// holder can send one request at once, so this bounds the burst.
constexpr double base_token_holders = 4.0;
/// Capacity of a bucket; bounds the burst after an idle time.
constexpr double max_tokens = 1.0;
/// Delay before an answer without a limit ends it; see
/// note_limit_from_answer().
constexpr base::milliseconds end_delay{500};
/// How long a request that found no token counts as local demand.
constexpr base::milliseconds shortage_lifetime{500};
/// Lifetime of a borrowed token. Without expiry, borrowed tokens could
/// accumulate across peers and exceed the limit in a burst.
constexpr base::milliseconds borrowed_token_lifetime{400};
/// Upper bound of time_until_token(), as the rate can be zero.
constexpr base::milliseconds max_token_wait{60000};
/// Lowest total rate, in requests per second. A server with a limit of zero
/// still gets requests, as only an answer can show that the limit has changed.
constexpr double min_request_rate = 0.1;

server_limit* find_active(limit_view& view, const std::string& id) {
    const auto found = view.servers.find(id);
    return found == view.servers.end() || !found->second.rate ? nullptr
                                                              : &found->second;
}

const server_limit* find_active(const limit_view& view, const std::string& id) {
    const auto found = view.servers.find(id);
    return found == view.servers.end() || !found->second.rate ? nullptr
                                                              : &found->second;
}

double tokens_at(const server_limit& limit, base::steady_time now) {
    const std::chrono::duration<double> passed = now - limit.refilled_at;
    return std::min(max_tokens, limit.tokens + limit.share * passed.count());
}

bool is_token_available(const server_limit& limit, base::steady_time now) {
    return limit.borrowed_until > now || tokens_at(limit, now) >= max_tokens;
}

void refill(server_limit& limit, base::steady_time now) {
    limit.tokens = tokens_at(limit, now);
    limit.refilled_at = now;
}

} // namespace

bool note_limit(
    limit_view& view, const std::string& id, std::optional<double> rate,
    base::steady_time answered_at, base::steady_time now) {
    if (rate && *rate > max_limited_rate)
        rate.reset();
    const auto [entry, added] = view.servers.try_emplace(id);
    server_limit& limit = entry->second;
    if (!added && answered_at <= limit.answered_at)
        return false;
    limit.answered_at = answered_at;
    limit.from_own_answer = false;
    const bool changed = limit.rate != rate;
    if (!limit.rate) {
        limit.tokens = 0.0;
        limit.share = 0.0;
        limit.refilled_at = now;
    }
    limit.rate = rate;
    return changed;
}

bool note_limit_from_answer(
    limit_view& view, const std::string& id, std::optional<double> rate,
    base::steady_time now) {
    if (rate && *rate > max_limited_rate)
        rate.reset();
    if (!rate) {
        const server_limit* limit = find_active(view, id);
        if (limit == nullptr || now - limit->answered_at <= end_delay)
            return false;
    }
    const bool changed = note_limit(view, id, rate, now, now);
    view.servers[id].from_own_answer = true;
    return changed;
}

std::size_t max_token_holders(double rate) {
    return static_cast<std::size_t>(base_token_holders + std::floor(rate));
}

void set_token_holders(
    limit_view& view, const std::string& id, std::size_t holders,
    base::steady_time now) {
    server_limit* limit = find_active(view, id);
    if (limit == nullptr)
        return;
    refill(*limit, now);
    if (holders == 0) {
        limit->share = 0.0;
        limit->tokens = 0.0;
        return;
    }
    limit->share =
        std::max(*limit->rate, min_request_rate) / static_cast<double>(holders);
}

std::size_t count_limited_servers(const limit_view& view) {
    return static_cast<std::size_t>(std::count_if(
        view.servers.begin(), view.servers.end(),
        [](const auto& item) { return item.second.rate.has_value(); }));
}

std::optional<double> limit_of(const limit_view& view, const std::string& id) {
    const server_limit* limit = find_active(view, id);
    return limit == nullptr ? std::nullopt : limit->rate;
}

bool has_token(
    const limit_view& view, const std::string& id, base::steady_time now) {
    const server_limit* limit = find_active(view, id);
    return limit == nullptr || is_token_available(*limit, now);
}

void take_token(
    limit_view& view, const std::string& id, base::steady_time now) {
    server_limit* limit = find_active(view, id);
    if (limit == nullptr)
        return;
    if (limit->borrowed_until > now) {
        limit->borrowed_until = {};
        return;
    }
    refill(*limit, now);
    limit->tokens = std::max(0.0, limit->tokens - 1.0);
}

void note_token_shortage(
    limit_view& view, const std::string& id, base::steady_time now) {
    server_limit* limit = find_active(view, id);
    if (limit != nullptr)
        limit->last_shortage = now;
}

bool needs_borrowed_token(
    const limit_view& view, const std::string& id, base::steady_time now) {
    const server_limit* limit = find_active(view, id);
    return limit != nullptr &&
           now - limit->last_shortage <= shortage_lifetime &&
           !is_token_available(*limit, now);
}

bool lend_token(
    limit_view& view, const std::string& id, base::steady_time now) {
    server_limit* limit = find_active(view, id);
    if (limit == nullptr || now - limit->last_shortage <= shortage_lifetime ||
        tokens_at(*limit, now) < max_tokens)
        return false;
    refill(*limit, now);
    limit->tokens -= 1.0;
    return true;
}

void add_borrowed_token(
    limit_view& view, const std::string& id, base::steady_time now) {
    server_limit* limit = find_active(view, id);
    if (limit != nullptr)
        limit->borrowed_until = now + borrowed_token_lifetime;
}

base::milliseconds time_until_token(
    const limit_view& view, const std::string& id, base::steady_time now) {
    const server_limit* limit = find_active(view, id);
    if (limit == nullptr)
        return base::milliseconds{0};
    if (is_token_available(*limit, now))
        return base::milliseconds{0};
    const double missing = max_tokens - tokens_at(*limit, now);
    // An instance without a share can borrow from token holders.
    const double rate =
        limit->share > 0.0
            ? limit->share
            : *limit->rate /
                  static_cast<double>(max_token_holders(*limit->rate));
    const std::chrono::duration<double> longest = max_token_wait;
    const std::chrono::duration<double> wait(
        rate * longest.count() > missing ? missing / rate : longest.count());
    return std::chrono::ceil<base::milliseconds>(wait);
}

void expire_limits(limit_view& view, base::steady_time now) {
    std::erase_if(view.servers, [now](const auto& item) {
        return now - item.second.answered_at > limit_lifetime;
    });
}

} // namespace mintknot::policy
