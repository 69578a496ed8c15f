/// @file
/// What is expected of a call at one plain server.
#ifndef MINTKNOT_POLICY_SRC_PLAIN_EXPECTATION_HPP
#define MINTKNOT_POLICY_SRC_PLAIN_EXPECTATION_HPP

#include <mintknot/policy/plain_admission.hpp>

#include <optional>
#include <string>

namespace mintknot::policy {

/// Service times of the servers of one service. The median of all is computed
/// only if it is needed.
class service_lookup {
public:
    explicit service_lookup(const selection_inputs& inputs);

    expected_service of(const std::string& id);
    /// @return the median of the learned times; nullopt if none is known.
    const std::optional<double>& median();

private:
    const selection_inputs& inputs_;
    bool computed_ = false;
    std::optional<double> median_;
};

/// What is expected of one server.
struct expectation {
    int in_flight = 0;
    int ahead = 0; ///< See calls_ahead().
    double wait_ms = 0.0;
    expected_service service;
    std::optional<int> limit;

    bool has_free_slot() const { return ahead == 0; }
    bool is_full() const { return limit && in_flight >= *limit; }
};

expectation expect(
    const plain_admission_state& state, const selection_inputs& inputs,
    service_lookup& services, const traffic::server& server);

} // namespace mintknot::policy

#endif
