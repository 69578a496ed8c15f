#include "daemon_trial.hpp"

#include <mintknot/harness/test_cluster.hpp>

#include <fmt/format.h>

namespace mintknot::crowds {

namespace {

harness::cluster_options one_instance() {
    harness::cluster_options options;
    options.data_centres = {"dc1"};
    options.instances = 1;
    options.prefill_engines = 1;
    options.decode_engines = 1;
    options.settings = {{"caller", {{"most_open_requests", 16}}}};
    return options;
}

std::string ordinary_request() {
    const std::string body =
        R"({"model": "m1", "prompt": "hello", "max_tokens": 2})";
    return fmt::format(
        "POST /v1/completions HTTP/1.1\r\nHost: mintknot.example\r\n"
        "Authorization: Bearer {}\r\nConnection: close\r\n"
        "Content-Length: {}\r\n\r\n{}",
        harness::norrvik_key, body.size(), body);
}

} // namespace

trial_result run_daemon_trial(const crowd_plan& plan, daemon_target target) {
    harness::test_cluster cluster(one_instance());
    harness::cluster_instance& instance = cluster.instances().front();
    crowd_trial trial(
        {*instance.process,
         target == daemon_target::callers ? instance.caller
                                          : instance.operators,
         instance.caller,
         {instance.caller, instance.operators},
         ordinary_request()});
    return trial.play(plan);
}

} // namespace mintknot::crowds
