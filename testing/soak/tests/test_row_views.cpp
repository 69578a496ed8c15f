#include "row_views.hpp"

#include <mintknot/harness/scratch_directory.hpp>

#include <absl/strings/escaping.h>
#include <criterion/criterion.h>

#include <fstream>

using namespace mintknot;
using namespace mintknot::soak;
using nlohmann::json;

namespace {

json answer_with(const std::string& table, const std::string& address) {
    const json server = {{"address", address}};
    return {
        {"rows",
         {{{"table", table},
           {"key", "s1"},
           {"value", absl::Base64Escape(server.dump())}}}}};
}

std::string address_in(const json& answer) {
    std::string text;
    absl::Base64Unescape(answer["rows"][0]["value"].get<std::string>(), &text);
    return json::parse(text)["address"].get<std::string>();
}

} // namespace

Test(row_views, each_reader_sees_servers_at_its_own_links) {
    const harness::scratch_directory directory;
    const std::string file = directory.path + "/views";
    std::ofstream(file) << R"({"reader":{"h:1":"h:2"}})";
    row_views views(file);
    cr_assert_eq(
        address_in(views.apply("reader", answer_with("servers", "h:1"))),
        "h:2");
    cr_assert_eq(
        address_in(views.apply("reader", answer_with("servers", "h:9"))),
        "h:9");
    cr_assert_eq(
        address_in(views.apply("other", answer_with("servers", "h:1"))), "h:1");
    cr_assert_eq(
        address_in(views.apply("reader", answer_with("op", "h:1"))), "h:1");
}

// A row of another writer ended the stand-in for the store.
Test(row_views, a_row_that_cannot_be_read_is_shown_as_it_is) {
    const harness::scratch_directory directory;
    const std::string file = directory.path + "/views";
    std::ofstream(file) << R"({"reader":{"h:1":"h:2"}})";
    row_views views(file);
    for (const char* text :
         {R"({"address":1})", R"({"address":1e999})", "[", "[[[1]]]", "\xff",
          R"({"address":null})"}) {
        const json answer = {
            {"rows",
             {{{"table", "servers"},
               {"key", "s1"},
               {"value", absl::Base64Escape(text)}}}}};
        cr_assert(views.apply("reader", answer) == answer, "%s", text);
    }
}
