/// @file
/// Distributed rate limits for servers that advertise how many requests per
/// second they accept from all instances together.
///
/// The rate is divided equally among token buckets on the instances that hold
/// tokens for the server. A bucket holds at most one token, and the number of
/// holders is bounded (max_token_holders()) to bound the burst. An unused token
/// can be lent for a short time to a peer that needs it, which keeps the total
/// rate unchanged. Where schedulers place the requests, only the server's
/// scheduler holds tokens.
/// Inputs: the most recent answer of the server to any instance, as reported by
/// peers; the hosts that are reachable and not leaving.
/// Prevents overload of a server by the sum of all instances.
/// Log events: `server_limited`, `server_limit_ended`.
#ifndef MINTKNOT_POLICY_SERVER_LIMIT_HPP
#define MINTKNOT_POLICY_SERVER_LIMIT_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace mintknot::policy {

/// Higher rates, in requests per second, are treated as no limit.
inline constexpr double max_limited_rate = 1e6;

/// How long a limit, or the fact that it has ended, is kept without a new
/// answer. An idle server sends no answers; dropping its limit early would let
/// all instances send at once.
inline constexpr base::milliseconds limit_lifetime{60000};

/// State of one server's limit on this instance.
struct server_limit {
    /// Requests per second; empty if the limit has ended.
    std::optional<double> rate;
    base::steady_time answered_at{}; ///< Time of the latest answer.
    bool from_own_answer = false;    ///< False: reported by a peer.
    double share = 0.0;  ///< Of this instance, in requests per second.
    double tokens = 0.0; ///< Bucket level at `refilled_at`.
    base::steady_time refilled_at{};
    base::steady_time borrowed_until{}; ///< Expiry of a borrowed token.
    /// When a request on this instance last found no token.
    base::steady_time last_shortage{};
};

/// By server ID.
struct limit_view {
    std::unordered_map<std::string, server_limit> servers;
};

/// Records the limit of an answer received at `answered_at`, here or by a peer.
/// Ignored unless newer than the known answer.
/// @return true if the limit has changed.
bool note_limit(
    limit_view& view, const std::string& id, std::optional<double> rate,
    base::steady_time answered_at, base::steady_time now);

/// Records an answer that this instance has received. An answer without a limit
/// ends it only after a short delay, as answers can arrive out of order.
/// @return true if the limit has changed.
bool note_limit_from_answer(
    limit_view& view, const std::string& id, std::optional<double> rate,
    base::steady_time now);

/// @return how many instances may hold tokens of a limit of `rate` requests per
/// second.
std::size_t max_token_holders(double rate);

/// Sets this instance's share of the rate.
/// @param holders number of token holders, or 0 if this instance is not one.
void set_token_holders(
    limit_view& view, const std::string& id, std::size_t holders,
    base::steady_time now);

/// @return the number of servers that have a limit.
std::size_t count_limited_servers(const limit_view& view);

/// @return the server's limit in requests per second; empty if it has none.
std::optional<double> limit_of(const limit_view& view, const std::string& id);

/// @return true if a request may be sent to the server: it is not limited, or a
/// token is available.
bool has_token(
    const limit_view& view, const std::string& id, base::steady_time now);

/// Consumes a token for a request that is placed on the server.
void take_token(limit_view& view, const std::string& id, base::steady_time now);

/// Records that no token was available for a request.
void note_token_shortage(
    limit_view& view, const std::string& id, base::steady_time now);

/// @return true if recent requests found no token and none is available now.
bool needs_borrowed_token(
    const limit_view& view, const std::string& id, base::steady_time now);

/// Removes a token to lend it to a peer.
/// @return false if none is available or local requests need it.
bool lend_token(limit_view& view, const std::string& id, base::steady_time now);

/// Adds a token lent by a peer. It expires if it is not used in time.
void add_borrowed_token(
    limit_view& view, const std::string& id, base::steady_time now);

/// @return time until a token is available; zero if the server is not limited.
base::milliseconds time_until_token(
    const limit_view& view, const std::string& id, base::steady_time now);

/// Removes limits without a new answer for limit_lifetime.
void expire_limits(limit_view& view, base::steady_time now);

} // namespace mintknot::policy

#endif
