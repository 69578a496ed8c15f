/// @file
/// A running scenario: the system, the calls, and the steps on them.
#ifndef MINTKNOT_SCENARIO_SCENARIO_RUNNER_HPP
#define MINTKNOT_SCENARIO_SCENARIO_RUNNER_HPP

#include "order_desk.hpp"
#include "script.hpp"

#include <mintknot/harness/caller.hpp>
#include <mintknot/harness/test_cluster.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace mintknot::scenario {

/// A step that did not hold.
class step_failure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A completion or a plain call under way or ended.
struct running_call {
    harness::completion_options options;
    harness::received_answer answer;
    std::uint64_t first_offset = 0; ///< Of a resumed answer.
    std::atomic<std::size_t> tokens{0};
    std::atomic<bool> ended{false};
    std::thread thread;

    ~running_call() {
        if (thread.joinable())
            thread.join();
    }
};

class scenario_run {
public:
    std::string run(const std::vector<step>& steps);

private:
    void act(const step& now);
    void prepare(const step& now);
    harness::test_cluster& cluster();
    harness::cluster_instance& instance(const std::string& name);
    harness::child_process& process(const std::string& name);
    running_call& call_named(const std::string& name);

    void act_on_process(const step& now);
    void start(const step& now);
    void set_link(const step& now);
    void set_store(const step& now);
    void drain(const step& now);
    void send(const step& now);
    void call_desk(const step& now);
    void resume(const step& now);
    void put(const step& now);
    void wait(const step& now);
    void expect(const step& now, base::milliseconds patience);
    void expect_call(const step& now);
    std::string problem_with(const step& now);
    bool is_seen(const std::string& name);
    bool has_record(const std::string& request, const std::string& kind);
    std::uint64_t revision_of(const std::string& name);
    std::string records();

    harness::cluster_options options_;
    order_desk desk_;
    std::unique_ptr<harness::test_cluster> cluster_;
    std::map<std::string, std::unique_ptr<running_call>> calls_;
};

/// @throws step_failure with the sentence unless the condition holds.
void require(bool holds, const std::string& what);

} // namespace mintknot::scenario

#endif
