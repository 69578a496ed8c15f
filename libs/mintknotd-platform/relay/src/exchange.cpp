#include <mintknot/relay/exchange.hpp>

#include "end_check.hpp"
#include "generation_exchange.hpp"
#include "plain_exchange.hpp"

#include <mintknot/http1/serialize.hpp>
#include <mintknot/relay/request_digest.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Deadline of a request that states none. It is far beyond the timeout of any
/// route, so that the route's timeout applies.
constexpr base::milliseconds default_deadline{60000};

constexpr std::string_view crashes_servers = "crashes_servers";

constexpr int status_unauthorized = 401;
constexpr int status_unavailable = 503;

std::string_view body_of(const caller_request& request) {
    return request.body == nullptr ? std::string_view{} : *request.body;
}

} // namespace

exchange::exchange(
    router_context& context, answer_sink& sink, caller_request request,
    std::shared_ptr<const traffic::configuration> config,
    const traffic::route& route, const traffic::service& service)
    : context_(context)
    , sink_(sink)
    , request_(std::move(request))
    , config_(std::move(config))
    , route_(route)
    , service_(service)
    , identity_(
          body_of(request_).size(),
          [this] {
              return request_digest(
                  organisation_name(), request_.head, body_of(request_));
          },
          shared_parts(service.name, request_.terms.prompt_parts))
    , deadline_timer_(context.loop)
    , deadline_(request_.arrived + std::min(route.timeout, caller_deadline())) {
    ++context_.state.open_requests;
}

exchange::~exchange() {
    return_usage();
    hold(0);
    --context_.state.open_requests;
}

void exchange::start() {
    policy::earn_retries(
        context_.state.retry_allowances[service_.name],
        context_.state.retry_bounds, context_.loop.now());
    if (request_.terms.deadline)
        policy::note_deadline(
            context_.state.deadlines[route_.name], *request_.terms.deadline,
            context_.loop.now());
    if (!ensure_not_blocked())
        return;
    deadline_timer_.start(deadline_, [this] { on_deadline(); });
    const traffic::organisation* who = request_.organisation;
    if (who != nullptr && who->limit.limited() && context_.limits != nullptr)
        request_usage();
    else
        run_at_version();
}

bool exchange::ensure_allowed() {
    return ensure_key_valid() && ensure_not_blocked() && ensure_in_time();
}

std::optional<crash_block> exchange::find_block() const {
    if (context_.crashes == nullptr)
        return std::nullopt;
    return context_.crashes->find_block(identity_);
}

bool exchange::ensure_not_blocked() {
    const auto block = find_block();
    if (!block)
        return true;
    if (!block->parts.empty())
        context_.log.write(
            "part_refused",
            {{"request", request_.terms.id}, {"parts", block->parts}});
    cancel_calls();
    if (attempts_.answer_begun)
        abort_answer(crashes_servers);
    else
        give_up(crashes_servers, block->left);
    return false;
}

bool exchange::ensure_key_valid() {
    const bool may_have_run =
        verdict_ != base::verdict::not_run || attempts_.answer_begun;
    if (may_have_run || request_.organisation == nullptr)
        return true;
    const traffic::configuration& current = *context_.state.config;
    const policy::access_decision found = policy::check_access(
        current.organisations.get(), route_.open_to_all, request_.terms.key,
        configuration_freshness_of(context_));
    if (found.what == policy::access_verdict::stale_configuration) {
        refuse(
            status_unavailable, "old_knowledge",
            policy::entry_refusal_retry_after);
        return false;
    }
    const bool same = found.organisation != nullptr &&
                      found.organisation->name == request_.organisation->name;
    if (same || route_.open_to_all || current.organisations == nullptr)
        return true;
    refuse(status_unauthorized, "unknown_key", std::nullopt);
    return false;
}

int exchange::priority() const {
    const traffic::organisation* who = request_.organisation;
    return who == nullptr ? route_.priority
                          : who->priority.value_or(route_.priority);
}

base::milliseconds exchange::caller_deadline() const {
    return request_.terms.deadline.value_or(default_deadline);
}

base::milliseconds exchange::time_left() const {
    return base::time_left(deadline_, context_.loop.now());
}

base::milliseconds exchange::since_arrival() const {
    return std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - request_.arrived);
}

void exchange::raise_verdict(base::verdict seen) {
    verdict_ = base::raised(verdict_, seen);
}

