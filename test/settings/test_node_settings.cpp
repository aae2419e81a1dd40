#include "adapters/settings/node_settings.hpp"

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

#include <criterion/criterion.h>

using namespace hemlockshelf;

namespace {

const std::string valid = R"(vm: vm-1
failure_domain: salle-belair
region: quebec-centre
calls: 127.0.0.1:7001
gate: 127.0.0.1:7002
control: 127.0.0.1:7003
admin: 127.0.0.1:7004
platform: 127.0.0.1:7000
)";

result<node_settings> load_text(const std::string& text)
{
    char path[] = "/tmp/hemlockshelf-settings-XXXXXX";
    close(mkstemp(path));
    std::ofstream(path) << text;
    auto settings = load_node_settings(path);
    std::remove(path);
    return settings;
}

/// Asserts that loading fails with an error that names the line and the text.
void assert_error(
    const std::string& text,
    const std::string& line,
    const std::string& expected)
{
    const auto settings = load_text(text);
    cr_assert_not(settings.has_value());
    cr_assert(settings.error().kind_ == error_kind::settings_invalid);
    const auto& message = settings.error().message_;
    cr_assert(
        message.find(":" + line + ": ") != std::string::npos, "%s",
        message.c_str());
    cr_assert(
        message.find(expected) != std::string::npos, "%s", message.c_str());
}

} // namespace

// Guards against advertised addresses that are lost when not given.
Test(node_settings, a_valid_file_is_read)
{
    const auto settings = load_text(valid);
    cr_assert(settings.has_value());
    cr_assert(settings->vm_ == vm_id{"vm-1"});
    cr_assert(settings->advertised_gate_ == settings->gate_);
    cr_assert(settings->advertised_control_ == settings->control_);
}

// Guards against a misspelt key that is silently ignored.
Test(node_settings, an_unknown_key_is_refused)
{
    assert_error(valid + "peer: []\n", "9", "peer: unknown key");
}

// Guards against a node that starts without knowing its failure domain.
Test(node_settings, a_missing_key_is_refused)
{
    assert_error("vm: vm-1\nregion: a\n", "1", "failure_domain: expected");
}

// Guards against an address that fails only when it is used.
Test(node_settings, a_malformed_address_is_refused)
{
    assert_error(
        valid + "peers: [localhost:7003]\n", "9", "given \"localhost:7003\"");
    assert_error(
        valid + "source_address: here\n", "9", "expected an IPv4 address");
}

// Guards against two listeners on one address.
Test(node_settings, clashing_listeners_are_refused)
{
    auto text = valid;
    text.replace(text.find("7004"), 4, "7003");
    assert_error(text, "7", "which another listener uses");
}

// Guards against a token in clear text in place of its hash.
Test(node_settings, a_token_that_is_no_hash_is_refused)
{
    assert_error(
        valid + "token_sha256:\n  regie: secret\n", "10",
        "64 lower-case hexadecimal digits");
}

// Guards against a wrong word in a nested section, and shows its path.
Test(node_settings, a_nested_value_is_checked)
{
    assert_error(
        valid + "log:\n  format: xml\n", "10",
        "log.format: expected one of text, json, given \"xml\"");
}

// Guards against broken YAML that ends the process with an exception.
Test(node_settings, broken_yaml_is_refused)
{
    assert_error("vm: [\n", "2", "");
    cr_assert(
        load_node_settings("/nonexistent/file").error().kind_ ==
        error_kind::settings_invalid);
}
