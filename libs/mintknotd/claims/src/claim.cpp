#include <mintknot/claims/claim.hpp>

#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/sha256.hpp>

namespace mintknot::claims {

namespace {

std::string_view to_string(claim_state state) {
    switch (state) {
    case claim_state::running:
        return "running";
    case claim_state::unknown:
        return "unknown";
    case claim_state::finished:
        return "finished";
    }
    return "unknown";
}

claim_state state_from(const std::string& text) {
    if (text == "running")
        return claim_state::running;
    return text == "finished" ? claim_state::finished : claim_state::unknown;
}

} // namespace

std::string row_key(const claim_key& key) {
    return "claim/" + key.organisation + "/" +
           base::sha256_hex(key.idempotency_key);
}

nlohmann::json to_json(const claim& value) {
    nlohmann::json document{
        {"token", value.token},           {"holder", value.holder},
        {"request", value.request},       {"fingerprint", value.fingerprint},
        {"created_ms", value.created_ms}, {"state", to_string(value.state)}};
    if (value.state == claim_state::finished)
        document["answer"] = {
            {"status", value.answer.status},
            {"content_type", value.answer.content_type},
            {"body", value.answer.body},
            {"body_kept", value.answer.body_kept}};
    return document;
}

claim claim_from_json(const nlohmann::json& document) {
    using base::field_or;
    claim result;
    result.token = field_or(document, "token", std::string());
    result.holder = field_or(document, "holder", std::string());
    result.request = field_or(document, "request", std::string());
    result.fingerprint = field_or(document, "fingerprint", std::string());
    result.created_ms = field_or(document, "created_ms", std::int64_t{0});
    result.state = state_from(field_or(document, "state", std::string()));
    const auto answer = field_or(document, "answer", nlohmann::json());
    result.answer.status = field_or(answer, "status", 0);
    result.answer.content_type =
        field_or(answer, "content_type", std::string());
    result.answer.body = field_or(answer, "body", std::string());
    result.answer.body_kept = field_or(answer, "body_kept", false);
    return result;
}

} // namespace mintknot::claims
