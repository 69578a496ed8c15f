// Malformed input of every kind gets the documented answer, and the instance
// stays up.
#include <mintknot/harness/caller.hpp>
#include <mintknot/harness/test_cluster.hpp>

#include <mintknot/base/json_reader.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot;
using namespace mintknot::harness;

namespace {

using nlohmann::json;

struct bad_call {
    const char* what;
    std::string body;
    std::vector<net::http_header> headers;
    int status;
    const char* code;
};

const net::http_header good_key{
    "Authorization", std::string("Bearer ") + norrvik_key};

std::vector<bad_call> bad_calls() {
    const std::string good = R"({"model": "m1", "prompt": "hello"})";
    return {
        {"broken JSON", "{\"model\":", {good_key}, 400, "bad_json"},
        {"an array", "[]", {good_key}, 400, "bad_json"},
        {"nothing", "", {good_key}, 400, "bad_json"},
        {"bytes", std::string("\xff\x00\xfe", 3), {good_key}, 400, "bad_json"},
        {"no prompt", R"({"model": "m1"})", {good_key}, 400, "bad_field"},
        {"prompt of a wrong type",
         R"({"model": "m1", "prompt": 7})",
         {good_key},
         400,
         "bad_field"},
        {"empty prompt",
         R"({"model": "m1", "prompt": ""})",
         {good_key},
         400,
         "bad_field"},
        {"several prompts",
         R"({"model": "m1", "prompt": ["a", "b"]})",
         {good_key},
         400,
         "bad_field"},
        {"max_tokens of a wrong type",
         R"({"model": "m1", "prompt": "a", "max_tokens": "9"})",
         {good_key},
         400,
         "bad_field"},
        {"max_tokens out of range",
         R"({"model": "m1", "prompt": "a", "max_tokens": 0})",
         {good_key},
         400,
         "bad_field"},
        {"max_tokens beyond 64 bits",
         R"({"model": "m1", "prompt": "a", "max_tokens": 1e300})",
         {good_key},
         400,
         "bad_field"},
        {"stream of a wrong type",
         R"({"model": "m1", "prompt": "a", "stream": "yes"})",
         {good_key},
         400,
         "bad_field"},
        {"several answers",
         R"({"model": "m1", "prompt": "a", "n": 2})",
         {good_key},
         400,
         "bad_field"},
        {"unknown model",
         R"({"model": "m9", "prompt": "a"})",
         {good_key},
         404,
         "unknown_model"},
        {"no key", good, {}, 401, "missing_key"},
        {"another scheme",
         good,
         {{"Authorization", "Basic abc"}},
         401,
         "missing_key"},
        {"unknown key",
         good,
         {{"Authorization", "Bearer nobody"}},
         401,
         "unknown_key"},
        {"unknown class",
         good,
         {good_key, {"X-Request-Class", "none"}},
         400,
         "unknown_class"},
        {"class of others",
         good,
         {{"Authorization", std::string("Bearer ") + school_key},
          {"X-Request-Class", "urgent"}},
         403,
         "class_not_allowed"},
        {"deadline of a wrong form",
         good,
         {good_key, {"X-Deadline-Ms", "soon"}},
         400,
         "bad_field"},
        {"deadline out of range",
         good,
         {good_key, {"X-Deadline-Ms", "-1"}},
         400,
         "bad_field"},
        {"key too long",
         good,
         {good_key, {"Idempotency-Key", std::string(300, 'k')}},
         400,
         "bad_field"},
        {"huge body",
         R"({"model": "m1", "prompt": ")" + std::string(200000, 'x') + "\"}",
         {good_key},
         413,
         "body_too_large"},
        {"more memory than any engine has",
         R"({"model": "m1", "prompt": "a", "max_tokens": 900000})",
         {good_key, {"X-Deadline-Ms", "300"}},
         503,
         "no_capacity"},
    };
}

std::string code_of(const net::http_response& answer) {
    const auto body = json::parse(answer.body, nullptr, false);
    return base::field_or(
        base::field_or(body, "error", json::object()), "code", std::string());
}

} // namespace

