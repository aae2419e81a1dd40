// The node: one process on each upstream VM.

#include <exception>
#include <iostream>
#include <memory>
#include <optional>

#include <gflags/gflags.h>
#include <malloc.h>

#include "adapters/settings/node_settings.hpp"
#include "adapters/tables/table_client.hpp"
#include "adapters/telemetry/event_log.hpp"
#include "hemlockshelf/core/error_table.hpp"
#include "node/node.hpp"
#include "platform/provider_services.hpp"
#include "platform/provider_settings.hpp"

DEFINE_string(settings, "", "path of the settings file (YAML)");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

using namespace hemlockshelf;

// One heap for all threads: a heap for each would keep what its thread has
// freed, and one thread does nearly all of the work.
void share_heap()
{
    constexpr int heaps = 1;
    mallopt(M_ARENA_MAX, heaps);
}

platform_factory choose_platform(
    node_settings& settings, const std::optional<provider_settings>& provider)
{
    if (provider)
    {
        use_platform_protocol(settings, *provider);
        return make_provider_services(settings, *provider);
    }
    const http_target tables{
        settings.platform_, settings.source_address_,
        settings.editing_.platform_timeout_};
    return [tables](metric_sink& metrics)
    {
        platform_services services;
        services.tables_ = std::make_unique<table_client>(tables, &metrics);
        services.objects_ = std::make_unique<table_client>(tables, &metrics);
        return services;
    };
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("hemlockshelfd --settings FILE [--check]");
    share_heap();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto settings = hemlockshelf::load_node_settings(FLAGS_settings);
    if (!settings)
    {
        std::cerr << settings.error().message_ << "\n";
        return static_cast<int>(hemlockshelf::exit_code::settings_invalid);
    }
    const auto provider = hemlockshelf::load_provider_settings(FLAGS_settings);
    if (!provider)
    {
        std::cerr << provider.error().message_ << "\n";
        return static_cast<int>(hemlockshelf::exit_code::settings_invalid);
    }
    if (FLAGS_check)
    {
        return static_cast<int>(hemlockshelf::exit_code::ok);
    }
    hemlockshelf::configure_log(
        settings->log_format_,
        *hemlockshelf::parse_log_level(settings->log_level_),
        {settings->vm_, settings->failure_domain_});
    try
    {
        const auto platform = choose_platform(*settings, *provider);
        hemlockshelf::node instance(
            std::move(*settings), platform,
            []
            {
                return hemlockshelf::load_node_settings(FLAGS_settings);
            });
        instance.run();
    }
    catch (const std::exception& failure)
    {
        hemlockshelf::log_event<hemlockshelf::log_event_id::node_failed>(
            hemlockshelf::log_fields::detail(failure.what()));
        return static_cast<int>(hemlockshelf::exit_code::internal);
    }
    return 0;
}
