/// @file
/// A whole small system of real processes on loopback.
#ifndef MINTKNOT_HARNESS_TEST_CLUSTER_HPP
#define MINTKNOT_HARNESS_TEST_CLUSTER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/harness/child_process.hpp>
#include <mintknot/net/http_client.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::harness {

struct cluster_options {
    std::vector<std::string> data_centres{"dc1", "dc2"};
    std::size_t instances = 3;       ///< Spread over the data centres.
    std::size_t prefill_engines = 2; ///< In the first data centre.
    std::size_t decode_engines = 2;  ///< In the first data centre.
    std::vector<std::string> engine_arguments;
    /// Merged into the settings of every instance.
    nlohmann::json settings = nlohmann::json::object();
    /// Further resources to be applied.
    nlohmann::json resources = nlohmann::json::array();
    /// Put the fault proxy between the instances and the engines and platform.
    bool proxied = false;
    /// false: start everything, but leave the configuration empty.
    bool apply = true;
};

/// Keys of the organisations "norrvik" and "school", and of the operator.
inline constexpr const char* norrvik_key = "norrvik-key";
inline constexpr const char* school_key = "school-key";
inline constexpr const char* operator_key = "operator-key";

struct cluster_instance {
    std::string name;
    std::string data_centre;
    std::string settings_file;
    base::address caller;
    base::address operators;
    std::unique_ptr<child_process> process;
};

struct cluster_engine {
    std::string name;
    base::address where;
    base::address seen_at; ///< By instances: the proxy's link, if there is one.
    std::unique_ptr<child_process> process;
};

/// Starts the platform, the engines and the instances, applies a first
/// configuration, and waits until every instance is ready with it.
/// Everything ends with the object; files go with it.
class test_cluster {
public:
    explicit test_cluster(const cluster_options& options);
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    std::vector<cluster_instance>& instances() { return instances_; }
    std::vector<cluster_engine>& engines() { return engines_; }
    const base::address& platform() const { return platform_at_; }

    void start_instance(cluster_instance& instance);
    /// Starts a stopped engine again at its address.
    void start_engine(cluster_engine& engine);

    /// Calls the operator interface of an instance.
    net::http_response operate(
        const cluster_instance& instance, const std::string& method,
        const std::string& path, const std::string& body = {},
        const std::string& if_match = {});
    /// Puts a resource, whatever its revision.
    void
    put(const std::string& kind, const std::string& name,
        const nlohmann::json& spec);

    /// @return the sum of a ground-truth figure over all running engines.
    std::uint64_t truth(const std::string& figure);

    /// Sets the faults of the platform: see docs/STAND_INS.md.
    void platform_faults(const nlohmann::json& faults);

    /// Sets the fault of a link: the name of an engine, or "platform".
    void link_fault(const std::string& link, const nlohmann::json& fault);

    /// Writes the resources of this system as a file for `mintknot apply`.
    /// @return its path.
    std::string write_resources() const;

    /// @return the logs of all processes; printed when a test fails.
    std::string logs() const;

private:
    void write_settings(const cluster_options& options);
    base::address add_link(const std::string& name, const base::address& to);
    void apply();
    bool is_settled(const cluster_instance& instance, std::size_t revision);
    void wait_until_up();

    std::string directory_;
    std::vector<std::string> engine_arguments_;
    nlohmann::json resources_ = nlohmann::json::array();
    std::unique_ptr<child_process> platform_;
    std::unique_ptr<child_process> proxy_;
    base::address platform_at_;
    base::address proxy_control_;
    std::vector<cluster_engine> engines_;
    std::vector<cluster_instance> instances_;
    net::http_client client_;
};

/// Waits until the condition holds. @return false after the longest wait.
bool eventually(
    const std::function<bool()>& condition,
    base::milliseconds longest = base::milliseconds{20000});

} // namespace mintknot::harness

#endif
