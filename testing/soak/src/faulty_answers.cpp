#include "faulty_answers.hpp"

#include <fmt/format.h>

#include <array>
#include <functional>

namespace mintknot::soak {

namespace {

constexpr std::size_t answers_for_a_fault = 4;
constexpr std::size_t long_body = 300'000;
constexpr std::size_t endless_piece = 4096;

constexpr std::array all_faults = {
    answer_fault::status_zero,   answer_fault::status_beyond,
    answer_fault::no_seal,       answer_fault::content_coding,
    answer_fault::blank_in_name, answer_fault::control_in_name,
    answer_fault::reset,         answer_fault::endless_no_seal,
    answer_fault::endless_head,  answer_fault::endless_event};

std::string head(
    const std::string& id, const std::string& status,
    const std::string& fields) {
    return fmt::format(
        "HTTP/1.1 {} X\r\nX-Mintknot-Request-Id: {}\r\n{}", status, id, fields);
}

std::string with_length(const std::string& body) {
    return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

} // namespace

std::optional<answer_fault> fault_of(const std::string& request_id) {
    const std::size_t drawn = std::hash<std::string>{}(request_id);
    if (drawn % answers_for_a_fault != 0)
        return std::nullopt;
    return all_faults[drawn / answers_for_a_fault % all_faults.size()];
}

faulty_answer faulty_answer_to(
    const std::string& request_id, answer_fault fault, bool stream) {
    const std::string seal = "X-Mintknot-Response-Seal: s\r\n";
    const std::string type =
        stream ? "Content-Type: text/event-stream\r\n" : "";
    const std::string other =
        head(request_id, "200", seal) + with_length("another");
    const auto answer = [&](const std::string& status,
                            const std::string& fields) {
        return head(request_id, status, fields + type);
    };
    switch (fault) {
    case answer_fault::status_zero:
        return {answer("000", seal) + "\r\n" + other};
    case answer_fault::status_beyond:
        return {answer("600", seal) + with_length("bad")};
    case answer_fault::no_seal:
        return {answer("200", "") + with_length(std::string(long_body, 'x'))};
    case answer_fault::content_coding:
        return {
            answer("200", seal + "Content-Encoding: gzip\r\n") +
            with_length("bad")};
    case answer_fault::blank_in_name:
        return {answer("200", seal + "A b: c\r\n") + with_length("bad")};
    case answer_fault::control_in_name:
        return {answer("200", seal + "A\x01: c\r\n") + with_length("bad")};
    case answer_fault::reset:
        return {answer("200", seal) + "\r\n", answer_end::reset};
    case answer_fault::endless_no_seal:
        return {
            answer("200", "") + "\r\n", answer_end::never,
            std::string(endless_piece, 'x')};
    case answer_fault::endless_head:
        return {
            answer("200", seal) + "A: ", answer_end::never,
            std::string(endless_piece, 'x')};
    case answer_fault::endless_event:
        if (!stream)
            return faulty_answer_to(
                request_id, answer_fault::endless_no_seal, stream);
        return {
            head(
                request_id, "200",
                seal + "Content-Type: text/event-stream\r\n\r\nid: 1\n"),
            answer_end::never, "data: " + std::string(endless_piece, 'x')};
    }
    return {};
}

} // namespace mintknot::soak
