/// @file
/// The software version at which the stream of an exchange goes on.

#include <mintknot/relay/exchange.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

constexpr int status_unavailable = 503;
constexpr std::string_view version_gone = "version_gone";

} // namespace

void exchange::run_at_version() {
    const std::optional<resumption>& resumes = request_.terms.resumes;
    const bool streams = route_.kind == traffic::route_kind::streaming;
    if (!resumes || !streams || context_.origins == nullptr) {
        run();
        return;
    }
    origin_ticket_ = context_.origins->find(
        {organisation_name(), resumes->first_request, service_.name},
        [this](const origin_answer& answer) { on_origin(answer); });
}

void exchange::on_origin(const origin_answer& answer) {
    log_taken_up(answer);
    context_.metrics.count_taken_up(answer.decision.verdict);
    const policy::origin_decision& found = answer.decision;
    if (found.version.empty()) {
        refuse(
            status_unavailable, policy::to_string(found.verdict),
            found.retry_after);
        return;
    }
    stream_version_ = found.version;
    run();
}

void exchange::log_taken_up(const origin_answer& answer) const {
    context_.log.write(
        "taken_up", {{"request", request_.terms.id},
                     {"resumes", request_.terms.resumes->first_request},
                     {"last_event", request_.terms.resumes->last_event},
                     {"outcome", policy::to_string(answer.decision.verdict)},
                     {"version", answer.decision.version},
                     {"told_by", answer.told_by},
                     {"age_ms", answer.age.count()},
                     {"after_ms", since_arrival().count()}});
}

void exchange::note_stream_begun(const std::string& version) {
    if (!stream_version_)
        stream_version_ = version;
    if (route_.resumable && context_.origins != nullptr)
        context_.origins->note_begun(
            {organisation_name(), request_.terms.id, service_.name},
            *stream_version_, route_.timeout + policy::origin_grace);
}

bool exchange::is_other_version(const traffic::server& server) const {
    return stream_version_ &&
           !policy::is_same_version(*stream_version_, server.version);
}

bool exchange::is_version_gone(
    bool (*suits)(traffic::engine_phase phase)) const {
    // An instance without rows does not know all servers.
    if (!stream_version_ || context_.state.servers.partial)
        return false;
    const auto& servers =
        traffic::open_servers(context_.state.servers, service_.name);
    return std::none_of(
        servers.begin(), servers.end(), [&](const traffic::server* server) {
            return suits(server->phase) && !is_other_version(*server);
        });
}

void exchange::end_without_version() {
    if (attempts_.answer_begun)
        abort_answer(version_gone);
    else
        give_up(
            version_gone,
            usable_retry_after(outage_retry_after(context_, service_.name)));
}

} // namespace mintknot::relay
