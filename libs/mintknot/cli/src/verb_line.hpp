/// @file
/// The command line of one verb.
#ifndef MINTKNOT_CLI_SRC_VERB_LINE_HPP
#define MINTKNOT_CLI_SRC_VERB_LINE_HPP

#include "commands.hpp"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace mintknot::cli {

/// What follows the verb on the command line.
using arguments = std::vector<std::string>;

/// A verb's own command line. Built anew for each call.
class verb_line {
public:
    verb_line(const std::string& verb, const std::string& purpose);

    /// Adds the options of verbs that ask a server.
    void add_server();
    TCLAP::CmdLine& line() { return line_; }

    void parse(const arguments& given);

    /// @return nothing, after a message, if an option is wrong.
    std::optional<common_options> common();

private:
    TCLAP::CmdLine line_;
    std::string verb_;
    std::optional<TCLAP::ValueArg<std::string>> server_;
    std::optional<TCLAP::ValueArg<std::string>> key_;
    std::optional<TCLAP::ValueArg<std::string>> output_;
};

} // namespace mintknot::cli

#endif
