/// @file
/// The part of a replica that reads documents and tells the handlers of them.

#include <mintknot/state/replica.hpp>
#include <mintknot/state/store_version.hpp>

#include <utility>

namespace mintknot::state {

replica::decode_result replica::decode(
    collection what, const document& change, std::string_view source) {
    return what == collection::configuration
               ? decode_configuration(change, source)
               : decode_server(change, source);
}

replica::decode_result
replica::decode_configuration(const document& change, std::string_view source) {
    if (!change.text)
        return decode_result::rejected;
    const base::steady_time started = base::steady_clock::now();
    auto config = codec_.read_configuration(*change.text);
    const auto read_time = std::chrono::duration_cast<base::milliseconds>(
        base::steady_clock::now() - started);
    if (!config.ok()) {
        log_rejected(
            collection::configuration, change, source, config.status());
        return decode_result::rejected;
    }
    if (config->version < configuration_version_) {
        log_.write(
            "configuration_superseded",
            {{"version", static_cast<std::int64_t>(config->version)},
             {"in_force", static_cast<std::int64_t>(configuration_version_)},
             {"row", static_cast<std::int64_t>(change.version)},
             {"source", source}});
        return decode_result::superseded;
    }
    configuration_version_ = config->version;
    log_.write(
        "configuration",
        {{"version", static_cast<std::int64_t>(config->version)},
         {"row", static_cast<std::int64_t>(change.version)},
         {"routes", static_cast<std::int64_t>(config->routes.size())},
         {"bytes", static_cast<std::int64_t>(change.text->size())},
         {"read_ms", read_time.count()},
         {"source", source}});
    handlers_.on_configuration(
        std::make_shared<const traffic::configuration>(*std::move(config)));
    return decode_result::taken;
}

bool replica::reverts_draining(
    const document& change, const traffic::server& server) const {
    const auto found = servers_.by_key.find(change.key);
    if (server.draining || found == servers_.by_key.end() ||
        !found->second.text ||
        era_of(found->second.version) >= era_of(change.version))
        return false;
    const auto known = codec_.read_server(change.key, *found->second.text);
    return known.ok() && known->draining &&
           !traffic::is_other_life(*known, server);
}

bool replica::is_comparable_history(
    const documents& all, const document& known,
    const document& of_peer) const {
    const bool may_be_restored = known.version <= all.first_read;
    const bool comparable = known.version == of_peer.version ||
                            era_of(known.version) > era_of(of_peer.version);
    return may_be_restored && comparable && known.text && of_peer.text &&
           known.text != of_peer.text;
}

bool replica::keeps_draining(
    const document& known, const document& of_peer) const {
    const auto here = codec_.read_server(known.key, *known.text);
    const auto there = codec_.read_server(known.key, *of_peer.text);
    return here.ok() && there.ok() && !here->draining && there->draining &&
           !traffic::is_other_life(*here, *there);
}

replica::decode_result
replica::decode_server(const document& change, std::string_view source) {
    if (!change.text) {
        log_.write(
            "server_gone", {{"server", change.key},
                            {"row", static_cast<std::int64_t>(change.version)},
                            {"source", source}});
        handlers_.on_server(change.key, change.version, std::nullopt);
        return decode_result::taken;
    }
    auto server = codec_.read_server(change.key, *change.text);
    if (!server.ok()) {
        log_rejected(collection::servers, change, source, server.status());
        return decode_result::rejected;
    }
    if (reverts_draining(change, *server))
        return decode_result::superseded;
    if (one_by_one_)
        log_.write(
            "server", {{"server", change.key},
                       {"service", server->service},
                       {"data_centre", server->data_centre},
                       {"phase", traffic::to_string(server->phase)},
                       {"draining", server->draining},
                       {"row", static_cast<std::int64_t>(change.version)},
                       {"source", source}});
    handlers_.on_server(change.key, change.version, *std::move(server));
    return decode_result::taken;
}

void replica::log_rejected(
    collection what, const document& change, std::string_view source,
    const absl::Status& why) {
    const auto times = rejections_.note(change.key, base::steady_clock::now());
    if (!times)
        return;
    log_.write(
        "document_rejected",
        {{"collection", to_string(what)},
         {"key", change.key},
         {"version", static_cast<std::int64_t>(change.version)},
         {"source", source},
         {"times", *times},
         {"because",
          std::string_view(why.message().data(), why.message().size())}});
}

} // namespace mintknot::state
