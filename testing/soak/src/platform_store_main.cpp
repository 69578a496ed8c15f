/// @file
/// Stand-in for the platform's store: rows, transactions and held watches.

#include "row_store.hpp"

#include "scripted_server.hpp"

#include <mintknot/http1/serialize.hpp>

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <list>
#include <string>

namespace {

using namespace mintknot;
using nlohmann::json;

constexpr base::milliseconds watch_poll{10};
constexpr base::milliseconds server_silence{1200};
constexpr int status_history_gone = 410;

std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return result;
    for (const absl::string_view item :
         absl::StrSplit(target.substr(mark + 1), '&')) {
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(item, absl::MaxSplits('=', 1));
        result.insert(parts);
    }
    return result;
}

void answer(const event::connection_ptr& link, int status, const json& body) {
    link->write(http1::text_response(
        status, {{"Content-Type", "application/json"}}, body.dump(), true));
}

/// A watch that waits for a change.
struct held_watch {
    event::connection_ptr link;
    std::string table;
    std::uint64_t after = 0;
    base::steady_time until;
};

class store_stand_in {
public:
    explicit store_stand_in(event::loop& owner)
        : owner_(owner)
        , timer_(owner)
        , server_(
              owner, [this](
                         const relay::tests::received& request,
                         const event::connection_ptr& link) {
                  serve(request, link);
              }) {}

    bool open() {
        if (!server_.open({"127.0.0.1", 0}).ok())
            return false;
        owner_.on_signals({SIGUSR1}, [this](int) { rows_.forget_history(); });
        fmt::print("listening {}\n", server_.port());
        std::fflush(stdout);
        tick();
        return true;
    }

private:
    void serve(
        const relay::tests::received& request,
        const event::connection_ptr& link) {
        const std::string& target = request.head.target;
        auto query = query_of(target);
        if (target.starts_with("/mintknot/rows-tx")) {
            const auto body = json::parse(request.body, nullptr, false);
            if (body.is_discarded()) {
                answer(link, 400, {});
                return;
            }
            const auto [status, result] = rows_.transact(body, owner_.now());
            answer(link, status, result);
        } else if (target.starts_with("/mintknot/rows-get")) {
            answer(link, 200, rows_.read(query["table"]));
        } else if (target.starts_with("/mintknot/rows-feed")) {
            const std::uint64_t after = std::stoull(query["after"]);
            if (!rows_.remembers(after)) {
                answer(link, status_history_gone, {});
                return;
            }
            watches_.push_back(
                {link, query["table"], after,
                 owner_.now() +
                     base::milliseconds(std::stoll(query["wait_ms"]))});
        } else {
            answer(link, 404, {});
        }
    }

    void tick() {
        rows_.expire("servers", server_silence, owner_.now());
        for (auto it = watches_.begin(); it != watches_.end();) {
            const json changes = rows_.changes(it->table, it->after);
            if (changes["rows"].empty() && owner_.now() < it->until) {
                ++it;
                continue;
            }
            answer(it->link, 200, changes);
            it = watches_.erase(it);
        }
        timer_.start(watch_poll, [this] { tick(); });
    }

    event::loop& owner_;
    event::timer timer_;
    relay::tests::scripted_server server_;
    soak::row_store rows_;
    std::list<held_watch> watches_;
};

} // namespace

int main() {
    event::loop owner;
    store_stand_in store(owner);
    if (!store.open())
        return 1;
    owner.run();
    return 0;
}
