#include <mintknot/http1/message_parser.hpp>

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>

namespace mintknot::http1 {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// All others mean nothing in HTTP (RFC 9110, section 15).
constexpr int min_status = 100;
constexpr int max_status = 599;

std::string_view text_of(beast::string_view text) {
    return {text.data(), text.size()};
}

/// Beast's parser with all events that both kinds of messages share.
template<bool is_request, class Head>
class parser_core : public http::basic_parser<is_request> {
public:
    explicit parser_core(const message_limits& limits)
        : max_framing_bytes_(limits.header_bytes) {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(std::min<std::uint64_t>(
            limits.header_bytes, std::numeric_limits<std::uint32_t>::max())));
        this->body_limit(limits.body_bytes);
    }

    std::size_t feed(std::string_view bytes, const body_sink& on_body) {
        sink_ = &on_body;
        std::size_t used = 0;
        while (used < bytes.size() && !this->is_done() &&
               failure_ == parse_error::none) {
            beast::error_code code;
            const std::size_t step = this->put(
                boost::asio::buffer(bytes.data() + used, bytes.size() - used),
                code);
            used += step;
            if (code == http::error::need_more)
                break;
            note(code);
            if (step == 0)
                break;
        }
        sink_ = nullptr;
        bound_framing(bytes.size() - used);
        return used;
    }

    /// Beast bounds the head only: it hands on nothing of the head of a chunk,
    /// or of trailers, before it has found their end.
    void bound_framing(std::size_t unused) {
        if (this->is_header_done() && !this->is_done() &&
            failure_ == parse_error::none && unused > max_framing_bytes_)
            failure_ = parse_error::header_too_large;
    }

    void note(const beast::error_code& code) {
        if (!code)
            return;
        if (code == http::error::header_limit)
            failure_ = parse_error::header_too_large;
        else if (code == http::error::body_limit)
            failure_ = parse_error::body_too_large;
        else if (code == http::error::partial_message)
            failure_ = parse_error::cut_off;
        else
            failure_ = parse_error::malformed;
    }

    /// Any other coding would leave the end of the body to a guess: what
    /// follows the head could then be read as the next message (RFC 9112,
    /// sections 6.1 and 6.3).
    bool has_known_coding() const {
        const std::string* coding =
            find_field(head_.fields, "Transfer-Encoding");
        if (coding == nullptr)
            return true;
        return head_.minor_version > 0 && same_name(*coding, "chunked");
    }

    framing framing_now() const {
        if (this->chunked())
            return framing::chunked;
        if (this->content_length().has_value())
            return *this->content_length() == 0 ? framing::none
                                                : framing::length;
        return this->need_eof() ? framing::close : framing::none;
    }

    Head head_;
    parse_error failure_ = parse_error::none;

protected:
    void on_field_impl(
        http::field, beast::string_view name, beast::string_view value,
        beast::error_code& code) override {
        // Trailers of a chunked body are dropped: they must not pass for
        // fields of the head.
        if (this->is_header_done()) {
            trailer_bytes_ += name.size() + value.size();
            if (trailer_bytes_ > max_framing_bytes_)
                code = http::error::header_limit;
            return;
        }
        head_.fields.push_back(
            {std::string(text_of(name)), std::string(text_of(value))});
    }
    void on_header_impl(beast::error_code& code) override {
        if (!has_known_coding())
            code = http::error::bad_transfer_encoding;
        head_.keep_alive = this->keep_alive();
        head_.body = framing_now();
    }
    void on_body_init_impl(
        const boost::optional<std::uint64_t>&, beast::error_code&) override {}
    std::size_t
    on_body_impl(beast::string_view body, beast::error_code&) override {
        if (sink_ != nullptr && *sink_)
            (*sink_)(text_of(body));
        return body.size();
    }
    void on_chunk_header_impl(
        std::uint64_t, beast::string_view extension,
        beast::error_code& code) override {
        if (extension.size() > max_framing_bytes_)
            code = http::error::header_limit;
    }
    std::size_t on_chunk_body_impl(
        std::uint64_t, beast::string_view body, beast::error_code&) override {
        if (sink_ != nullptr && *sink_)
            (*sink_)(text_of(body));
        return body.size();
    }
    void on_finish_impl(beast::error_code&) override {}

private:
    const body_sink* sink_ = nullptr;
    std::size_t max_framing_bytes_;
    std::size_t trailer_bytes_ = 0;
};

