/// @file
/// A placer whose placements are chosen by a function of the test.
#ifndef MINTKNOT_RELAY_TESTS_SCRIPTED_PLACER_HPP
#define MINTKNOT_RELAY_TESTS_SCRIPTED_PLACER_HPP

#include <mintknot/relay/placer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace mintknot::relay::tests {

/// Always active; answers each request at once with the test's function.
class scripted_placer final : public placer {
public:
    using answer =
        std::function<policy::placement(const policy::placement_query&)>;

    explicit scripted_placer(answer function)
        : answer_(std::move(function)) {}

    bool active() const override { return true; }

    std::unique_ptr<placement_ticket> request_placement(
        policy::placement_query query, placement_handler then) override {
        then(answer_(query));
        return nullptr;
    }

private:
    answer answer_;
};

} // namespace mintknot::relay::tests

#endif