std::optional<policy::capacity_claim>
exchange::claim(bool waiting, bool begun) const {
    if (!context_.state.capacity_sharing)
        return std::nullopt;
    policy::capacity_claim result;
    result.priority = priority();
    result.organisation = organisation_name();
    result.target_left = std::max(
        base::milliseconds{0}, route_.target_latency - since_arrival());
    result.deadline_left = std::max(base::milliseconds{0}, time_left());
    result.caller_retry = is_caller_retry();
    result.waiting = waiting;
    result.begun = begun;
    return result;
}

void exchange::record_first_byte() {
    if (first_byte_ == base::milliseconds{0})
        first_byte_ = since_arrival();
}

void exchange::record_send() {
    if (!first_send_)
        first_send_ = since_arrival();
    if (const auto age = server_table_age(context_))
        context_.metrics.observe_server_table_age(*age);
}

bool exchange::is_caller_retry() const {
    const auto found = context_.state.deadlines.find(route_.name);
    return found != context_.state.deadlines.end() &&
           policy::was_refused_before(found->second, request_.terms.deadline);
}

void exchange::record_broken_call(
    const std::string& server_id, upstream::call_failure why,
    base::steady_time sent, bool answer_just_begun) const {
    const auto ran_for = std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - sent);
    context_.log.write(
        "call_broke", {{"request", request_.terms.id},
                       {"digest", identity_.digest()},
                       {"server", server_id},
                       {"how", upstream::to_string(why)},
                       {"after_ms", ran_for.count()}});
    if (context_.crashes != nullptr)
        context_.crashes->report_broken_call(
            identity_, {server_id, ran_for, answer_just_begun});
}

void exchange::record_sound() const {
    if (context_.crashes != nullptr)
        context_.crashes->report_sound(identity_);
}

void exchange::record_complete_answer() const {
    if (context_.crashes != nullptr)
        context_.crashes->report_answer(identity_);
}

bool exchange::is_answer_to_request(const http1::response_head& head) const {
    const answer_metadata terms = context_.protocol.read_answer(head);
    return terms.request_id == request_.terms.id ||
           (terms.request_id.empty() && terms.request_unreadable);
}

void exchange::log_with_state(
    std::string_view event, std::vector<logging::log_field> fields) const {
    const auto& current = context_.state.config;
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    fields.push_back({"config", static_cast<std::int64_t>(config_->version)});
    fields.push_back({"config_now", static_cast<std::int64_t>(version)});
    fields.push_back({"loop_delay_ms", context_.loop.recent_delay().count()});
    fields.push_back({"after_ms", since_arrival().count()});
    context_.log.write_fields(event, fields);
}

std::string exchange::organisation_name() const {
    return request_.organisation == nullptr ? std::string{}
                                            : request_.organisation->name;
}

call_parameters
exchange::call_options_for(const traffic::server& server) const {
    call_parameters options;
    options.server_id = server.id;
    options.time_left = time_left();
    options.strip_key = config_->organisations != nullptr;
    options.organisation = organisation_name();
    return options;
}

std::optional<int> exchange::urgency() const {
    if (!context_.state.capacity_sharing || !service_.mixed_priorities)
        return std::nullopt;
    return policy::engine_urgency(priority());
}

upstream::call_request
exchange::call_for(const call_parameters& options) const {
    http1::request_head head =
        context_.protocol.forwarded_request(request_.head, options);
    // Servers get HTTP/1.1, whatever the caller speaks.
    head.minor_version = 1;
    return {std::move(head), request_.body};
}

std::unique_ptr<exchange> make_exchange(
    router_context& context, answer_sink& sink, caller_request request,
    const std::shared_ptr<const traffic::configuration>& config,
    const traffic::route& route, const traffic::service& service) {
    if (service.engine && route.kind == traffic::route_kind::streaming)
        return std::make_unique<generation_exchange>(
            context, sink, std::move(request), config, route, service);
    return std::make_unique<plain_exchange>(
        context, sink, std::move(request), config, route, service);
}

std::string serialize_refusal(
    const router_context& context, int status, const std::string& request_id,
    std::string_view reason, std::optional<base::milliseconds> retry_after,
    bool keep_alive) {
    return http1::text_response(
        status, context.protocol.own_answer(request_id, retry_after),
        std::string(reason) + "\n", keep_alive);
}

} // namespace mintknot::relay
