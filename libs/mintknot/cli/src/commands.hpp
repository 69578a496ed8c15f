/// @file
/// What each verb does.
#ifndef MINTKNOT_CLI_SRC_COMMANDS_HPP
#define MINTKNOT_CLI_SRC_COMMANDS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/cli/operator_client.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace mintknot::cli {

/// Options that all verbs with a server share.
struct common_options {
    base::address server;
    std::string key;
    bool json = false;
};

struct apply_options {
    std::string file;
    bool wait = false;
    std::chrono::seconds wait_limit{30};
};

exit_code validate(const std::string& file);
exit_code apply(const common_options& common, const apply_options& options);
exit_code
get(const common_options& common, const std::string& kind,
    const std::string& name);
/// @param revision the revision to delete; empty: any.
exit_code remove(
    const common_options& common, const std::string& kind,
    const std::string& name, const std::string& revision);
exit_code watch(
    const common_options& common, const std::string& kind,
    const std::string& since);
exit_code why(const common_options& common, const std::string& request);
exit_code status(const common_options& common);
/// Marks a backend server as leaving, or takes the mark back.
exit_code
drain(const common_options& common, const std::string& server, bool undo);

/// What an account of losses is made from.
struct losses_request {
    std::vector<std::string> logs; ///< Files; "-" is standard input.
    base::milliseconds window{5000};
    std::map<std::string, double> weights; ///< By route.
    bool json = false;
    std::string plot;        ///< File for an SVG image; empty: none.
    std::string caller_plot; ///< As above, for what callers got.
};

/// Prints what requests lost, and why, by the instances' logs.
exit_code show_losses(const losses_request& asked);

/// Prints an error to standard error. @return its code.
exit_code print_error(const operator_answer& answer);

} // namespace mintknot::cli

#endif
