/// @file
/// Reading, changing and watching resources over HTTP.
#ifndef MINTKNOT_OPERATORS_SRC_RESOURCE_HANDLERS_HPP
#define MINTKNOT_OPERATORS_SRC_RESOURCE_HANDLERS_HPP

#include <mintknot/operators/operator_api.hpp>

#include <optional>
#include <string>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace mintknot::operators {

/// Writes a refusal; `current` is added on a conflict.
void send_refusal(
    httplib::Response& out, const base::refusal& why,
    const std::optional<config::resource>& current = std::nullopt);

void send_json(httplib::Response& out, int status, const nlohmann::json& body);

void list_resources(
    const operator_parts& parts, const httplib::Request& in,
    httplib::Response& out);
void get_resource(
    const operator_parts& parts, const httplib::Request& in,
    httplib::Response& out);
/// @param author name of the operator's key.
void put_resource(
    const operator_parts& parts, const std::string& author,
    const httplib::Request& in, httplib::Response& out);
void delete_resource(
    const operator_parts& parts, const std::string& author,
    const httplib::Request& in, httplib::Response& out);
void get_change(
    const operator_parts& parts, const httplib::Request& in,
    httplib::Response& out);

} // namespace mintknot::operators

#endif
