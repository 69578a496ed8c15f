/// @file
/// The processes of a soak: store, servers and instances.
#ifndef MINTKNOT_SOAK_SOAK_SYSTEM_HPP
#define MINTKNOT_SOAK_SOAK_SYSTEM_HPP

#include "soak_checks.hpp"

#include <mintknot/base/address.hpp>
#include <mintknot/harness/child_process.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::soak {

/// A process that is started anew when it has ended.
struct soak_process {
    std::string program;
    std::vector<std::string> arguments;
    std::unique_ptr<harness::child_process> running;
    bool paused = false;
};

/// Store, servers and instances on loopback. All end with the object.
class soak_system {
public:
    /// @param directory takes settings, ledger and logs.
    /// @param placement policy that the instances are told.
    soak_system(
        std::string directory, std::size_t instances, std::string placement);

    /// Servers end and come back under new IDs.
    std::vector<soak_process>& servers() { return servers_; }
    std::vector<soak_process>& instances() { return instances_; }
    soak_process& store() { return store_; }
    /// Starts a process that has ended.
    void restart_server(std::size_t index);
    void restart_instance(std::size_t index);

    /// Writes the next version of the configuration. @return false if the
    /// store did not answer.
    bool change_configuration();

    base::address entry(std::size_t instance) const;
    base::address readiness(std::size_t instance) const;

    run_counts runs() const;

private:
    std::string host(std::size_t instance) const;
    std::string write_settings(std::size_t instance) const;
    std::string path(const std::string& name) const;

    std::string directory_;
    std::string placement_;
    std::uint16_t port_ = 0; ///< First of four that all instances use.
    std::uint16_t store_port_ = 0;
    int configuration_ = 0;
    int server_lives_ = 0;
    soak_process store_;
    std::vector<soak_process> servers_;
    std::vector<soak_process> instances_;
};

} // namespace mintknot::soak

#endif
