#include <mintknot/relay/wait_queue.hpp>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace mintknot::relay {

namespace {

/// The queue is checked at least this often, because some capacity becomes free
/// without a notification, for example when a server is no longer avoided. It
/// is a twentieth of the shortest latency target of streams, 300 ms.
constexpr base::milliseconds default_period{15};

struct waiter {
    std::string service;
    policy::queue_rank rank;
    double tokens = 0.0;
    std::function<void()> try_again;
};

} // namespace

struct wait_queue::impl {
    explicit impl(event::loop& owner)
        : loop(owner)
        , timer(owner) {}

    void arm() {
        if (waiters.empty() || timer.active())
            return;
        timer.start(period, [this] { wake(); });
    }

    std::vector<std::uint64_t> waiters_by_rank() const {
        std::vector<std::uint64_t> order;
        for (const auto& [number, entry] : waiters)
            order.push_back(number);
        std::sort(
            order.begin(), order.end(),
            [this](std::uint64_t left, std::uint64_t right) {
                return std::tie(waiters.at(left).rank, left) <
                       std::tie(waiters.at(right).rank, right);
            });
        return order;
    }

    void wake() {
        wake_posted = false;
        timer.stop();
        last_wake = loop.now();
        for (const std::uint64_t number : waiters_by_rank()) {
            // A request handled earlier in this loop may have removed this one.
            auto node = waiters.extract(number);
            if (!node.empty())
                node.mapped().try_again();
        }
        arm();
    }

    event::loop& loop;
    event::timer timer;
    base::milliseconds period = default_period;
    base::milliseconds min_wake_gap{0};
    base::steady_time last_wake{};
    std::map<std::uint64_t, waiter> waiters;
    std::uint64_t last_number = 0;
    bool wake_posted = false; ///< A wake-up has been posted.
};

wait_queue::wait_queue(event::loop& loop)
    : impl_(std::make_shared<impl>(loop)) {}

wait_queue::~wait_queue() = default;

std::unique_ptr<wait_queue::ticket> wait_queue::join(
    const std::string& service, const policy::queue_rank& rank, double tokens,
    std::function<void()> try_again) {
    class queue_ticket final : public ticket {
    public:
        queue_ticket(std::weak_ptr<impl> queue, std::uint64_t number)
            : queue_(std::move(queue))
            , number_(number) {}
        ~queue_ticket() override {
            if (const auto queue = queue_.lock())
                queue->waiters.erase(number_);
        }

    private:
        std::weak_ptr<impl> queue_;
        std::uint64_t number_;
    };
    const std::uint64_t number = ++impl_->last_number;
    impl_->waiters.emplace(
        number, waiter{service, rank, tokens, std::move(try_again)});
    impl_->arm();
    return std::make_unique<queue_ticket>(impl_, number);
}

void wait_queue::notify_capacity_freed() {
    if (impl_->wake_posted || impl_->waiters.empty() ||
        impl_->loop.now() - impl_->last_wake < impl_->min_wake_gap)
        return;
    impl_->wake_posted = true;
    impl_->loop.post([queue = std::weak_ptr<impl>(impl_)] {
        if (const auto alive = queue.lock())
            alive->wake();
    });
}

void wait_queue::set_min_wake_interval(base::milliseconds min_wake_gap) {
    impl_->min_wake_gap = min_wake_gap;
    impl_->period = std::max(default_period, min_wake_gap);
}

double wait_queue::tokens_ahead(
    const std::string& service, const policy::queue_rank& rank) const {
    double sum = 0.0;
    for (const auto& [number, entry] : impl_->waiters)
        if (entry.service == service && entry.rank < rank)
            sum += entry.tokens;
    return sum;
}

std::map<std::string, double> wait_queue::waiting_tokens() const {
    std::map<std::string, double> sums;
    for (const auto& [number, entry] : impl_->waiters)
        sums[entry.service] += entry.tokens;
    return sums;
}

} // namespace mintknot::relay
