#include "crowd_clients.hpp"

#include <mintknot/event/connection.hpp>

#include <algorithm>
#include <vector>

namespace mintknot::crowds {

namespace {

constexpr base::milliseconds connect_timeout{5000};
/// Blocks that a client writes before the others get their turn.
constexpr std::size_t blocks_in_a_turn = 4;

} // namespace

struct crowd_clients::impl {
    struct client {
        event::connection_ptr link;
        std::size_t repeats_left = 0;
        bool ending_left = true;
        bool done = false; ///< It has sent all, or the connection has ended.
        bool ended = false;
    };

    impl(event::loop& loop, base::address address, crowd_plan what)
        : owner(loop)
        , where(std::move(address))
        , plan(std::move(what)) {}

    void connect(const std::shared_ptr<client>& added) {
        event::connect(
            owner, where, connect_timeout,
            [this,
             added](event::connection_ptr link, event::connect_result result) {
                // The crowd may be gone by now; its clients are done then.
                if (result != event::connect_result::opened || added->done) {
                    end(*added);
                    return;
                }
                added->link = std::move(link);
                begin(added);
            });
    }

    void begin(const std::shared_ptr<client>& at) {
        at->link->set_handlers(
            {[](std::string_view) {},
             [this, at](event::connection_end) { end(*at); },
             [this, at] { send_more(at); }});
        if (!plan.reads_answers)
            at->link->pause_reading();
        write(*at, plan.opening);
        send_more(at);
    }

    static void end(client& at) {
        at.ended = true;
        at.done = true;
    }

    void write(client& at, const std::string& bytes) {
        sent += bytes.size();
        at.link->write(bytes);
    }

    /// Writes until the system takes no more; on_drained goes on then.
    void send_more(const std::shared_ptr<client>& at) {
        for (std::size_t i = 0; i < blocks_in_a_turn; ++i) {
            if (at->done || at->link->queued_bytes() > 0)
                return;
            if (!at->link->wrote_everything()) {
                end(*at);
                return;
            }
            write_next(*at);
        }
        owner.post([this, at] { send_more(at); });
    }

    void write_next(client& at) {
        if (at.repeats_left > 0) {
            --at.repeats_left;
            write(at, plan.repeated);
            return;
        }
        if (std::exchange(at.ending_left, false))
            write(at, plan.ending);
        else
            at.done = true;
    }

    event::loop& owner;
    base::address where;
    crowd_plan plan;
    std::vector<std::shared_ptr<client>> clients;
    std::size_t sent = 0;
};

crowd_clients::crowd_clients(
    event::loop& owner, const base::address& where, crowd_plan plan)
    : impl_(std::make_unique<impl>(owner, where, std::move(plan))) {}

crowd_clients::~crowd_clients() {
    for (const auto& at : impl_->clients) {
        at->done = true;
        if (at->link != nullptr)
            at->link->abort();
    }
}

void crowd_clients::start() {
    for (std::size_t i = 0; i < impl_->plan.clients; ++i) {
        auto added = std::make_shared<impl::client>();
        added->repeats_left = impl_->plan.repeats;
        impl_->clients.push_back(added);
        impl_->connect(added);
    }
}

bool crowd_clients::all_done() const {
    return std::all_of(
        impl_->clients.begin(), impl_->clients.end(),
        [](const auto& at) { return at->done; });
}

std::size_t crowd_clients::sent_bytes() const {
    return impl_->sent;
}

std::size_t crowd_clients::open() const {
    return static_cast<std::size_t>(std::count_if(
        impl_->clients.begin(), impl_->clients.end(),
        [](const auto& at) { return !at->ended; }));
}

} // namespace mintknot::crowds
