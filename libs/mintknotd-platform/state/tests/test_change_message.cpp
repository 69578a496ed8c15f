#include <mintknot/state/change_message.hpp>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace mintknot;
using namespace mintknot::state;

Test(change_message, a_request_survives_a_round_trip) {
    const change_request value{
        collection::configuration, 12, base::milliseconds{700}};
    const auto read = change_request_from(to_target(value));
    cr_assert(read.has_value());
    cr_assert(read->what == value.what);
    cr_assert(read->after == 12);
    cr_assert(read->wait == value.wait);
}

Test(change_message, long_waits_are_cut_down) {
    const auto read = change_request_from(
        to_target({collection::servers, 1, std::chrono::hours{1}}));
    cr_assert(read->wait == base::milliseconds{10000});
}

Test(change_message, other_targets_are_no_requests) {
    for (const char* target :
         {"", "/", "/mintknot/v1/changes/servers",
          "/mintknot/v1/changes/leases?after=1",
          "/mintknot/v1/changes/servers?after=x",
          "/mintknot/v1/changes/servers?after=-1",
          "/mintknot/v1/changes/servers?before=1",
          "/mintknot/v1/changes/servers?after=99999999999999999999"})
        cr_assert(!change_request_from(target).has_value());
}

Test(change_message, an_answer_survives_a_round_trip) {
    store_answer value;
    value.version = 9;
    value.documents = {{"i", 7, "text"}, {"j", 9, std::nullopt}};
    const auto read = store_answer_from(to_body(value));
    cr_assert(read.ok());
    cr_assert(read->result == store_result::ok);
    cr_assert(read->version == 9);
    cr_assert(read->documents.size() == 2);
    cr_assert(*read->documents[0].text == "text");
    cr_assert(!read->documents[1].text.has_value());
}

Test(change_message, malformed_answers_are_refused) {
    for (const char* text :
         {"[]", "{}", R"({"version":3})", R"({"documents":[]})",
          R"({"version":3,"documents":{}})",
          R"({"version":3,"documents":[{"key":"i"}]})",
          R"({"version":3,"documents":[{"key":"i","version":3,"text":7}]})"}) {
        const auto bytes =
            nlohmann::json::to_msgpack(nlohmann::json::parse(text));
        const std::string body(bytes.begin(), bytes.end());
        cr_assert(!store_answer_from(body).ok());
    }
    cr_assert(!store_answer_from("").ok());
    cr_assert(!store_answer_from("no MessagePack").ok());
    const std::string whole = to_body({store_result::ok, {{"i", 7, "t"}}, 9});
    cr_assert(!store_answer_from(whole.substr(0, whole.size() - 1)).ok());
}

Test(change_message, confirmation_is_told_from_the_question_on) {
    const base::steady_time came = base::steady_time{} + std::chrono::hours(2);
    const base::steady_time sent = base::steady_time{} + std::chrono::hours(5);
    store_answer value;
    value.version = 9;
    for (const int ms : {-1500, 0, 800}) {
        value.confirmed = came + base::milliseconds(ms);
        const auto read = store_answer_from(to_body(value, came), sent);
        cr_assert(*read->confirmed == sent + base::milliseconds(ms));
    }
    value.confirmed.reset();
    cr_assert(!store_answer_from(to_body(value, came), sent)->confirmed);
}

Test(change_message, closures_come_back_as_such) {
    store_answer value{store_result::ok, {{"config", 7, "t"}}, 9};
    value.documents.push_back({"a", 8, std::nullopt, document_kind::closure});
    const auto read = store_answer_from(to_body(value));
    cr_assert(read.ok() && read->documents.size() == 2);
    cr_assert(read->documents[0].kind == document_kind::content);
    cr_assert(read->documents[1].kind == document_kind::closure);
    cr_assert(read->documents[1].key == "a" && !read->documents[1].text);
}
