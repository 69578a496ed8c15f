/// @file
/// HTTP calls over kept-alive connections, with a verdict for every failure.
#ifndef MINTKNOT_NET_HTTP_CLIENT_HPP
#define MINTKNOT_NET_HTTP_CLIENT_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>
#include <mintknot/base/verdict.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mintknot::net {

struct http_header {
    std::string name;
    std::string value;
};

/// One call. Times: `connect_timeout` bounds the connection, `read_timeout`
/// the wait for each further piece of the answer.
struct http_request {
    std::string method = "GET";
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json";
    base::milliseconds connect_timeout{1000};
    base::milliseconds read_timeout{10000};
};

/// What came back. `status` is 0 if no whole answer came; `run` then says
/// whether the server may have acted on the call, `error` why it failed.
struct http_response {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    base::verdict run = base::verdict::not_run;
    std::string error;

    bool answered() const noexcept { return status != 0; }
    bool ok() const noexcept { return status >= 200 && status < 300; }
    /// @return the first header of that name, or an empty text.
    std::string header(std::string_view name) const;
};

/// Ends a running call from another thread.
class call_canceller {
public:
    call_canceller();
    ~call_canceller();
    call_canceller(const call_canceller&) = delete;
    call_canceller& operator=(const call_canceller&) = delete;

    /// Breaks the call that holds this canceller, now or when it starts.
    void cancel();
    bool cancelled() const;

private:
    friend class http_client;
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Keeps idle connections to each address and lends one to each call.
///
/// @code
/// http_client client;
/// auto answer = client.call(address, {.method = "GET", .path = "/report"});
/// if (!answer.ok()) ...
/// @endcode
///
/// Thread: all functions may be called from any thread; a call blocks.
class http_client {
public:
    /// Receives a piece of the body. @return false to break the call.
    using data_receiver = std::function<bool(std::string_view piece)>;

    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Makes a call and reads the whole answer.
    http_response call(
        const base::address& server, const http_request& request,
        call_canceller* canceller = nullptr);

    /// Makes a call and hands on the body as it arrives. The body of an answer
    /// that is not 2xx goes into the response instead.
    http_response stream(
        const base::address& server, const http_request& request,
        const data_receiver& on_data, call_canceller* canceller = nullptr);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::net

#endif
