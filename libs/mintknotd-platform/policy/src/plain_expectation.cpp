#include "plain_expectation.hpp"

#include <algorithm>
#include <vector>

namespace mintknot::policy {

namespace {

const plain_flow*
find_flow(const plain_admission_state& state, const std::string& id) {
    const auto found = state.flows.find(id);
    return found == state.flows.end() ? nullptr : &found->second;
}

int in_flight(
    const selection_inputs& inputs, const traffic::server& server,
    const expected_service& service) {
    const int counted = traffic::total(inputs.loads, server.id).calls;
    return inputs.all_loads_known
               ? estimate_in_flight(counted, server.slots, service)
               : counted;
}

} // namespace

service_lookup::service_lookup(const selection_inputs& inputs)
    : inputs_(inputs) {}

expected_service service_lookup::of(const std::string& id) {
    expected_service found =
        service_time_of(inputs_.plain_times, id, 0.0, inputs_.now);
    if (!found.learned)
        found.ms = median().value_or(default_service_ms);
    return found;
}

const std::optional<double>& service_lookup::median() {
    if (computed_)
        return median_;
    computed_ = true;
    std::vector<std::string> ids;
    for (const traffic::server* server :
         traffic::open_servers(inputs_.servers, inputs_.service.name))
        ids.push_back(server->id);
    median_ = median_service_ms(inputs_.plain_times, ids, inputs_.now);
    return median_;
}

expectation expect(
    const plain_admission_state& state, const selection_inputs& inputs,
    service_lookup& services, const traffic::server& server) {
    expectation result;
    result.service = services.of(server.id);
    result.in_flight = in_flight(inputs, server, result.service);
    result.ahead = calls_ahead(result.in_flight, server.slots);
    result.wait_ms =
        result.ahead * result.service.ms / std::max(server.slots, 1);
    if (const plain_flow* flow = find_flow(state, server.id))
        result.limit = limit_of(*flow, inputs.now);
    return result;
}

} // namespace mintknot::policy
