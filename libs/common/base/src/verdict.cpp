#include <mintknot/base/verdict.hpp>

namespace mintknot::base {

std::string_view to_string(verdict value) noexcept {
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

verdict raised(verdict left, verdict right) noexcept {
    return left < right ? right : left;
}

} // namespace mintknot::base
