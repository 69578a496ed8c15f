/// @file
/// Runs a stand-in for a server of the platform.

#include "engine_stand_in.hpp"

#include <tclap/CmdLine.h>

#include <memory>
#include <string>

int main(int argc, char** argv) {
    using namespace mintknot;
    TCLAP::CmdLine line("Stand-in for a server of the platform", ' ', "1");
    const auto text = [&line](const char* name, const char* what, bool needed) {
        return std::make_unique<TCLAP::ValueArg<std::string>>(
            "", name, what, needed, "", "text", line);
    };
    const auto store = text("store", "address of the store", true);
    const auto id = text("id", "its ID", true);
    const auto service = text("service", "its service", true);
    const auto phase = text("phase", "prefill or decode", false);
    const auto ledger = text("ledger", "file that takes the runs", true);
    const auto limit =
        text("limit", "rate limit to advertise, in requests per second", false);
    const auto version = text("software", "version of its software", false);
    TCLAP::ValueArg<int> event_time(
        "", "event-ms", "milliseconds between two events", false, 12, "MS",
        line);
    TCLAP::ValueArg<int> pause(
        "", "pause-ms", "pause in some streams, in milliseconds", false, 0,
        "MS", line);
    const auto address = text("address", "where instances reach it", true);
    TCLAP::SwitchArg without_length(
        "", "without-length",
        "every second answer has neither a length nor chunks", line);
    TCLAP::SwitchArg faulty("", "faulty", "one answer in four is faulty", line);
    line.parse(argc, argv);
    const auto where = base::parse_address(store->getValue());
    const auto advertised = base::parse_address(address->getValue());
    if (!where.ok() || !advertised.ok())
        return 2;
    event::loop owner;
    soak::engine_stand_in engine(
        owner, {*where, id->getValue(), service->getValue(), phase->getValue(),
                ledger->getValue(), limit->getValue(), version->getValue(),
                base::milliseconds(event_time.getValue()),
                base::milliseconds(pause.getValue()), *advertised,
                without_length.getValue(), faulty.getValue()});
    if (!engine.open())
        return 1;
    owner.run();
    return 0;
}
