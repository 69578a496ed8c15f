#include <mintknot/net/http_server.hpp>

#include <criterion/criterion.h>
#include <httplib.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <filesystem>
#include <memory>

using namespace mintknot;

namespace {

/// A self-signed certificate in files that go with the object.
struct certificate_files {
    certificate_files() {
        EVP_PKEY* key = EVP_RSA_gen(2048);
        X509* certificate = X509_new();
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
        X509_set_pubkey(certificate, key);
        X509_sign(certificate, key, EVP_sha256());
        std::FILE* out = std::fopen(certificate_file.c_str(), "w");
        PEM_write_X509(out, certificate);
        std::fclose(out);
        out = std::fopen(key_file.c_str(), "w");
        PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(out);
        X509_free(certificate);
        EVP_PKEY_free(key);
    }
    ~certificate_files() {
        std::filesystem::remove(certificate_file);
        std::filesystem::remove(key_file);
    }
    certificate_files(const certificate_files&) = delete;
    certificate_files& operator=(const certificate_files&) = delete;

    std::string base_name = (std::filesystem::temp_directory_path() /
                             ("mintknot-tls-" + std::to_string(getpid())))
                                .string();
    std::string certificate_file = base_name + ".cert";
    std::string key_file = base_name + ".key";
};

} // namespace

Test(tls, callers_are_served_with_the_certificate_of_the_settings) {
    const certificate_files files;
    net::http_server_options options;
    options.certificate_file = files.certificate_file;
    options.private_key_file = files.key_file;
    net::http_server server(options);
    server.routes().Get("/", [](const auto&, auto& response) {
        response.set_content("hello", "text/plain");
    });
    const auto port = server.start({"127.0.0.1", 0});
    cr_assert(port.ok());
    httplib::SSLClient client("127.0.0.1", *port);
    client.enable_server_certificate_verification(false);
    const auto answer = client.Get("/");
    cr_assert(static_cast<bool>(answer));
    cr_assert(answer->body == "hello");
    httplib::Client plain("127.0.0.1", *port);
    cr_assert(!plain.Get("/"));
}

Test(tls, a_certificate_that_cannot_be_used_is_an_error_at_start) {
    net::http_server_options options;
    options.certificate_file = "no-such-file";
    options.private_key_file = "no-such-file";
    net::http_server server(options);
    cr_assert(absl::IsInvalidArgument(server.start({"127.0.0.1", 0}).status()));
}
