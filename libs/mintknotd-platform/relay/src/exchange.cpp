#include <mintknot/relay/exchange.hpp>

#include "generation_exchange.hpp"
#include "plain_exchange.hpp"

#include <mintknot/http1/serialize.hpp>
#include <mintknot/policy/usage_account.hpp>
#include <mintknot/relay/request_digest.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Of a caller that names none: far beyond any route's timeout, which then
/// decides.
constexpr base::milliseconds default_deadline{60000};

constexpr std::string_view crashes_servers = "crashes_servers";

constexpr int status_unauthorized = 401;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

std::string_view body_of(const caller_request& request) {
    return request.body == nullptr ? std::string_view{} : *request.body;
}

int status_of(base::verdict verdict, bool out_of_time) {
    if (verdict == base::verdict::not_run)
        return status_unavailable;
    return out_of_time ? 504 : 502;
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
          })
    , deadline_timer_(context.loop)
    , deadline_(
          request_.arrived +
          std::min(
              route.timeout,
              request_.terms.deadline.value_or(default_deadline))) {
    ++context_.state.open_requests;
}

exchange::~exchange() {
    return_usage();
    --context_.state.open_requests;
}

void exchange::start() {
    policy::earn(
        context_.state.allowances[service_.name], context_.state.retry_bounds,
        context_.loop.now());
    if (request_.terms.deadline)
        policy::note_deadline(
            context_.state.deadlines[route_.name], *request_.terms.deadline,
            context_.loop.now());
    if (!not_blocked())
        return;
    deadline_timer_.start(deadline_, [this] { on_deadline(); });
    const traffic::organisation* who = request_.organisation;
    if (who != nullptr && who->limit.limited() && context_.limits != nullptr)
        ask_for_usage();
    else
        run();
}

void exchange::ask_for_usage() {
    const request_terms& terms = request_.terms;
    const double tokens = terms.prompt_tokens + terms.max_output_tokens;
    const double cost = policy::usage_cost(
        request_.organisation->limit,
        terms.tells_tokens ? std::optional(tokens) : std::nullopt);
    usage_ticket_ = context_.limits->ask(
        *request_.organisation, cost,
        [this](const usage_grant& told) { on_usage(told); });
}

void exchange::on_usage(const usage_grant& told) {
    usage_ = told;
    if (told.granted)
        run();
    else
        refuse(status_too_many_requests, "over_limit", told.come_back);
}

void exchange::return_usage() {
    usage_ticket_.reset();
    if (usage_.granted && verdict_ == base::verdict::not_run)
        context_.limits->give_back(request_.organisation->name, usage_);
    usage_.granted = false;
}

bool exchange::still_allowed() {
    return key_still_good() && not_blocked();
}

bool exchange::not_blocked() {
    if (context_.crashes == nullptr)
        return true;
    const auto left = context_.crashes->blocked_for(identity_);
    if (!left)
        return true;
    cancel_calls();
    if (attempts_.answer_begun)
        break_answer(crashes_servers);
    else
        give_up(crashes_servers, *left);
    return false;
}

bool exchange::key_still_good() {
    const bool begun =
        verdict_ != base::verdict::not_run || attempts_.answer_begun;
    if (begun || request_.organisation == nullptr)
        return true;
    const traffic::configuration& now = *context_.state.config;
    const policy::access_decision found = policy::check_access(
        now.organisations.get(), route_.open_to_all, request_.terms.key,
        knowledge_of(context_));
    if (found.what == policy::access_verdict::old_knowledge) {
        refuse(
            status_unavailable, "old_knowledge",
            policy::entry_refusal_retry_after);
        return false;
    }
    const bool same = found.organisation != nullptr &&
                      found.organisation->name == request_.organisation->name;
    if (same || route_.open_to_all || now.organisations == nullptr)
        return true;
    refuse(status_unauthorized, "unknown_key", std::nullopt);
    return false;
}

int exchange::priority() const {
    const traffic::organisation* who = request_.organisation;
    return who == nullptr ? route_.priority
                          : who->priority.value_or(route_.priority);
}

void exchange::caller_left() {
    if (finished_)
        return;
    cancel_calls();
    finish("caller_left");
}

void exchange::on_deadline() {
    if (may_be_running())
        raise(base::verdict::may_have_run);
    cancel_calls();
    if (attempts_.answer_begun)
        break_answer("deadline_passed");
    else
        give_up("deadline_passed");
}

base::milliseconds exchange::time_left() const {
    return base::time_left(deadline_, context_.loop.now());
}

base::milliseconds exchange::since_arrival() const {
    return std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - request_.arrived);
}

void exchange::raise(base::verdict seen) {
    verdict_ = base::raised(verdict_, seen);
}

void exchange::give_up(std::string_view reason) {
    give_up(reason, policy::default_retry_after);
}

void exchange::give_up(std::string_view reason, base::milliseconds come_back) {
    if (finished_)
        return;
    const bool out_of_time = time_left() <= base::milliseconds{0};
    const int status = status_of(verdict_, out_of_time);
    std::optional<base::milliseconds> retry_after;
    if (verdict_ == base::verdict::not_run)
        retry_after = come_back;
    end_with(status, reason, retry_after);
}

