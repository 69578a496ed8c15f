#include <mintknot/entry/placer.hpp>

#include <mintknot/base/status_text.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <set>

namespace mintknot::entry {

namespace {

/// A scheduler that may queue answers later than the query's time, by the way
/// there and back.
constexpr base::milliseconds way_there_and_back{500};
constexpr base::milliseconds quick_answer{500};
/// Schedulers of a data centre that are asked before it is left out.
constexpr std::size_t most_schedulers_asked = 3;

bool lacks_room(const rpc::placed_request& answer) {
    if (!answer.refused)
        return false;
    const base::reason code = answer.refused->code;
    return code == base::reason::no_capacity ||
           code == base::reason::no_engine ||
           code == base::reason::deadline_unreachable ||
           code == base::reason::queue_full;
}

} // namespace

placer::placer(
    const config::change_feed& feed, control::control_loop& control,
    rpc::peer_client& peers)
    : feed_(feed)
    , control_(control)
    , peers_(peers) {}

std::vector<std::string>
placer::data_centres_of(const std::string& service) const {
    const auto current = feed_.current();
    std::set<std::string> found;
    for (const auto& [name, server] : current->backend_servers()) {
        const auto pool = current->pool(server->spec.pool);
        if (pool && pool->spec.service == service)
            found.insert(server->spec.data_centre);
    }
    const std::string own = control_.view()->self.data_centre;
    std::vector<std::string> ordered;
    if (found.erase(own) > 0)
        ordered.push_back(own);
    ordered.insert(ordered.end(), found.begin(), found.end());
    return ordered;
}

absl::StatusOr<rpc::placed_request> placer::ask_in_order(
    const routing::place_query& query, const std::string& data_centre,
    std::optional<scheduler_location>& scheduler) {
    const auto view = control_.view();
    std::vector<base::instance_id> silent;
    absl::Status last_error;
    while (silent.size() < most_schedulers_asked) {
        const auto chosen =
            control::scheduler_of(*view, query.service, data_centre, silent);
        if (!chosen && !silent.empty())
            break;
        auto answer = ask(query, data_centre, chosen, scheduler);
        if (answer.ok())
            return answer;
        last_error = answer.status();
        if (!chosen || chosen->id.data_centre != data_centre)
            break;
        silent.push_back(chosen->id);
    }
    return last_error;
}

absl::StatusOr<rpc::placed_request> placer::ask(
    const routing::place_query& query, const std::string& data_centre,
    const std::optional<cluster::member>& chosen,
    std::optional<scheduler_location>& scheduler) {
    const base::instance_id self = control_.view()->self;
    const bool own = !chosen || chosen->id == self;
    if (own && data_centre != self.data_centre)
        return absl::UnavailableError("no instance of the data centre");
    scheduler = scheduler_location{query.service, std::nullopt};
    if (own) {
        std::promise<rpc::placed_request> answer;
        control_.place(query, [&answer](rpc::placed_request placed) {
            answer.set_value(std::move(placed));
        });
        return answer.get_future().get();
    }
    // The rendezvous falls back to other data centres: those have no engines.
    if (chosen->id.data_centre != data_centre)
        return absl::UnavailableError("no instance of the data centre");
    scheduler->remote = chosen->rpc;
    const auto timeout = query.may_wait
                             ? query.time_left + way_there_and_back
                             : std::min(query.time_left, quick_answer);
    return peers_.place(chosen->rpc, query, timeout);
}

placed placer::place_alone(
    const routing::place_query& query, const std::string& why) const {
    const auto view = control_.view();
    routing::engine_table table;
    routing::follow_configuration(
        table, *feed_.current(), query.service, view->self.data_centre);
    for (const auto& [engine, load] : view->loads)
        if (auto* known = routing::find_engine(table, engine))
            routing::take_load(*known, load);
    const auto choice =
        routing::choose_alone(table, query, base::steady_clock::now());
    placed result;
    audit::decision record;
    record.request = query.request;
    record.kind = choice.chosen ? audit::decision_kind::placement
                                : audit::decision_kind::refusal;
    record.code = choice.code;
    record.sentence =
        fmt::format("{} (no scheduler answered: {})", choice.sentence, why);
    result.records.push_back(audit::to_json(record).dump());
    if (!choice.chosen) {
        result.request.refused = base::refusal{
            choice.code, choice.sentence, base::verdict::not_run,
            base::milliseconds{1000}};
        return result;
    }
    const auto& prefill = table.engines[choice.chosen->prefill];
    const auto& decode = table.engines[choice.chosen->decode];
    result.request.attempt = query.attempt;
    result.request.prefill_name = prefill.name;
    result.request.prefill_at = prefill.where;
    result.request.decode_name = decode.name;
    result.request.decode_at = decode.where;
    return result;
}

placed placer::place(routing::place_query query) {
    const auto data_centres = data_centres_of(query.service);
    placed result;
    if (data_centres.empty()) {
        result.request.refused = base::refusal{
            base::reason::no_engine, "the service has no engines",
            base::verdict::not_run, base::milliseconds{1000}};
        return result;
    }
    // A kept result binds the request to the data centre that holds it.
    const bool may_move = query.prefilled_on.empty();
    const std::size_t asked = may_move ? data_centres.size() : 1;
    bool any_answer = false;
    std::string last_error;
    const auto try_one = [&](const std::string& data_centre, bool may_wait) {
        query.may_wait = may_wait;
        std::optional<scheduler_location> scheduler;
        const auto answer = ask_in_order(query, data_centre, scheduler);
        if (!answer.ok()) {
            last_error = base::text_of(answer.status());
            return false;
        }
        any_answer = true;
        if (!answer->record.empty())
            result.records.push_back(answer->record);
        result.request = *answer;
        result.scheduler = scheduler;
        return !lacks_room(*answer);
    };
    for (std::size_t i = 0; i < asked; ++i)
        if (try_one(data_centres[i], false))
            return result;
    if (!any_answer)
        return place_alone(query, last_error);
    // Waiting helps only where memory is short, not where time is.
    const bool worth_waiting =
        result.request.refused->code == base::reason::no_capacity;
    if (worth_waiting)
        try_one(data_centres.front(), true);
    return result;
}

} // namespace mintknot::entry
