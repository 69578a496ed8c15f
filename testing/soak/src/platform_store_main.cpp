/// @file
/// Stand-in for the platform's store: rows, transactions and held watches.
/// SIGUSR1 makes it forget its history. SIGUSR2 restores it from a backup some
/// seconds old: after a short outage it serves the backup in a new era.

#include "row_store.hpp"
#include "row_views.hpp"

#include "scripted_server.hpp"

#include <mintknot/http1/serialize.hpp>

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <deque>
#include <list>
#include <string>

namespace {

using namespace mintknot;
using nlohmann::json;

constexpr base::milliseconds watch_poll{10};
constexpr base::milliseconds server_silence{1200};
constexpr int status_history_gone = 410;
constexpr int status_unavailable = 503;
constexpr std::uint64_t first_era = 1;
constexpr base::milliseconds backup_interval{200};
/// Minimum age of the backup that a restore uses, if there is one.
constexpr base::milliseconds backup_age{3000};
/// Duration of the outage at a restore.
constexpr base::milliseconds outage_time{200};
/// Time after the outage during which writes are refused.
constexpr base::milliseconds read_only_time{2500};

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

/// A watch that waits for a change.
struct held_watch {
    event::connection_ptr link;
    std::string table;
    std::uint64_t after = 0;
    base::steady_time until;
    std::string reader; ///< Host field of the request.
};

class store_stand_in {
public:
    store_stand_in(event::loop& owner, std::string views_file)
        : owner_(owner)
        , views_(std::move(views_file))
        , timer_(owner)
        , server_(
              owner, [this](
                         const relay::tests::received_request& request,
                         const event::connection_ptr& link) {
                  serve(request, link);
              }) {}

    bool open() {
        if (!server_.open({"127.0.0.1", 0}).ok())
            return false;
        owner_.on_signals({SIGUSR1, SIGUSR2}, [this](int number) {
            if (number == SIGUSR1)
                rows_.forget_history();
            else
                restore();
        });
        fmt::print("listening {}\n", server_.port());
        std::fflush(stdout);
        tick();
        return true;
    }

private:
    struct backup {
        base::steady_time taken;
        soak::row_store rows;
    };

    /// Uses the newest backup of at least backup_age, or else the oldest one.
    void restore() {
        while (backups_.size() > 1 &&
               backups_[1].taken + backup_age <= owner_.now())
            backups_.pop_front();
        if (backups_.empty())
            return;
        rows_ = backups_.front().rows;
        backups_.clear();
        ++era_;
        outage_end_ = owner_.now() + outage_time;
        for (const held_watch& watch : watches_)
            watch.link->close();
        watches_.clear();
    }

    void make_backup() {
        if (!backups_.empty() &&
            owner_.now() - backups_.back().taken < backup_interval)
            return;
        backups_.push_back({owner_.now(), rows_});
        while (backups_.size() > 1 &&
               backups_[1].taken + backup_age <= owner_.now())
            backups_.pop_front();
    }

    void answer(
        const event::connection_ptr& link, int status, const json& body) const {
        link->write(http1::text_response(
            status,
            {{"Content-Type", "application/json"},
             {"Store-Era", std::to_string(era_)}},
            body.dump(), true));
    }

    void serve(
        const relay::tests::received_request& request,
        const event::connection_ptr& link) {
        const std::string& target = request.head.target;
        const std::string reader = request.field("Host");
        auto query = query_of(target);
        const bool writes = target.starts_with("/mintknot/rows-tx");
        if (owner_.now() < outage_end_ ||
            (writes && era_ > first_era &&
             owner_.now() < outage_end_ + read_only_time)) {
            answer(link, status_unavailable, {});
            return;
        }
        if (target.starts_with("/mintknot/rows-tx")) {
            const auto body = json::parse(request.body, nullptr, false);
            if (body.is_discarded()) {
                answer(link, 400, {});
                return;
            }
            const auto [status, result] = rows_.transact(body, owner_.now());
            answer(link, status, result);
        } else if (target.starts_with("/mintknot/rows-get")) {
            answer(link, 200, views_.apply(reader, rows_.read(query["table"])));
        } else if (target.starts_with("/mintknot/rows-feed")) {
            const std::uint64_t after = std::stoull(query["after"]);
            if (!rows_.remembers(after)) {
                answer(link, status_history_gone, {});
                return;
            }
            watches_.push_back(
                {link, query["table"], after,
                 owner_.now() +
                     base::milliseconds(std::stoll(query["wait_ms"])),
                 reader});
        } else {
            answer(link, 404, {});
        }
    }

    void tick() {
        // Servers cannot renew their rows while writes are refused.
        if (owner_.now() > outage_end_ + read_only_time + server_silence ||
            era_ == first_era)
            rows_.expire("servers", server_silence, owner_.now());
        make_backup();
        for (auto it = watches_.begin(); it != watches_.end();) {
            const json changes = rows_.changes(it->table, it->after);
            if (changes["rows"].empty() && owner_.now() < it->until) {
                ++it;
                continue;
            }
            answer(it->link, 200, views_.apply(it->reader, changes));
            it = watches_.erase(it);
        }
        timer_.start(watch_poll, [this] { tick(); });
    }

    event::loop& owner_;
    soak::row_views views_;
    event::timer timer_;
    relay::tests::scripted_server server_;
    soak::row_store rows_;
    std::list<held_watch> watches_;
    std::deque<backup> backups_;
    std::uint64_t era_ = first_era;
    base::steady_time outage_end_{};
};

} // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine line("Stand-in for the platform's store", ' ', "1");
    TCLAP::ValueArg<std::string> views(
        "", "views", "file with the addresses that readers see", false, "",
        "FILE", line);
    line.parse(argc, argv);
    event::loop owner;
    store_stand_in store(owner, views.getValue());
    if (!store.open())
        return 1;
    owner.run();
    return 0;
}
