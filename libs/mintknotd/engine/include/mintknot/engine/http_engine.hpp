/// @file
/// Engines by HTTP and lines of JSON, as docs/STAND_INS.md writes it down.
#ifndef MINTKNOT_ENGINE_HTTP_ENGINE_HPP
#define MINTKNOT_ENGINE_HTTP_ENGINE_HPP

#include <mintknot/engine/engine_client.hpp>
#include <mintknot/net/http_client.hpp>

#include <nlohmann/json_fwd.hpp>

namespace mintknot::engine {

/// Adapter for engines that speak the dialect of docs/STAND_INS.md.
class http_engine final : public engine_client {
public:
    base::outcome<prefill_result> prefill(
        const base::address& where, const prefill_order& order,
        base::milliseconds timeout, net::call_canceller& canceller) override;
    base::outcome<decode_event> decode(
        const base::address& where, const decode_order& order,
        base::milliseconds idle_timeout, const event_receiver& on_event,
        net::call_canceller& canceller) override;
    base::outcome<decode_event> resume(
        const base::address& where, const std::string& attempt,
        std::uint64_t offset, base::milliseconds idle_timeout,
        const event_receiver& on_event,
        net::call_canceller& canceller) override;
    absl::Status
    cancel(const base::address& where, const std::string& attempt) override;
    absl::StatusOr<load_report> report(const base::address& where) override;

private:
    base::outcome<decode_event> read_stream(
        const base::address& where, const net::http_request& request,
        const event_receiver& on_event, net::call_canceller& canceller);
    absl::StatusOr<nlohmann::json>
    get_json(const base::address& where, std::string path);

    net::http_client client_;
};

} // namespace mintknot::engine

#endif
