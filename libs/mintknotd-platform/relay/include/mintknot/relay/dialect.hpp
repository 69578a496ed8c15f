/// @file
/// Interface between the relay and the wire protocol of callers and backend
/// servers.
#ifndef MINTKNOT_RELAY_DIALECT_HPP
#define MINTKNOT_RELAY_DIALECT_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/http1/message.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::relay {

/// A stream that a caller takes up after its connection broke.
struct resumption {
    /// ID of the request that brought the stream's first event; empty: the
    /// caller does not say.
    std::string first_request;
    std::string last_event; ///< ID of the last event that the caller has.
};

/// What the head of a caller's request says about the request.
struct request_metadata {
    std::string id; ///< Empty if the caller sent none.
    std::optional<base::milliseconds> deadline; ///< Counted from arrival.
    double prompt_tokens = 0.0;
    double max_output_tokens = 0.0;
    std::optional<double> expected_output_tokens; ///< The caller's estimate.
    bool declares_tokens = false; ///< Any token count was given.
    /// The caller's API key; empty if the request has no key or several.
    std::optional<std::string> key;
    /// IDs of the parts of the prompt, in order; the last is its own.
    std::vector<std::string> prompt_parts;
    std::optional<resumption> resumes; ///< Empty: the stream is a new one.
};

/// Which part of a request an outgoing call runs.
enum class call_stage {
    whole,   ///< Run the whole request.
    prefill, ///< Only process the prompt and keep its KV cache.
};

/// What the router adds to a request that it forwards to a server.
struct call_parameters {
    std::string server_id; ///< Only this server may run the call.
    base::milliseconds time_left{0};
    call_stage stage = call_stage::whole;
    std::string prefill_result; ///< Location of the KV cache; may be empty.
    std::optional<std::uint64_t>
        resume_after;         ///< ID of the last event forwarded.
    bool strip_key = false;   ///< Remove the caller's key from the request.
    std::string organisation; ///< Owner of the key; empty if there is none.
    /// How urgent the request is for an engine, 0 being the most urgent; see
    /// policy::engine_urgency(). Not sent if all have the same.
    std::optional<int> urgency{};
};

/// What the head of a server's answer says about the answer.
struct answer_metadata {
    std::string request_id;
    bool not_executed = false; ///< The server states that nothing has run.
    /// The server states that it could not read the request, whose ID it does
    /// not know.
    bool request_unreadable = false;
    bool has_signature = false;      ///< An answer without one is invalid.
    bool has_content_coding = false; ///< The router never requests one.
    bool event_stream = false;
    std::string server_id; ///< Set only in answers to health checks.
};

/// What the head of an answer says about the state of the server.
struct server_notice {
    bool leaving = false; ///< The server accepts no new requests.
    /// A backoff that the server asks for: how long to send it no requests.
    std::optional<base::milliseconds> rest;
    /// Requests per second that the server accepts from all instances together.
    std::optional<double> limit;
    bool malformed_limit = false; ///< The limit field could not be parsed.
    /// The answer belongs to a caller's request. Answers to other calls may
    /// omit the limit, so a missing limit there does not end it.
    bool answers_request = false;
};

/// An order to an engine to change its phase.
struct phase_order {
    traffic::engine_phase to = traffic::engine_phase::none;
    std::string holder;      ///< Who holds the lease under which it is sent.
    std::uint64_t fence = 0; ///< Fencing token of that lease.
    /// Must equal the count that the engine reports; otherwise the engine
    /// ignores the order.
    std::int64_t orders_taken = 0;
};

/// An engine's answer to a status request.
struct engine_report {
    traffic::engine_phase phase = traffic::engine_phase::none;
    std::int64_t orders_taken = 0;
    bool busy = false;      ///< Still carrying out an order.
    bool leaving = false;   ///< The engine accepts no new requests.
    std::uint64_t born = 0; ///< See traffic::server.
};

/// A call that the router makes on its own account.
struct own_call {
    http1::request_head head;
    std::string body;
};

/// The result of a prefill call, kept at the engine under a handle.
struct prefill_result {
    std::string handle;
    double tokens = 0.0;
};

/// Reads and writes the header fields and small bodies of one wire protocol.
/// Implementations are stateless and contain no routing policy.
class dialect {
public:
    virtual ~dialect() = default;

    virtual request_metadata
    read_request(const http1::request_head& head) const = 0;
    virtual answer_metadata
    read_answer(const http1::response_head& head) const = 0;
    virtual server_notice
    read_notice(const http1::response_head& head) const = 0;
    /// @return nullopt if the body is not a valid prefill result.
    virtual std::optional<prefill_result>
    read_prefill(std::string_view body) const = 0;

    /// @return the head of the caller's request as sent to a server: with the
    /// fields that the router adds, and without any field from the caller that
    /// only the router may set.
    virtual http1::request_head forwarded_request(
        const http1::request_head& caller,
        const call_parameters& terms) const = 0;
    /// @return the request that makes a server free a kept prefill result.
    virtual http1::request_head release_request(
        const std::string& handle, const std::string& server_id) const = 0;
    /// @return the health check request for a server.
    virtual http1::request_head health_request(
        const std::string& path, const std::string& server_id) const = 0;
    /// @return the request that asks an engine for its engine_report.
    virtual http1::request_head
    report_request(const std::string& server_id) const = 0;
    /// @return nullopt if the body is not a valid report.
    virtual std::optional<engine_report>
    read_report(std::string_view body) const = 0;
    /// @return the call that sends a phase order to an engine.
    virtual own_call order_call(
        const phase_order& value, const std::string& server_id) const = 0;
    /// @return the location of a kept result, in the format of
    /// call_parameters::prefill_result.
    virtual std::string result_location(
        const std::string& server_address, const std::string& handle) const = 0;
    /// @return the header fields of an answer that the router generates.
    virtual http1::field_list own_answer(
        const std::string& request_id,
        std::optional<base::milliseconds> retry_after) const = 0;
};

/// @return true if an answer may be that to a call of the router's own, such as
/// a health check. Surplus answers to requests bear the ID of a request.
inline bool
answers_own_call(const dialect& protocol, const http1::response_head& head) {
    return protocol.read_answer(head).request_id.empty();
}

} // namespace mintknot::relay

#endif
