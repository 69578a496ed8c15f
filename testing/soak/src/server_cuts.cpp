#include "server_cuts.hpp"

#include "soak_parts.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <random>

namespace mintknot::soak {

namespace {

using standins::link_fault;
using standins::link_mode;
using standins::silent_way;

constexpr int shortest_cut_ms = 500;
constexpr int longest_cut_ms = 7000;
constexpr int shortest_gap_ms = 500;
constexpr int longest_gap_ms = 6000;

const std::array<link_fault, 5> cut_faults{{
    {.mode = link_mode::partition},
    {.mode = link_mode::reset_refuse},
    {.mode = link_mode::refuse_new},
    {.mode = link_mode::silence, .way = silent_way::to_caller},
    {.mode = link_mode::silence, .way = silent_way::to_server},
}};
/// The first of them are the ways in which instances are cut from all servers.
constexpr int full_cut_faults = 3;

class cut_source {
public:
    cut_source(const cut_terms& terms, std::uint64_t seed)
        : terms_(terms)
        , random_(seed) {}

    std::vector<server_cut> draw_all() {
        std::vector<server_cut> cuts;
        int at = draw(shortest_gap_ms, longest_gap_ms);
        while (base::milliseconds(at) < terms_.length) {
            cuts.push_back(draw_cut(base::milliseconds(at)));
            at += draw(shortest_gap_ms, longest_gap_ms);
        }
        return cuts;
    }

private:
    server_cut draw_cut(base::milliseconds from) {
        server_cut cut;
        cut.from = from;
        cut.until =
            from + base::milliseconds(draw(shortest_cut_ms, longest_cut_ms));
        cut.instances = draw_instances();
        cut.servers = draw_servers();
        const bool full = cut.servers.size() == terms_.servers;
        const int kinds =
            full ? full_cut_faults : static_cast<int>(cut_faults.size());
        cut.fault = cut_faults[static_cast<std::size_t>(draw(0, kinds - 1))];
        return cut;
    }

    std::set<std::size_t> draw_instances() {
        const std::size_t one = pick(terms_.instances);
        switch (draw(0, 5)) {
        case 0:
            return several(terms_.instances);
        case 1:
            return all_but(one, terms_.instances);
        case 2:
            return of_data_centre(one % terms_.data_centres);
        case 3:
            return all_but(terms_.instances, terms_.instances);
        default:
            return {one};
        }
    }

    std::set<std::size_t> draw_servers() {
        std::set<std::size_t> all = all_but(terms_.servers, terms_.servers);
        switch (draw(0, 5)) {
        case 0:
            return several(terms_.servers);
        case 1:
            return all_but(pick(terms_.servers), terms_.servers);
        case 2:
            return plain_servers();
        default:
            return all;
        }
    }

    std::set<std::size_t> plain_servers() const {
        std::set<std::size_t> found;
        for (std::size_t i = terms_.servers - terms_.plain_servers;
             i < terms_.servers; ++i)
            found.insert(i);
        return found;
    }

    std::set<std::size_t> of_data_centre(std::size_t number) const {
        std::set<std::size_t> found;
        for (std::size_t i = number; i < terms_.instances;
             i += terms_.data_centres)
            found.insert(i);
        return found;
    }

    std::set<std::size_t> several(std::size_t bound) {
        std::set<std::size_t> found = {pick(bound)};
        for (std::size_t i = 0; i < bound; ++i)
            if (draw(0, 1) == 0)
                found.insert(i);
        return found;
    }

    static std::set<std::size_t>
    all_but(std::size_t left_out, std::size_t bound) {
        std::set<std::size_t> found;
        for (std::size_t i = 0; i < bound; ++i)
            if (i != left_out)
                found.insert(i);
        return found;
    }

    int draw(int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }

    std::size_t pick(std::size_t bound) {
        return static_cast<std::size_t>(draw(0, static_cast<int>(bound) - 1));
    }

