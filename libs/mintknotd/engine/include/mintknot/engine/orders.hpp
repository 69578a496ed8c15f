/// @file
/// What is sent to a model engine and what comes back.
#ifndef MINTKNOT_ENGINE_ORDERS_HPP
#define MINTKNOT_ENGINE_ORDERS_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mintknot::engine {

/// Fields that prefill and decode orders share.
struct order_header {
    std::string attempt; ///< Unique for each try on each engine.
    std::string holder;  ///< Instance ID of the entry that reads the answer.
    std::string model;
    int priority = 0; ///< Larger goes first.
    /// Whose request it is; reported back with the stream, so that a caller
    /// whose instance died can be checked.
    std::string organisation;
};

struct prefill_order {
    order_header header;
    std::string prompt;
};

/// A finished prefill: the KV cache waits on the engine for some seconds.
struct prefill_result {
    std::string handle;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0; ///< Taken from the prefix cache.
    base::milliseconds kept_for{0};
};

struct decode_order {
    order_header header;
    base::address source; ///< The engine that holds the prefill result.
    std::string handle;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0; ///< Still to be produced.
    std::uint64_t offset = 0;     ///< Offset of the first token.
};

enum class finish_reason { none, stop, length };

/// One event of a decode stream.
struct decode_event {
    enum class kind { imported, progress, token, end, failed };

    kind what = kind::token;
    std::uint64_t offset = 0; ///< For token: its place in the answer.
    std::string text;         ///< For token: its text; for failed: the cause.
    finish_reason finish = finish_reason::none; ///< For end.
};

/// An attempt for which an engine holds something (a queued prefill, a kept
/// result, a stream), as its report tells.
struct held_stream {
    std::string attempt;
    std::string holder;
    bool has_reader = false;
    base::milliseconds unread_for{0};
    std::string organisation;
};

/// A load report; it lags behind the engine by up to a second or so.
struct load_report {
    std::uint64_t incarnation = 0;
    std::uint64_t kv_used = 0;        ///< Tokens.
    std::uint64_t kv_capacity = 0;    ///< Tokens.
    std::uint64_t running = 0;        ///< Sequences in the decode batch.
    std::uint64_t queued_prefill = 0; ///< Tokens that wait for prefill.
    double step_ms = 0.0;             ///< Time of the last decode step.
    bool leaving = false;
    std::vector<held_stream> streams;
};

} // namespace mintknot::engine

#endif
