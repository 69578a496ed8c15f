#include <mintknot/table_service/http_table_client.hpp>

#include <mintknot/base/json_reader.hpp>

#include <fmt/format.h>
#include <httplib.h>

namespace mintknot::table_service {

namespace {

constexpr std::size_t page_rows = 1000;

std::string_view name_of(table_write::action what) {
    switch (what) {
    case table_write::action::put:
        return "put";
    case table_write::action::erase:
        return "erase";
    case table_write::action::check_only:
        return "check";
    }
    return "check";
}

nlohmann::json to_json(const table_write& write) {
    nlohmann::json result{{"action", name_of(write.what)}, {"key", write.key}};
    if (write.what == table_write::action::put)
        result["value"] = write.value;
    if (write.expected_revision)
        result["expected_revision"] = *write.expected_revision;
    return result;
}

table_row row_from_json(const nlohmann::json& row) {
    return {
        base::field_or(row, "key", std::string()),
        base::field_or(row, "revision", std::uint64_t{0}),
        base::field_or(row, "value", nlohmann::json())};
}

std::vector<table_row> rows_from_json(const nlohmann::json& rows) {
    std::vector<table_row> result;
    for (const auto& row : rows)
        result.push_back(row_from_json(row));
    return result;
}

std::string escaped(const std::string& text) {
    return httplib::detail::encode_query_param(text);
}

absl::Status failure(const net::http_response& answer) {
    if (!answer.answered())
        return absl::UnavailableError("platform: " + answer.error);
    return absl::UnavailableError(
        fmt::format("platform: answered {}", answer.status));
}

} // namespace

http_table_client::http_table_client(
    base::address where, base::milliseconds timeout)
    : where_(std::move(where))
    , timeout_(timeout) {}

net::http_response http_table_client::call(
    std::string method, std::string path, std::string body) {
    return client_.call(
        where_, {.method = std::move(method),
                 .path = std::move(path),
                 .body = std::move(body),
                 .connect_timeout = timeout_,
                 .read_timeout = timeout_});
}

commit_result http_table_client::commit(const transaction& writes) {
    nlohmann::json body{{"writes", nlohmann::json::array()}};
    for (const table_write& write : writes)
        body["writes"].push_back(to_json(write));
    const auto answer = call("POST", "/v1/tables/commit", body.dump());

    commit_result result;
    if (answer.status == 200) {
        result.end = commit_result::state::applied;
        return result;
    }
    if (answer.status == 409) {
        const auto document = base::parse_json_or_discard(answer.body);
        if (document.is_object() && document.contains("conflicts")) {
            result.end = commit_result::state::conflict;
            result.conflicting = rows_from_json(document["conflicts"]);
            return result;
        }
    }
    result.error = std::string(failure(answer).message());
    // 429 and 503 are the service's own word that nothing was written.
    const bool refused = answer.status == 429 || answer.status == 503;
    const bool unsent =
        !answer.answered() && answer.run == base::verdict::not_run;
    result.end = refused || unsent ? commit_result::state::not_applied
                                   : commit_result::state::unknown;
    return result;
}

absl::StatusOr<nlohmann::json> http_table_client::get_json(std::string path) {
    const auto answer = call("GET", std::move(path), {});
    if (answer.status == 404)
        return absl::NotFoundError("platform: no such thing");
    if (!answer.ok())
        return failure(answer);
    auto document = base::parse_json_or_discard(answer.body);
    if (document.is_discarded())
        return absl::InternalError("platform: the answer is not JSON");
    return document;
}

absl::StatusOr<table_row> http_table_client::read(const std::string& key) {
    auto document = get_json("/v1/tables/rows?key=" + escaped(key));
    if (!document.ok())
        return document.status();
    return row_from_json(*document);
}

absl::StatusOr<std::vector<table_row>> http_table_client::scan(
    const std::string& prefix, const std::string& after, std::size_t limit) {
    auto document = get_json(fmt::format(
        "/v1/tables/scan?prefix={}&after={}&limit={}", escaped(prefix),
        escaped(after), limit));
    if (!document.ok())
        return document.status();
    return rows_from_json(
        base::field_or(*document, "rows", nlohmann::json::array()));
}

absl::StatusOr<std::vector<table_row>>
scan_all(table_client& platform, const std::string& prefix) {
    std::vector<table_row> all;
    while (true) {
        const std::string after = all.empty() ? std::string{} : all.back().key;
        auto page = platform.scan(prefix, after, page_rows);
        if (!page.ok())
            return page.status();
        const bool last = page->size() < page_rows;
        std::move(page->begin(), page->end(), std::back_inserter(all));
        if (last)
            return all;
    }
}

} // namespace mintknot::table_service
