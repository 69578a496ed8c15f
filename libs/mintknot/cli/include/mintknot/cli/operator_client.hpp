/// @file
/// Calls of the operator interface.
#ifndef MINTKNOT_CLI_OPERATOR_CLIENT_HPP
#define MINTKNOT_CLI_OPERATOR_CLIENT_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/net/http_client.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace mintknot::cli {

/// Exit codes of the program, documented in docs/OPERATIONS.md.
enum class exit_code {
    ok = 0,
    refused = 1,
    usage = 2,
    conflict = 3,
    unreachable = 4,
    unknown = 5, ///< It may have taken effect.
};

/// An answer of the interface.
struct operator_answer {
    exit_code code = exit_code::ok;
    nlohmann::json body;
    std::string error; ///< For people; empty if all is well.
};

/// Thread: not safe for concurrent use.
class operator_client {
public:
    operator_client(base::address where, std::string key);

    operator_answer get(const std::string& path);
    /// @param if_match a revision, "*", or empty for a new resource.
    operator_answer
    put(const std::string& path, const nlohmann::json& body,
        const std::string& if_match);
    operator_answer
    remove(const std::string& path, const std::string& if_match);

    /// Reads an event stream. @return the answer if it was refused or broke.
    operator_answer stream(
        const std::string& path,
        const std::function<bool(std::string_view line)>& on_line);

private:
    operator_answer send(const net::http_request& request);
    net::http_request request_for(std::string method, std::string path) const;

    base::address where_;
    std::string key_;
    net::http_client client_;
};

} // namespace mintknot::cli

#endif
