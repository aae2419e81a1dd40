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

// Guards against a capacity that is off by its unit, or that no link has.
Test(node_settings, the_link_is_read_in_megabits)
{
    const auto settings = load_text(valid + "link_mbps: 7.5\n");
    cr_assert(settings && settings->link_ == bit_rate{7'500'000});
    assert_error(valid + "link_mbps: -1\n", "9", "link_mbps");
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

// Guards against a profile that is read but chooses nothing.
Test(node_settings, the_profile_chooses_the_defaults_of_dissemination)
{
    const auto fast = load_text(valid);
    const auto small = load_text(valid + "dissemination:\n  profile: bytes\n");
    cr_assert(fast.has_value());
    cr_assert(small.has_value());
    const auto& favours_time = fast->dissemination_;
    const auto& favours_bytes = small->dissemination_;
    cr_assert_not(favours_time.offer_first_);
    cr_assert(favours_bytes.offer_first_);
    cr_assert(favours_bytes.domain_fanout_ < favours_time.domain_fanout_);
    cr_assert(favours_bytes.poll_interval_ > favours_time.poll_interval_);
    cr_assert(favours_bytes.repair_interval_ > favours_time.repair_interval_);
}

// Guards against a profile that overwrites a setting beside it, whichever of
// them comes first in the file.
Test(node_settings, a_setting_of_its_own_wins_over_the_profile)
{
    for (const std::string lines :
         {"  profile: bytes\n  domain_fanout: 7\n",
          "  domain_fanout: 7\n  profile: bytes\n"})
    {
        auto text = valid;
        text.append("dissemination:\n").append(lines);
        const auto settings = load_text(text);
        cr_assert(settings.has_value());
        cr_assert_eq(settings->dissemination_.domain_fanout_, 7);
        cr_assert(settings->dissemination_.offer_first_);
    }
}

// Guards against a misspelt profile that leaves the other one in use.
Test(node_settings, an_unknown_profile_is_refused)
{
    assert_error(
        valid + "dissemination:\n  profile: byte\n", "10",
        "expected one of convergence, bytes, given \"byte\"");
}
