/// @file
/// What the relay must know of the protocol that callers and servers speak.
#ifndef MINTKNOT_RELAY_DIALECT_HPP
#define MINTKNOT_RELAY_DIALECT_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/http1/message.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mintknot::relay {

/// What a caller tells of a request in its head.
struct request_terms {
    std::string id; ///< Empty if the caller named none.
    std::optional<base::milliseconds> deadline; ///< From its arrival.
    double prompt_tokens = 0.0;
    double max_output_tokens = 0.0;
    std::optional<double> expected_output_tokens; ///< The caller's guess.
    bool tells_tokens = false; ///< Whether it names a number of tokens at all.
    /// What the caller shows to be let in; nothing: no key, or several.
    std::optional<std::string> key;
};

/// What an outgoing call is to do with a prompt.
enum class call_stage {
    whole,   ///< Run the request.
    prefill, ///< Only read the prompt and keep the result.
};

/// What the router adds to an outgoing call.
struct call_terms {
    std::string server_id; ///< Only this server may run it.
    base::milliseconds time_left{0};
    call_stage stage = call_stage::whole;
    std::string prefill_result; ///< Where a prompt's KV cache lies; or empty.
    std::optional<std::uint64_t> resume_after; ///< Last event passed on.
    bool hides_key = false;   ///< The caller's key is for the router only.
    std::string organisation; ///< Holder of that key; empty: nobody.
};

/// What the head of a server's answer says.
struct answer_terms {
    std::string request_id;
    bool not_executed = false;  ///< It states that the request has not run.
    bool has_signature = false; ///< Of the server; an answer without is bad.
    bool has_content_coding = false; ///< Which was not asked for.
    bool event_stream = false;
    std::string server_id; ///< Only answers to health checks name it.
};

/// What the head of any answer says of the server itself.
struct server_notice {
    bool leaving = false; ///< It wants nothing new any more.
    /// It wants nothing for so long.
    std::optional<base::milliseconds> rest;
    /// Requests per second that it accepts from all instances together.
    std::optional<double> limit;
    bool malformed_limit = false; ///< A limit could not be parsed.
    /// The answer belongs to a request. Other answers may omit the limit.
    bool answers_request = false;
};

/// An order to an engine to do another part of the work from now on.
struct phase_order {
    traffic::engine_phase to = traffic::engine_phase::none;
    std::string holder;
    std::uint64_t fence = 0;
    std::int64_t orders_taken = 0; ///< As it reports; else it does nothing.
};

/// What an engine says of itself when it is asked.
struct engine_report {
    traffic::engine_phase phase = traffic::engine_phase::none;
    std::int64_t orders_taken = 0;
    bool busy = false;      ///< With an order.
    bool leaving = false;   ///< It wants nothing new any more.
    std::uint64_t born = 0; ///< See traffic::server.
};

/// A call that the router itself makes.
struct own_call {
    http1::request_head head;
    std::string body;
};

/// The kept result of a prefill call.
struct prefill_result {
    std::string handle;
    double tokens = 0.0;
};

/// Names and formats of a protocol. Implementations keep no state and decide
/// nothing.
class dialect {
public:
    virtual ~dialect() = default;

    virtual request_terms
    read_request(const http1::request_head& head) const = 0;
    virtual answer_terms
    read_answer(const http1::response_head& head) const = 0;
    virtual server_notice
    read_notice(const http1::response_head& head) const = 0;
    /// @return nothing if the body is no proper result.
    virtual std::optional<prefill_result>
    read_prefill(std::string_view body) const = 0;

    /// @return the caller's request with what the router adds, and without
    /// fields that only the router may set.
    virtual http1::request_head outgoing(
        const http1::request_head& caller, const call_terms& terms) const = 0;
    /// @return the call that frees a kept prefill result.
    virtual http1::request_head
    release(const std::string& handle, const std::string& server_id) const = 0;
    /// @return the health check of a server.
    virtual http1::request_head
    health(const std::string& path, const std::string& server_id) const = 0;
    virtual http1::request_head report(const std::string& server_id) const = 0;
    /// @return nothing if the body is no report.
    virtual std::optional<engine_report>
    read_report(std::string_view body) const = 0;
    virtual own_call
    order(const phase_order& value, const std::string& server_id) const = 0;
    /// @return where a result lies, as call_terms::prefill_result takes it.
    virtual std::string result_place(
        const std::string& server_address, const std::string& handle) const = 0;
    /// @return the fields of an answer that the router itself gives.
    virtual http1::field_list own_answer(
        const std::string& request_id,
        std::optional<base::milliseconds> retry_after) const = 0;
};

} // namespace mintknot::relay

#endif
