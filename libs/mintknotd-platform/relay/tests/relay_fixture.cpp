#include "relay_fixture.hpp"

#include <mintknot/http1/serialize.hpp>
#include <mintknot/relay/server_notices.hpp>

#include <absl/strings/str_split.h>
#include <criterion/criterion.h>
#include <fmt/format.h>

namespace mintknot::relay::tests {

namespace {

constexpr base::milliseconds test_timeout{15000};
constexpr base::milliseconds poll_interval{2};

std::string text_of(const http1::field_list& fields, std::string_view name) {
    const std::string* found = http1::find_field(fields, name);
    return found == nullptr ? "" : *found;
}

double number_of(const http1::field_list& fields, std::string_view name) {
    return static_cast<double>(http1::find_number(fields, name).value_or(0));
}

traffic::route
route_of(const std::string& name, traffic::route_kind kind, int attempts) {
    traffic::route route;
    route.name = name;
    route.host = "h";
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.timeout = base::milliseconds(5000);
    route.target_latency = base::milliseconds(1000);
    route.max_attempts = attempts;
    route.services = {{name == "stream" || name == "resume" ? "llm" : "app"}};
    route.resumable = name == "resume";
    return route;
}

} // namespace

request_metadata
test_dialect::read_request(const http1::request_head& head) const {
    request_metadata terms;
    terms.id = text_of(head.fields, "Id");
    if (const auto deadline = http1::find_number(head.fields, "Deadline"))
        terms.deadline = base::milliseconds(*deadline);
    terms.prompt_tokens = number_of(head.fields, "Tokens");
    terms.declares_tokens = terms.prompt_tokens > 0.0;
    const std::string key = text_of(head.fields, "Key");
    if (!key.empty())
        terms.key = key;
    terms.prompt_parts =
        absl::StrSplit(text_of(head.fields, "Parts"), ',', absl::SkipEmpty());
    resumption resumes{
        text_of(head.fields, "Resumes"), text_of(head.fields, "After")};
    if (!resumes.first_request.empty() || !resumes.last_event.empty())
        terms.resumes = std::move(resumes);
    return terms;
}

answer_metadata
test_dialect::read_answer(const http1::response_head& head) const {
    answer_metadata terms;
    terms.request_id = text_of(head.fields, "Id");
    terms.not_executed = !text_of(head.fields, "Not-Run").empty();
    terms.request_unreadable = terms.not_executed && head.status == 400;
    terms.server_id = text_of(head.fields, "Server-Id");
    terms.has_signature = !text_of(head.fields, "Seal").empty();
    terms.has_content_coding =
        !text_of(head.fields, "Content-Encoding").empty();
    terms.event_stream = text_of(head.fields, "Content-Type") == "events";
    return terms;
}

server_notice
test_dialect::read_notice(const http1::response_head& head) const {
    server_notice notice;
    notice.leaving = !text_of(head.fields, "Leaving").empty();
    if (const auto rest = http1::find_number(head.fields, "Rest"))
        notice.rest = base::milliseconds(*rest);
    const std::string limit = text_of(head.fields, "Limit");
    if (!limit.empty())
        notice.limit = std::stod(limit);
    notice.answers_request = !text_of(head.fields, "Id").empty();
    return notice;
}

std::optional<prefill_result>
test_dialect::read_prefill(std::string_view body) const {
    if (!body.starts_with("handle "))
        return std::nullopt;
    return prefill_result{std::string(body.substr(7)), 0.0};
}

http1::request_head test_dialect::forwarded_request(
    const http1::request_head& caller, const call_parameters& terms) const {
    http1::request_head head = caller;
    http1::erase_hop_fields(head.fields);
    if (terms.strip_key)
        http1::erase_fields(head.fields, "Key");
    if (!terms.organisation.empty())
        head.fields.push_back({"Organisation", terms.organisation});
    head.fields.push_back({"Target", terms.server_id});
    head.fields.push_back({"Left", std::to_string(terms.time_left.count())});
    if (terms.stage == call_stage::prefill)
        head.fields.push_back({"Stage", "prefill"});
    if (!terms.prefill_result.empty())
        head.fields.push_back({"From", terms.prefill_result});
    if (terms.urgency)
        head.fields.push_back({"Urgency", std::to_string(*terms.urgency)});
    if (terms.resume_after)
        head.fields.push_back({"After", std::to_string(*terms.resume_after)});
    return head;
}

http1::request_head test_dialect::release_request(
    const std::string& handle, const std::string& server_id) const {
    http1::request_head head;
    head.method = "DELETE";
    head.target = "/" + handle;
    head.fields = {{"Host", "s"}, {"Target", server_id}};
    return head;
}

http1::request_head test_dialect::health_request(
    const std::string& path, const std::string& server_id) const {
    http1::request_head head;
    head.method = "GET";
    head.target = path;
    head.fields = {{"Host", "s"}, {"Target", server_id}};
    return head;
}

http1::request_head
test_dialect::report_request(const std::string& server_id) const {
    http1::request_head head;
    head.method = "GET";
    head.target = "/report";
    head.fields = {{"Host", "s"}, {"Target", server_id}};
    return head;
}

std::optional<engine_report>
test_dialect::read_report(std::string_view body) const {
    if (!body.starts_with("taken "))
        return std::nullopt;
    engine_report value;
    value.orders_taken = std::stoi(std::string(body.substr(6)));
    value.leaving = body.ends_with(" leaving");
    const std::size_t born = body.find(" born ");
    if (born != std::string_view::npos)
        value.born = std::stoull(std::string(body.substr(born + 6)));
    return value;
}

own_call test_dialect::order_call(
    const phase_order& value, const std::string& server_id) const {
    own_call call;
    call.head.method = "POST";
    call.head.target = "/order";
    call.head.fields = {{"Host", "s"}, {"Target", server_id}};
    call.body = fmt::format(
        "{} {} {}", traffic::to_string(value.to), value.fence,
        value.orders_taken);
    return call;
}

std::string test_dialect::result_location(
    const std::string&, const std::string& handle) const {
    return handle;
}

http1::field_list test_dialect::own_answer(
    const std::string& request_id,
    std::optional<base::milliseconds> retry_after) const {
    http1::field_list fields = {{"Id", request_id}, {"Own", "1"}};
    if (retry_after)
        fields.push_back({"Retry-After", std::to_string(retry_after->count())});
    return fields;
}

std::string caller_view::field(std::string_view name) const {
    return text_of(fields, name);
}

relay_fixture::relay_fixture(int log_descriptor)
    : log(log_descriptor, "test", {})
    , pool(
          owner,
          [this](
              const upstream::target& where, base::milliseconds timeout,
              upstream::connect_handler on_done) {
              connects.push_back(where);
              event::connect(
                  owner, where.where, timeout,
                  [on_done = std::move(on_done)](
                      event::connection_ptr link,
                      event::connect_result result) {
                      on_done({std::move(link), result, false});
                  });
          })
    , releases(pool, protocol)
    , prober(
          owner, pool, protocol, log,
          [](const std::string&) { return std::nullopt; },
          [](const std::string&, bool) {})
    , context{owner, pool, protocol, log, metrics, releases, prober, {}} {
    config.version = 1;
    config.routes = {
        route_of("safe", traffic::route_kind::safe, 2),
        route_of("unsafe", traffic::route_kind::unsafe, 1),
        route_of("stream", traffic::route_kind::streaming, 1),
        route_of("resume", traffic::route_kind::streaming, 2)};
    config.services["app"] = {"app", "/health", 1000, std::nullopt};
    config.services["llm"] = {
        "llm", "/health", 1000,
        traffic::engine_spec{10000, base::milliseconds(2000)}};
    configure();
    context.state.retry_bounds.extra = 1000.0;
    observe_server_notices(context);
    entry = std::make_unique<entry_server>(context);
    cr_assert(entry->open({"127.0.0.1", 0}).ok());
}

relay_fixture::~relay_fixture() = default;

void relay_fixture::configure() {
    traffic::index(config);
    context.state.config = std::make_shared<traffic::configuration>(config);
}

scripted_server& relay_fixture::add_server(
    const std::string& id, const std::string& service,
    traffic::engine_phase phase, script behaviour, const std::string& version) {
    scripted_server& added = servers_.emplace_back(owner, std::move(behaviour));
    cr_assert(added.open({"127.0.0.1", 0}).ok());
    add_row(id, service, phase, added.port(), version);
    return added;
}

void relay_fixture::add_dead_server(
    const std::string& id, const std::string& service) {
    const bound_port& port = dead_ports_.emplace_back();
    add_row(id, service, traffic::engine_phase::none, port.number(), "v1");
}

void relay_fixture::add_row(
    const std::string& id, const std::string& service,
    traffic::engine_phase phase, std::uint16_t port,
    const std::string& version) {
    traffic::server row;
    row.id = id;
    row.service = service;
    row.where = {"127.0.0.1", port};
    row.phase = phase;
    row.slots = 64;
    row.version = version;
    traffic::apply(context.state.servers, id, ++version_, row);
}

void relay_fixture::run_until(const std::function<bool()>& condition) {
    if (condition())
        return;
    event::timer polling(owner);
    event::timer limit(owner);
    bool timed_out = false;
    std::function<void()> check = [&] {
        if (condition())
            owner.stop();
        else
            polling.start(poll_interval, [&] { check(); });
    };
    polling.start(poll_interval, [&] { check(); });
    limit.start(test_timeout, [&] {
        timed_out = true;
        owner.stop();
    });
    owner.run();
    cr_assert(!timed_out, "condition not met within the time limit");
}

caller_view
relay_fixture::ask(const std::string& bytes, std::function<bool()> until) {
    caller_view seen;
    bool ended = false;
    event::connection_ptr link;
    http1::response_parser parser({64 * 1024, 64 * 1024 * 1024}, false);
    std::string pending;
    event::connect(
        owner, {"127.0.0.1", entry->port()}, test_timeout,
        [&](event::connection_ptr opened, event::connect_result) {
            link = std::move(opened);
            link->set_handlers(
                {[&](std::string_view data) {
                     seen.text += data;
                     pending += data;
                     const std::size_t used =
                         parser.put(pending, [&](std::string_view piece) {
                             seen.body += piece;
                         });
                     pending.erase(0, used);
                 },
                 [&](event::connection_end how) {
                     if (how == event::connection_end::orderly)
                         parser.put_end();
                     ended = true;
                 },
                 nullptr});
            link->write(bytes);
        });
    run_until([&] { return ended || (until ? until() : parser.done()); });
    if (parser.has_head()) {
        seen.status = parser.head().status;
        seen.fields = parser.head().fields;
    }
    seen.complete = parser.done();
    if (link != nullptr)
        link->abort();
    return seen;
}

event::connection_ptr relay_fixture::connect_idle() {
    event::connection_ptr link;
    event::connect(
        owner, {"127.0.0.1", entry->port()}, test_timeout,
        [&](event::connection_ptr opened, event::connect_result) {
            link = std::move(opened);
        });
    const std::size_t before = entry->connections();
    run_until([&] { return entry->connections() > before && link != nullptr; });
    return link;
}

std::string request(const std::string& path, const std::string& fields) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: h\r\n{}Content-Length: 2\r\n\r\nhi", path,
        fields);
}

std::string prompt(const std::string& path, int tokens) {
    return request(path, fmt::format("Id: r1\r\nTokens: {}\r\n", tokens));
}

} // namespace mintknot::relay::tests