void exchange::refuse(
    int status, std::string_view reason,
    std::optional<base::milliseconds> come_back) {
    if (finished_)
        return;
    cancel_calls();
    end_with(status, reason, come_back);
}

void exchange::end_with(
    int status, std::string_view reason,
    std::optional<base::milliseconds> retry_after) {
    http1::response_head head;
    head.status = status;
    head.fields = context_.protocol.own_answer(request_.terms.id, retry_after);
    note_first_byte();
    context_.log.write(
        "given_up",
        {{"request", request_.terms.id},
         {"route", route_.name},
         {"reason", reason},
         {"status", std::int64_t{status}},
         {"come_back_ms", retry_after.value_or(base::milliseconds{0}).count()},
         {"organisation", organisation_name()},
         {"verdict", base::to_string(verdict_)},
         {"sends", std::int64_t{sends_}},
         {"config", static_cast<std::int64_t>(config_->version)},
         {"after_ms", since_arrival().count()}});
    finish(reason);
    sink_.whole(std::move(head), std::string(reason) + "\n");
}

void exchange::answer_whole(http1::response_head head, std::string body) {
    if (finished_)
        return;
    note_first_byte();
    http1::erase_hop_fields(head.fields);
    finish(head.status < 400 ? "answered" : "server_failure");
    sink_.whole(std::move(head), std::move(body));
}

void exchange::note_first_byte() {
    if (first_byte_ == base::milliseconds{0})
        first_byte_ = since_arrival();
}

void exchange::note_offer() {
    if (!first_offer_)
        first_offer_ = since_arrival();
    if (const auto age = servers_age(context_))
        context_.metrics.observe_servers_age(*age);
}

bool exchange::returned() const {
    const auto found = context_.state.deadlines.find(route_.name);
    return found != context_.state.deadlines.end() &&
           policy::was_refused_before(found->second, request_.terms.deadline);
}

void exchange::end_answer(std::string_view outcome) {
    if (finished_)
        return;
    finish(outcome);
    sink_.end();
}

void exchange::break_answer(std::string_view reason) {
    if (finished_)
        return;
    context_.log.write(
        "broken_off", {{"request", request_.terms.id},
                       {"route", route_.name},
                       {"reason", reason},
                       {"sends", std::int64_t{sends_}},
                       {"after_ms", since_arrival().count()}});
    finish(reason);
    sink_.break_off();
}

void exchange::end_by(policy::action what, std::string_view reason) {
    if (what == policy::action::break_off)
        break_answer(reason);
    else
        give_up(reason);
}

void exchange::finish(std::string_view outcome) {
    finished_ = true;
    deadline_timer_.stop();
    return_usage();
    context_.metrics.count_request(
        {route_.name, std::string(outcome), first_byte_, since_arrival()});
    context_.log.write(
        "finished",
        {{"request", request_.terms.id},
         {"route", route_.name},
         {"outcome", outcome},
         {"sends", std::int64_t{sends_}},
         {"returned", returned()},
         {"target_ms", route_.target_latency.count()},
         {"waited_ms", first_offer_.value_or(since_arrival()).count()},
         {"first_byte_ms", first_byte_.count()},
         {"total_ms", since_arrival().count()}});
}

void exchange::note_broken_call(
    const std::string& server_id, base::steady_time sent) const {
    const auto ran_for = std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - sent);
    context_.log.write(
        "call_broke", {{"request", request_.terms.id},
                       {"digest", identity_.digest()},
                       {"server", server_id},
                       {"after_ms", ran_for.count()}});
    if (context_.crashes != nullptr)
        context_.crashes->call_broke(identity_, server_id, ran_for);
}

void exchange::note_whole_answer() const {
    if (context_.crashes != nullptr)
        context_.crashes->answered(identity_);
}

bool exchange::belongs(const http1::response_head& head) const {
    const answer_terms terms = context_.protocol.read_answer(head);
    return terms.request_id == request_.terms.id ||
           (terms.request_id.empty() && terms.not_executed);
}

std::string exchange::organisation_name() const {
    return request_.organisation == nullptr ? std::string{}
                                            : request_.organisation->name;
}

call_terms exchange::terms_for(const traffic::server& server) const {
    call_terms terms;
    terms.server_id = server.id;
    terms.time_left = time_left();
    terms.hides_key = config_->organisations != nullptr;
    terms.organisation = organisation_name();
    return terms;
}

upstream::call_request exchange::call_for(const call_terms& terms) const {
    return {context_.protocol.outgoing(request_.head, terms), request_.body};
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

std::string refusal_text(
    const router_context& context, int status, const std::string& request_id,
    std::string_view reason, std::optional<base::milliseconds> retry_after,
    bool keep_alive) {
    return http1::text_response(
        status, context.protocol.own_answer(request_id, retry_after),
        std::string(reason) + "\n", keep_alive);
}

} // namespace mintknot::relay
