/// @file
/// The processes of a soak: store, servers and instances.
#ifndef MINTKNOT_SOAK_SOAK_SYSTEM_HPP
#define MINTKNOT_SOAK_SOAK_SYSTEM_HPP

#include "soak_checks.hpp"
#include "version_checks.hpp"

#include <mintknot/base/address.hpp>
#include <mintknot/harness/child_process.hpp>
#include <mintknot/standins/fault_proxy.hpp>

#include <csignal>
#include <cstdint>
#include <map>
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

/// How instances work together.
struct group_form {
    bool schedulers = false; ///< They place requests in a small group too.
    /// Larger groups have super-peers; 0: as the program is built.
    std::size_t max_flat_group = 0;
    std::size_t decode_engines = 3;
    std::size_t plain_servers = 2;
    /// An earlier build that instances run in their first life; empty: none.
    std::string earlier_program;
    /// Requests per second that servers advertise in answers, by server number.
    std::map<std::size_t, std::string> advertised_limits;
    /// Engines have memory for a few streams, events hold many tokens, routes
    /// have different priorities, and the settings say that callers compete.
    bool scarce_capacity = false;
    /// Each instance reaches each server over a link of its own.
    bool own_server_links = false;
    std::size_t data_centres = 1; ///< Instances are in them in turn.
    /// Between two events of a stream; zero: as the stand-in has it.
    base::milliseconds event_time{0};
    /// Pause of some streams in their middle; zero: none.
    base::milliseconds pause{0};
    /// In each configuration, to make it large.
    std::size_t unused_routes = 0;
    /// Every second answer of a server has neither a length nor chunks.
    bool answers_without_length = false;
    /// One answer of a server in four is faulty; see engine_options.
    bool faulty_answers = false;
    /// From SIGTERM to an instance to the latest end of its process.
    std::chrono::seconds grace{4};
    /// Callers connect to instances themselves, not through a proxy.
    bool direct_callers = false;
    /// Of the machine of each instance, as its settings say.
    std::size_t memory_mb = 110;
    std::size_t max_descriptors = 900;
};

/// Store, servers and instances on loopback. All end with the object. A proxy
/// stands before each server, between each instance and the store, and between
/// the callers and each instance.
class soak_system {
public:
    /// @param directory takes settings, ledger and logs.
    soak_system(
        std::string directory, std::size_t instances, const group_form& form);

    /// Servers end and come back under new IDs.
    std::vector<soak_process>& servers() { return servers_; }
    std::vector<soak_process>& instances() { return instances_; }
    /// @return true if the instance runs an earlier build.
    bool is_earlier(std::size_t instance) const;
    soak_process& store() { return store_; }
    /// Starts a process that has ended.
    void restart_server(std::size_t index);
    void restart_instance(std::size_t index);
    /// Sets the software version that an engine has from its next start on.
    void set_version(std::size_t server, const std::string& version);
    /// To be called when a server ends or begins to leave.
    void end_life(std::size_t server);
    /// @return the lives of all engines that have a version.
    const std::vector<engine_life>& engine_lives() const { return lives_; }
    /// @return the numbers of the engines, of both phases.
    std::vector<std::size_t> engines() const;

    /// Writes the next version of the configuration. @return false if the
    /// store did not take it.
    bool change_configuration();
    /// @return the version that was written last.
    int configuration() const { return configuration_; }
    /// Writes the latest version again. @return true if the store accepted it.
    bool rewrite_configuration();
    /// Restores the store from a backup some seconds old, after a short outage.
    /// It refuses writes for a while.
    void restore_store() const { store_.running->signal(SIGUSR2); }
    /// Watches that ask for older changes are told that these are gone.
    void forget_history() const { store_.running->signal(SIGUSR1); }

    /// @return the names of all links.
    const std::vector<std::string>& links() const { return links_; }
    void set_fault(const std::string& link, const standins::link_fault& fault);
    /// Sets the fault of an instance's own link to a server.
    void set_server_fault(
        std::size_t instance, std::size_t server,
        const standins::link_fault& fault);

    /// @return where the store itself listens.
    base::address store_address() const { return {"127.0.0.1", store_port_}; }
    /// @return where callers reach an instance.
    base::address entry(std::size_t instance) const;
    /// @return where an instance itself listens for callers.
    base::address own_entry(std::size_t instance) const;
    /// @return where an instance tells whether it is ready.
    base::address readiness(std::size_t instance) const;
    /// @return where other instances call an instance.
    base::address peers(std::size_t instance) const;

    const group_form& form() const { return form_; }

    /// @return what the servers have noted so far.
    server_notes notes() const;

private:
    void add_server(const std::string& phase);
    void add_own_server_links(std::size_t instance);
    void write_views() const;
    base::address add_link(const std::string& name, const base::address& to);
    std::string host(std::size_t instance) const;
    char data_centre(std::size_t instance) const;
    std::string write_settings(std::size_t instance) const;
    std::string path(const std::string& name) const;

    std::string directory_;
    group_form form_;
    standins::fault_proxy proxy_;
    std::vector<std::string> links_;
    std::vector<base::address> server_links_;
    std::vector<base::address> store_links_; ///< One for each instance.
    std::vector<base::address> entry_links_; ///< One for each instance.
    /// By instance and server; empty without own server links.
    std::vector<std::vector<base::address>> own_server_links_;
    std::uint16_t port_ = 0; ///< First of four that all instances use.
    std::uint16_t store_port_ = 0;
    int configuration_ = 0;
    int server_lives_ = 0;
    std::vector<std::string> versions_; ///< Of the next life, by server.
    std::vector<engine_life> lives_;
    soak_process store_;
    std::vector<soak_process> servers_;
    std::vector<soak_process> instances_;
};

} // namespace mintknot::soak

#endif
