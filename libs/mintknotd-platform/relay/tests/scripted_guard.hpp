/// @file
/// A crash guard that blocks what the test says and keeps what is reported.
#ifndef MINTKNOT_RELAY_TESTS_SCRIPTED_GUARD_HPP
#define MINTKNOT_RELAY_TESTS_SCRIPTED_GUARD_HPP

#include <mintknot/relay/crash_guard.hpp>

#include <string>
#include <vector>

namespace mintknot::relay::tests {

class scripted_guard final : public crash_guard {
public:
    std::optional<crash_block>
    find_block(const request_identity& request) const override {
        const bool by_part =
            !blocked.empty() && request.parts().contains(blocked);
        if (!blocks_all && !by_part)
            return std::nullopt;
        return crash_block{base::milliseconds(5000), blocked};
    }
    void report_broken_call(
        const request_identity&, const broken_call& call) override {
        broken.push_back(call);
    }
    void report_sound(const request_identity& request) override {
        sound.push_back(request.parts());
    }
    void report_answer(const request_identity&) override { ++answers; }

    std::string blocked;     ///< A part of prompts; empty: none is blocked.
    bool blocks_all = false; ///< Every request is blocked.
    std::vector<broken_call> broken;
    std::vector<policy::prompt_parts> sound;
    int answers = 0;
};

} // namespace mintknot::relay::tests

#endif
