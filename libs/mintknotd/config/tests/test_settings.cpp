#include <mintknot/config/settings.hpp>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using namespace mintknot;

namespace {

nlohmann::json good() {
    return {
        {"instance", "entry-1"},
        {"data_centre", "dc1"},
        {"caller", {{"listen", "127.0.0.1:8080"}}},
        {"operators",
         {{"listen", "127.0.0.1:8081"},
          {"keys", {{{"name", "ops"}, {"key_sha256", "00"}}}}}},
        {"peers", {{"rpc", "127.0.0.1:7000"}, {"heartbeat", "127.0.0.1:7001"}}},
        {"platform", {{"address", "127.0.0.1:9000"}}}};
}

std::string error_of(const nlohmann::json& document) {
    const auto parsed = config::parse_settings(document.dump());
    return parsed.ok() ? "" : std::string(parsed.status().message());
}

} // namespace

Test(settings, a_good_file_is_read) {
    const auto parsed = config::parse_settings(good().dump());
    cr_assert(parsed.ok());
    cr_assert_eq(parsed->caller.listen.port, 8080);
    cr_assert_eq(parsed->operators.keys.size(), 1U);
}

Test(settings, every_wrong_field_is_named_at_once) {
    auto document = good();
    document["caller"]["listen"] = "nowhere";
    document["peers"]["gone_after_ms"] = 100;
    document["platfrom"] = 1;
    document["instance"] = "has space";
    const auto text = error_of(document);
    for (const char* path :
         {"caller.listen:", "peers.gone_after_ms:", "platfrom:", "instance:"})
        cr_assert(text.find(path) != std::string::npos, "%s", path);
}

Test(settings, the_documented_example_is_accepted) {
    std::ostringstream text;
    text << std::ifstream(MINTKNOT_SETTINGS_PAGE).rdbuf();
    const std::string page = text.str();
    const auto begin = page.find("```json\n") + 8;
    const auto example = page.substr(begin, page.find("```", begin) - begin);
    const auto parsed = config::parse_settings(example);
    cr_assert(
        parsed.ok(), "%s", std::string(parsed.status().message()).c_str());
    cr_assert_eq(parsed->stop_deadline.count(), 30000);
}

Test(settings, missing_parts_and_broken_json_are_errors) {
    auto document = good();
    document.erase("peers");
    cr_assert(error_of(document).find("peers: found nothing") == 0);
    cr_assert(!config::parse_settings("{\"instance\":").ok());
    cr_assert(!config::parse_settings("[]").ok());
}