    cut_terms terms_;
    std::mt19937_64 random_;
};

} // namespace

std::vector<server_cut> draw_cuts(const cut_terms& terms, std::uint64_t seed) {
    return cut_source(terms, seed).draw_all();
}

cut_schedule::cut_schedule(
    event::loop& owner, soak_system& system, std::vector<server_cut> cuts)
    : owner_(owner)
    , system_(system)
    , cuts_(std::move(cuts)) {}

void cut_schedule::start() {
    for (std::size_t i = 0; i < cuts_.size(); ++i) {
        timers_.push_back(std::make_unique<event::timer>(owner_));
        timers_.back()->start(cuts_[i].from, [this, i] { begin(i); });
    }
}

void cut_schedule::heal() {
    for (const auto& timer : timers_)
        timer->stop();
    while (!active_.empty())
        end(active_.begin()->first);
}

void cut_schedule::begin(std::size_t index) {
    const server_cut& cut = cuts_[index];
    active_[index] = past_.size();
    past_.push_back(
        {cut.instances, cut.servers.size() == system_.servers().size(),
         owner_.now()});
    apply(cut);
    timers_[index]->start(cut.until - cut.from, [this, index] { end(index); });
}

void cut_schedule::end(std::size_t index) {
    past_[active_.at(index)].until = owner_.now();
    active_.erase(index);
    apply(cuts_[index]);
}

void cut_schedule::apply(const server_cut& cut) {
    for (const std::size_t instance : cut.instances)
        for (const std::size_t server : cut.servers) {
            link_fault fault;
            for (const auto& [index, number] : active_)
                if (fault.mode == link_mode::pass &&
                    cuts_[index].instances.contains(instance) &&
                    cuts_[index].servers.contains(server))
                    fault = cuts_[index].fault;
            system_.set_server_fault(instance, server, fault);
        }
}

std::vector<std::string> cut_schedule::notes() const {
    std::vector<std::string> lines;
    for (const server_cut& cut : cuts_)
        lines.push_back(fmt::format(
            "{:5} to {:5} ms instances {} cut from servers {}, mode {}",
            cut.from.count(), cut.until.count(), fmt::join(cut.instances, " "),
            fmt::join(cut.servers, " "), static_cast<int>(cut.fault.mode)));
    return lines;
}

namespace {

/// Share of the others' success below which a cut breaks the promise: two
/// thirds. And how many failures are borne: ten and one in fifty.
constexpr std::size_t share_numerator = 2;
constexpr std::size_t share_denominator = 3;
constexpr std::size_t allowed_failures = 10;
constexpr int status_ok = 200;
constexpr std::size_t one_failure_in = 50;

/// @return true if the instance was cut from some server in that time.
bool is_cut_within(
    const std::vector<past_cut>& cuts, std::size_t instance,
    base::steady_time from, base::steady_time until) {
    return std::any_of(cuts.begin(), cuts.end(), [&](const past_cut& cut) {
        return cut.instances.contains(instance) && cut.from <= until &&
               cut.until >= from;
    });
}

bool counts(
    const caller_record& record, const std::vector<disturbance>& disturbances) {
    if (record.left_at || !record.mark.empty())
        return false;
    for (const std::string& part :
         {instance_part(record.instance),
          fmt::format("store-{}", record.instance),
          fmt::format("callers-{}", record.instance)})
        if (is_disturbed(disturbances, part, record.sent))
            return false;
    return true;
}

void add(tally& sum, const caller_record& record) {
    ++sum.sent;
    if (record.status != status_ok || !record.whole)
        return;
    ++sum.served;
    sum.time += std::chrono::duration_cast<base::milliseconds>(
        record.ended - record.sent);
}

bool is_broken(const cut_tally& cut) {
    const tally& here = cut.here;
    const std::size_t failed = here.sent - here.served;
    return here.served * cut.elsewhere.sent * share_denominator <
               cut.elsewhere.served * here.sent * share_numerator &&
           failed > allowed_failures + here.sent / one_failure_in;
}

cut_tally tally_of(
    const past_cut& cut, const std::vector<caller_record>& records,
    const std::vector<past_cut>& cuts,
    const std::vector<disturbance>& disturbances) {
    cut_tally found;
    found.instances = cut.instances;
    const base::steady_time adapted = cut.from + contact_time;
    for (const caller_record& record : records) {
        if (record.sent < cut.from || record.sent > cut.until ||
            !counts(record, disturbances))
            continue;
        const bool early = record.sent < adapted;
        if (cut.instances.contains(record.instance))
            add(early ? found.early : found.here, record);
        else if (
            !early &&
            !is_cut_within(cuts, record.instance, cut.from, cut.until))
            add(found.elsewhere, record);
    }
    return found;
}

} // namespace

std::vector<cut_tally> cut_tallies(
    const std::vector<caller_record>& records,
    const std::vector<past_cut>& cuts,
    const std::vector<disturbance>& disturbances) {
    std::vector<cut_tally> found;
    for (const past_cut& cut : cuts)
        if (cut.from_all_servers && cut.until > cut.from + contact_time)
            found.push_back(tally_of(cut, records, cuts, disturbances));
    return found;
}

std::string to_string(const tally& sum) {
    const auto served = static_cast<std::int64_t>(sum.served);
    return fmt::format(
        "{} of {} requests in {} ms", sum.served, sum.sent,
        sum.time.count() / std::max<std::int64_t>(served, 1));
}

std::string to_string(const cut_tally& cut) {
    return fmt::format(
        "instances {} cut from all servers served {}, the others {}; {} before",
        fmt::join(cut.instances, " "), to_string(cut.here),
        to_string(cut.elsewhere), to_string(cut.early));
}

std::vector<std::string> broken_by_cuts(const std::vector<cut_tally>& tallies) {
    std::vector<std::string> broken;
    for (const cut_tally& cut : tallies)
        if (is_broken(cut))
            broken.push_back(to_string(cut));
    return broken;
}

} // namespace mintknot::soak
