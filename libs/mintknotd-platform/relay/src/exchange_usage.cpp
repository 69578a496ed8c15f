/// @file
/// The usage grant of an exchange whose organisation has a limit.

#include <mintknot/relay/exchange.hpp>

#include <mintknot/policy/usage_account.hpp>

namespace mintknot::relay {

namespace {

constexpr int status_too_many_requests = 429;

} // namespace

void exchange::request_usage() {
    const request_metadata& terms = request_.terms;
    const double tokens = terms.prompt_tokens + terms.max_output_tokens;
    const double cost = policy::usage_cost(
        request_.organisation->limit,
        terms.declares_tokens ? std::optional(tokens) : std::nullopt);
    usage_ticket_ = context_.limits->request_grant(
        *request_.organisation, cost,
        [this](const usage_grant& grant) { on_usage_grant(grant); });
}

void exchange::on_usage_grant(const usage_grant& grant) {
    usage_ = grant;
    if (grant.granted)
        run_at_version();
    else
        refuse(status_too_many_requests, "over_limit", grant.retry_after);
}

void exchange::return_usage() {
    usage_ticket_.reset();
    origin_ticket_.reset();
    if (usage_.granted && verdict_ == base::verdict::not_run)
        context_.limits->refund(request_.organisation->name, usage_);
    usage_.granted = false;
}

} // namespace mintknot::relay
