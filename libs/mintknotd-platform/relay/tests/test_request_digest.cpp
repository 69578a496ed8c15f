#include <mintknot/relay/request_digest.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using mintknot::relay::request_digest;

namespace {

http1::request_head
head_of(const std::string& target, const std::string& id, const char* host) {
    http1::request_head head;
    head.method = "POST";
    head.target = target;
    head.fields = {{"Host", host}, {"Id", id}};
    return head;
}

} // namespace

Test(request_digest, retry_of_a_request_has_the_same_digest) {
    const std::string first =
        request_digest("shop", head_of("/a/b", "r1", "h"), "body");
    cr_assert(first.size() == 32);
    cr_assert(
        request_digest("shop", head_of("/a/b", "r2", "h"), "body") == first);
}

Test(request_digest, requests_that_differ_have_different_digests) {
    const std::string first =
        request_digest("shop", head_of("/a/b", "r1", "h"), "body");
    const std::string others[] = {
        request_digest("bank", head_of("/a/b", "r1", "h"), "body"),
        request_digest("shop", head_of("/a/c", "r1", "h"), "body"),
        request_digest("shop", head_of("/a/b", "r1", "i"), "body"),
        request_digest("shop", head_of("/a/b", "r1", "h"), "bodies"),
        request_digest("shop/a", head_of("/b", "r1", "h"), "body")};
    for (const std::string& other : others)
        cr_assert(other != first);
}
