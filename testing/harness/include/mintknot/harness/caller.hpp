/// @file
/// A caller of the completion interface.
#ifndef MINTKNOT_HARNESS_CALLER_HPP
#define MINTKNOT_HARNESS_CALLER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/net/http_client.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mintknot::harness {

/// What a caller got, as far as it got it.
struct received_answer {
    int status = 0;
    std::string request_id;
    std::vector<std::string> tokens;
    std::vector<std::uint64_t> event_ids;
    std::string finish;        ///< "stop" or "length" if the answer is whole.
    bool done = false;         ///< "[DONE]" came.
    std::string error_code;    ///< Of a refusal or an error event.
    std::string error_verdict; ///< The same.
};

/// One call.
struct completion_options {
    std::string key;
    std::string model = "m1";
    std::string prompt;
    std::uint64_t max_tokens = 16;
    std::string request_class;
    std::string idempotency_key;
    std::uint64_t deadline_ms = 0;
    /// Leaves after so many tokens; 0: reads to the end.
    std::uint64_t leave_after = 0;
    /// Called with each token; for tests that act midway.
    std::function<void(std::size_t tokens)> on_token;
};

/// Streams a completion.
received_answer
complete(const base::address& where, const completion_options& options);

/// Reads a stream that exists, from an offset on.
received_answer resume(
    const base::address& where, const std::string& key,
    const std::string& request_id, const std::string& last_event_id);

/// @return all tokens in one text.
std::string text_of(const received_answer& answer);

} // namespace mintknot::harness

#endif