Test(bad_input, callers_get_the_documented_refusal) {
    cluster_options options;
    options.instances = 1;
    options.settings = {{"caller", {{"most_body_bytes", 100000}}}};
    test_cluster cluster(options);
    const auto where = cluster.instances()[0].caller;
    net::http_client client;
    for (const bad_call& call : bad_calls()) {
        const auto answer = client.call(
            where, {.method = "POST",
                    .path = "/v1/completions",
                    .headers = call.headers,
                    .body = call.body});
        cr_expect_eq(
            answer.status, call.status, "%s: status %d, body %s", call.what,
            answer.status, answer.body.c_str());
        cr_expect(
            code_of(answer) == call.code, "%s: %s", call.what,
            answer.body.c_str());
        cr_expect(answer.header("X-Run-Verdict") == "not_run", "%s", call.what);
    }
    const auto late = client.call(
        where, {.method = "POST",
                .path = "/v1/completions",
                .headers = {good_key, {"X-Deadline-Ms", "1"}},
                .body = R"({"model": "m1", "prompt": "a"})"});
    cr_expect(!late.ok());
    cr_expect(!late.header("Retry-After").empty(), "%s", late.body.c_str());
    const auto unknown = client.call(where, {.path = "/v2/nothing"});
    cr_expect_eq(unknown.status, 404);
    cr_expect(code_of(unknown) == "not_found");
    cr_expect(cluster.instances()[0].process->running());
    const auto good = complete(
        where, {.key = norrvik_key, .prompt = "still here", .max_tokens = 3});
    cr_expect(good.done);
}

Test(bad_input, offsets_and_request_ids_are_checked) {
    cluster_options options;
    options.instances = 1;
    test_cluster cluster(options);
    const auto where = cluster.instances()[0].caller;
    const auto answer = complete(
        where, {.key = norrvik_key, .prompt = "hello", .max_tokens = 5});
    cr_assert(answer.done);
    for (const char* offset : {"-1", "x", "1.5", "99999999999999999999"})
        cr_expect(
            resume(where, norrvik_key, answer.request_id, offset).error_code ==
                "bad_offset",
            "%s", offset);
    cr_expect(
        resume(where, norrvik_key, answer.request_id, "6").error_code ==
        "bad_offset");
    for (const char* id : {"x", "dc1.e.1f.0123456789abcdef", "%20"})
        cr_expect_eq(resume(where, norrvik_key, id, "0").status, 404, "%s", id);
    // Another organisation's request looks like none at all.
    cr_expect_eq(resume(where, school_key, answer.request_id, "0").status, 404);
}

Test(bad_input, operators_get_the_documented_refusal) {
    cluster_options options;
    options.instances = 1;
    test_cluster cluster(options);
    auto& instance = cluster.instances()[0];
    const auto code = [&](const char* method, const std::string& path,
                          const std::string& body, const char* match = "") {
        const auto answer =
            cluster.operate(instance, method, path, body, match);
        return std::to_string(answer.status) + " " + code_of(answer);
    };
    const std::string base_path = "/v1/resources/";
    cr_expect(code("PUT", base_path + "service/x", "{") == "400 bad_json");
    cr_expect(code("PUT", base_path + "service/x", "{}") == "400 bad_field");
    cr_expect(code("PUT", base_path + "servce/x", "{}") == "404 not_found");
    cr_expect(
        code("PUT", base_path + "service/a%20b", R"({"model":"m"})") ==
        "400 bad_field");
    cr_expect(
        code("PUT", base_path + "pool/x", R"({"service":"none"})") ==
        "400 bad_field");
    cr_expect(
        code("PUT", base_path + "service/assistant", R"({"model":"m1"})") ==
        "409 conflict");
    cr_expect(
        code(
            "PUT", base_path + "service/assistant", R"({"model":"m1"})",
            "seven") == "400 bad_field");
    cr_expect(
        code("DELETE", base_path + "service/assistant", "", "*") ==
        "409 still_referenced");
    cr_expect(
        code("DELETE", base_path + "service/assistant", "") == "400 bad_field");
    cr_expect(code("GET", base_path + "service/none", "") == "404 not_found");
    cr_expect(code("GET", "/v1/why/nonsense", "") == "400 bad_field");
    cr_expect(
        code("GET", "/v1/resources?watch=true&since=x", "") == "400 bad_field");
    net::http_client client;
    cr_expect_eq(
        client.call(instance.operators, {.path = "/v1/status"}).status, 401);
    cr_expect(instance.process->running());
}
