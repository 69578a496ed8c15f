// fault-proxy: TCP links that can be made to fail, driven by a control port.
#include <mintknot/base/json_reader.hpp>
#include <mintknot/base/status_text.hpp>
#include <mintknot/net/http_server.hpp>
#include <mintknot/standins/fault_proxy.hpp>
#include <mintknot/standins/serve_until_signal.hpp>

#include <fmt/format.h>
#include <httplib.h>
#include <tclap/CmdLine.h>

using namespace mintknot;

namespace {

using base::field_or;
using nlohmann::json;

std::optional<standins::link_mode> mode_from(const std::string& word) {
    using standins::link_mode;
    if (word == "pass")
        return link_mode::pass;
    if (word == "delay")
        return link_mode::delay;
    if (word == "stall")
        return link_mode::stall;
    if (word == "cut")
        return link_mode::cut;
    if (word == "reset")
        return link_mode::reset;
    if (word == "silence")
        return link_mode::silence;
    if (word == "drop_answer")
        return link_mode::drop_answer;
    return std::nullopt;
}

void refuse(httplib::Response& out, int status, const std::string& why) {
    out.status = status;
    out.set_content(json{{"error", why}}.dump(), "application/json");
}

void add_link(
    standins::fault_proxy& proxy, const httplib::Request& in,
    httplib::Response& out) {
    const json body = json::parse(in.body, nullptr, false);
    const auto to = base::parse_address(field_or(body, "to", std::string()));
    if (!to.ok())
        return refuse(out, 400, base::text_of(to.status()));
    const auto port =
        proxy.add_link(field_or(body, "name", std::string()), *to);
    if (!port.ok())
        return refuse(out, 503, base::text_of(port.status()));
    out.set_content(json{{"port", *port}}.dump(), "application/json");
}

void set_fault(
    standins::fault_proxy& proxy, const httplib::Request& in,
    httplib::Response& out) {
    const json body = json::parse(in.body, nullptr, false);
    const auto mode = mode_from(field_or(body, "mode", std::string()));
    if (!mode)
        return refuse(out, 400, "unknown mode");
    const auto status = proxy.set_fault(
        in.matches[1],
        {*mode, base::milliseconds{field_or(body, "delay_ms", std::int64_t{0})},
         field_or(body, "after_bytes", std::uint64_t{0})});
    if (!status.ok())
        return refuse(out, 404, base::text_of(status));
    out.set_content("{}", "application/json");
}

} // namespace

int main(int argc, char** argv) {
    const sigset_t signals = standins::block_end_signals();
    TCLAP::CmdLine line("Fault-injecting TCP proxy", ' ', "0.1.0");
    TCLAP::ValueArg<unsigned> port(
        "", "control", "control port, 0 for any", false, 0, "port", line);
    line.parse(argc, argv);
    standins::fault_proxy proxy;
    net::http_server control({});
    control.routes().Post(
        "/links", [&](const auto& in, auto& out) { add_link(proxy, in, out); });
    control.routes().Post("/links/([^/]+)", [&](const auto& in, auto& out) {
        set_fault(proxy, in, out);
    });
    const auto bound = control.start(
        {"127.0.0.1", static_cast<std::uint16_t>(port.getValue())});
    if (!bound.ok()) {
        fmt::print(stderr, "fault-proxy: {}\n", base::text_of(bound.status()));
        return 1;
    }
    standins::serve_until_signal(signals, *bound);
    return 0;
}
