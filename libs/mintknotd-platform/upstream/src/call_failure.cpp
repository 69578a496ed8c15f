#include <mintknot/upstream/call.hpp>

namespace mintknot::upstream {

bool nothing_was_sent(call_failure why) noexcept {
    return why == call_failure::unreachable || why == call_failure::refused;
}

std::string_view to_string(call_failure why) noexcept {
    switch (why) {
    case call_failure::unreachable:
        return "unreachable";
    case call_failure::refused:
        return "refused";
    case call_failure::ended:
        return "ended";
    case call_failure::bad_answer:
        return "bad_answer";
    }
    return "unknown";
}

} // namespace mintknot::upstream
