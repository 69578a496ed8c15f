#include <mintknot/losses/loss_report.hpp>

#include <mintknot/losses/caller_report.hpp>

#include <fmt/format.h>

namespace mintknot::losses {

namespace {

using nlohmann::json;

double weight_of(const loss_ledger& ledger, const std::string& route) {
    const auto found = ledger.options.weights.find(route);
    return found == ledger.options.weights.end() ? 1.0 : found->second;
}

/// Sums weights by what `group` says of a key.
template<class Group, class Function>
std::map<Group, weight_by_cause>
grouped(const loss_ledger& ledger, const Function& group) {
    std::map<Group, weight_by_cause> sums;
    for (const auto& [key, requests] : ledger.requests)
        sums[group(key)][key.cause] +=
            static_cast<double>(requests) * weight_of(ledger, key.route);
    return sums;
}

double total(const weight_by_cause& weights) {
    double sum = 0.0;
    for (const auto& [cause, weight] : weights)
        sum += weight;
    return sum;
}

std::string causes_text(const weight_by_cause& weights) {
    const double all = total(weights);
    std::string text;
    for (const auto& [cause, weight] : weights)
        text += fmt::format(
            "  {:<24}{:>12.1f}{:>9.2f}%\n", to_string(cause), weight,
            all > 0.0 ? weight / all * 100.0 : 0.0);
    return text;
}

template<class Group>
std::string groups_text(
    std::string_view heading, const std::map<Group, weight_by_cause>& groups) {
    std::string text;
    for (const auto& [name, weights] : groups)
        text += fmt::format("{} {}\n{}", heading, name, causes_text(weights));
    return text;
}

std::string first_tries_text(const loss_ledger& ledger) {
    std::string text = fmt::format(
        "{:<24}{:>9}{:>11}{:>8}{:>10}{:>8}{:>10}{:>8}{:>10}{:>9}\n",
        "first tries", "requests", "in target", "late", "at once", "held",
        "held ms", "failed", "returned", "in vain");
    for (const auto& [route, account] : ledger.first_tries)
        text += fmt::format(
            "{:<24}{:>9}{:>11}{:>8}{:>10}{:>8}{:>10}{:>8}{:>10}{:>9}\n", route,
            account.first_tries, account.in_target, account.late,
            account.refused_at_once, account.held_and_refused,
            account.held.count(), account.failed, account.returned,
            account.returned_in_vain);
    return text;
}

std::string organisations_text(const loss_ledger& ledger) {
    std::string text = "refused, by organisation\n";
    for (const auto& [organisation, causes] : ledger.by_organisation)
        for (const auto& [cause, requests] : causes)
            text += fmt::format(
                "  {:<24}{:<16}{:>9}\n", organisation, to_string(cause),
                requests);
    return text;
}

json organisations_json(const loss_ledger& ledger) {
    json rows = json::object();
    for (const auto& [organisation, causes] : ledger.by_organisation)
        for (const auto& [cause, requests] : causes)
            rows[organisation][std::string(to_string(cause))] = requests;
    return rows;
}

std::string lines_text(const line_counts& lines) {
    std::string text = fmt::format("{} lines read", lines.read);
    if (lines.left_out > 0)
        text += fmt::format(
            ", {} left out by the instances: figures are too low",
            lines.left_out);
    if (lines.foreign > 0)
        text += fmt::format(
            ", {} not of an instance, the first: {}", lines.foreign,
            lines.first_foreign);
    return text + "\n";
}

json to_json(const weight_by_cause& weights) {
    json row = json::object();
    for (const auto& [cause, weight] : weights)
        row[std::string(to_string(cause))] = weight;
    return row;
}

template<class Group>
json groups_json(const std::map<Group, weight_by_cause>& groups) {
    json rows = json::object();
    for (const auto& [name, weights] : groups)
        rows[fmt::format("{}", name)] = to_json(weights);
    return rows;
}

json to_json(const first_try_account& account) {
    return {
        {"first_tries", account.first_tries},
        {"in_target", account.in_target},
        {"late", account.late},
        {"refused_at_once", account.refused_at_once},
        {"held_and_refused", account.held_and_refused},
        {"held_ms", account.held.count()},
        {"failed", account.failed},
        {"returned", account.returned},
        {"returned_in_vain", account.returned_in_vain}};
}

} // namespace

weight_by_cause by_cause(const loss_ledger& ledger) {
    return grouped<int>(ledger, [](const ledger_key&) { return 0; })[0];
}

std::map<std::string, weight_by_cause> by_route(const loss_ledger& ledger) {
    return grouped<std::string>(
        ledger, [](const ledger_key& key) { return key.route; });
}

std::map<std::string, weight_by_cause>
by_data_centre(const loss_ledger& ledger) {
    return grouped<std::string>(
        ledger, [](const ledger_key& key) { return key.data_centre; });
}

std::map<std::int64_t, weight_by_cause> by_window(const loss_ledger& ledger) {
    return grouped<std::int64_t>(
        ledger, [](const ledger_key& key) { return key.window; });
}

std::string to_text(const loss_ledger& ledger) {
    std::string text = lines_text(ledger.lines);
    text += "all requests, by weight\n" + causes_text(by_cause(ledger));
    text += groups_text("route", by_route(ledger));
    text += groups_text("data centre", by_data_centre(ledger));
    text += callers_text(ledger);
    text += first_tries_text(ledger);
    text += organisations_text(ledger);
    text += "prompt tokens read again or for nothing\n";
    for (const auto& [reason, tokens] : ledger.tokens_read_again)
        text += fmt::format("  {:<24}{:>12.0f}\n", reason, tokens);
    return text;
}

json to_json(const loss_ledger& ledger) {
    json first_tries = json::object();
    for (const auto& [route, account] : ledger.first_tries)
        first_tries[route] = to_json(account);
    return {
        {"lines",
         {{"read", ledger.lines.read},
          {"foreign", ledger.lines.foreign},
          {"first_foreign", ledger.lines.first_foreign},
          {"left_out", ledger.lines.left_out}}},
        {"window_ms", ledger.options.window.count()},
        {"all", to_json(by_cause(ledger))},
        {"routes", groups_json(by_route(ledger))},
        {"data_centres", groups_json(by_data_centre(ledger))},
        {"windows", groups_json(by_window(ledger))},
        {"callers", callers_json(ledger)},
        {"first_tries", first_tries},
        {"organisations", organisations_json(ledger)},
        {"tokens_read_again", ledger.tokens_read_again}};
}

} // namespace mintknot::losses