class request_core final : public parser_core<true, request_head> {
public:
    using parser_core::parser_core;

private:
    void on_request_impl(
        http::verb, beast::string_view method, beast::string_view target,
        int version, beast::error_code&) override {
        head_.minor_version = version == 10 ? 0 : 1;
        head_.method = text_of(method);
        head_.target = text_of(target);
    }
    void on_response_impl(
        int, beast::string_view, int, beast::error_code&) override {}
};

class response_core final : public parser_core<false, response_head> {
public:
    using parser_core::parser_core;

private:
    void on_request_impl(
        http::verb, beast::string_view, beast::string_view, int,
        beast::error_code&) override {}
    void on_response_impl(
        int status, beast::string_view reason, int version,
        beast::error_code& code) override {
        if (status < min_status || status > max_status)
            code = http::error::bad_status;
        head_.minor_version = version == 10 ? 0 : 1;
        head_.status = status;
        head_.reason = text_of(reason);
    }
};

} // namespace

struct request_parser::impl {
    explicit impl(const message_limits& limits)
        : core(limits) {}
    request_core core;
    bool head_seen = false;
};

request_parser::request_parser(const message_limits& limits)
    : impl_(std::make_unique<impl>(limits)) {}

request_parser::~request_parser() = default;

std::size_t
request_parser::put(std::string_view bytes, const body_sink& on_body) {
    const std::size_t used = impl_->core.feed(bytes, on_body);
    if (!impl_->head_seen && impl_->core.is_header_done()) {
        impl_->head_seen = true;
        request_head& head = impl_->core.head_;
        const std::string* expect = find_field(head.fields, "Expect");
        head.expects_continue =
            expect != nullptr && same_name(*expect, "100-continue");
        std::size_t hosts = 0;
        for (const field& entry : head.fields)
            hosts += same_name(entry.name, "Host") ? 1 : 0;
        if (hosts > 1)
            impl_->core.failure_ = parse_error::malformed;
    }
    return used;
}

bool request_parser::has_head() const noexcept {
    return impl_->core.is_header_done();
}

bool request_parser::done() const noexcept {
    return impl_->core.is_done() && error() == parse_error::none;
}

parse_error request_parser::error() const noexcept {
    return impl_->core.failure_;
}

request_head& request_parser::head() {
    return impl_->core.head_;
}

struct response_parser::impl {
    explicit impl(const message_limits& limits)
        : core(limits) {}
    response_core core;
};

response_parser::response_parser(const message_limits& limits, bool no_body)
    : impl_(std::make_unique<impl>(limits)) {
    if (no_body)
        impl_->core.skip(true);
}

response_parser::~response_parser() = default;

std::size_t
response_parser::put(std::string_view bytes, const body_sink& on_body) {
    const std::size_t used = impl_->core.feed(bytes, on_body);
    if (impl_->core.is_header_done() && impl_->core.content_length())
        impl_->core.head_.length = *impl_->core.content_length();
    return used;
}

void response_parser::put_end() {
    boost::beast::error_code code;
    impl_->core.put_eof(code);
    impl_->core.note(code);
}

bool response_parser::has_head() const noexcept {
    return impl_->core.is_header_done();
}

bool response_parser::done() const noexcept {
    return impl_->core.is_done() && error() == parse_error::none;
}

parse_error response_parser::error() const noexcept {
    return impl_->core.failure_;
}

response_head& response_parser::head() {
    return impl_->core.head_;
}

} // namespace mintknot::http1
