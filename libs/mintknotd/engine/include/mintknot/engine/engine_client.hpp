/// @file
/// The interface to model engines.
#ifndef MINTKNOT_ENGINE_ENGINE_CLIENT_HPP
#define MINTKNOT_ENGINE_ENGINE_CLIENT_HPP

#include <mintknot/base/refusal.hpp>
#include <mintknot/engine/orders.hpp>
#include <mintknot/net/http_client.hpp>

#include <absl/status/statusor.h>

#include <functional>

namespace mintknot::engine {

/// Receives the events of a stream. @return false to leave the stream.
using event_receiver = std::function<bool(const decode_event&)>;

/// Orders to engines at given addresses. Implementations are thin adapters.
/// Calls block; safe from every thread. Refusals carry the verdict.
class engine_client {
public:
    engine_client() = default;
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    virtual ~engine_client() = default;

    /// Prefills a prompt and waits for the end.
    /// @param timeout longest wait.
    virtual base::outcome<prefill_result> prefill(
        const base::address& where, const prefill_order& order,
        base::milliseconds timeout, net::call_canceller& canceller) = 0;

    /// Starts a decode and hands on its events until the end.
    /// @param idle_timeout longest wait for the next event.
    /// @return the end event, or why the stream broke.
    virtual base::outcome<decode_event> decode(
        const base::address& where, const decode_order& order,
        base::milliseconds idle_timeout, const event_receiver& on_event,
        net::call_canceller& canceller) = 0;

    /// Reads a stream that the engine already holds, from an offset on.
    virtual base::outcome<decode_event> resume(
        const base::address& where, const std::string& attempt,
        std::uint64_t offset, base::milliseconds idle_timeout,
        const event_receiver& on_event, net::call_canceller& canceller) = 0;

    /// Frees all that an attempt holds.
    /// @return Ok if the engine confirmed that it holds nothing of it.
    virtual absl::Status
    cancel(const base::address& where, const std::string& attempt) = 0;

    virtual absl::StatusOr<load_report> report(const base::address& where) = 0;
};

} // namespace mintknot::engine

#endif
