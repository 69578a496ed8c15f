/// @file
/// The row that makes a non-repeatable call run at most once.
#ifndef MINTKNOT_CLAIMS_CLAIM_HPP
#define MINTKNOT_CLAIMS_CLAIM_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mintknot::claims {

/// Names a non-repeatable call: who asks, and the caller's own key.
struct claim_key {
    std::string organisation;
    std::string idempotency_key;
};

/// @return the key of the row; the caller's key goes in as a digest.
std::string row_key(const claim_key& key);

enum class claim_state {
    running,  ///< Its holder is at it, or has died at it.
    unknown,  ///< The holder got no answer: it may have run.
    finished, ///< It ran; the answer is kept.
};

/// The answer of a backend server, as it is kept and replayed.
struct kept_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true; ///< false: the body was too long to keep.
};

struct claim {
    std::string token;           ///< Random; tells whose row it is.
    std::string holder;          ///< Instance ID.
    std::string request;         ///< Request ID.
    std::string fingerprint;     ///< Digest of the call: one key, one call.
    std::int64_t created_ms = 0; ///< Wall time.
    claim_state state = claim_state::running;
    kept_answer answer;
};

nlohmann::json to_json(const claim& value);

/// A row that cannot be read counts as unknown: the cautious reading.
claim claim_from_json(const nlohmann::json& document);

} // namespace mintknot::claims

#endif
