#include "experiment/node_log.hpp"

#include <ctime>
#include <iomanip>
#include <sstream>
#include <string>

#include <nlohmann/json.hpp>

#include "adapters/telemetry/log_event_table.hpp"

namespace hemlockshelf {

namespace {

std::string name_of(log_event_id id)
{
    return std::string(log_event_table.at(static_cast<std::size_t>(id)).name_);
}

} // namespace

std::optional<event_time> read_log_time(std::string_view text)
{
    std::istringstream input{std::string(text)};
    std::tm parts{};
    char point = 0;
    int milliseconds = 0;
    char zone = 0;
    input >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> point >>
        milliseconds >> zone;
    if (!input || point != '.' || zone != 'Z')
    {
        return std::nullopt;
    }
    return std::chrono::seconds{::timegm(&parts)} +
           std::chrono::milliseconds{milliseconds};
}

void read_node_log(std::istream& log, node_run& run, storm_history& history)
{
    const auto applied = name_of(log_event_id::revision_applied);
    const auto read = name_of(log_event_id::configuration_read);
    const auto serving = name_of(log_event_id::node_serving);
    bool joined = false;
    for (std::string text; std::getline(log, text);)
    {
        // A killed process may leave an incomplete line.
        const auto line = nlohmann::json::parse(text, nullptr, false);
        if (!line.is_object())
        {
            continue;
        }
        const auto event = line.value("event", "");
        const auto at = read_log_time(line.value("time", ""));
        if (event == applied && at)
        {
            history.revisions_.push_back(
                {run.vm_, run.process_,
                 revision{line.at("revision").get<std::uint64_t>()}, *at});
        }
        else if (event == read)
        {
            const auto documents = line.at("changes").get<std::size_t>();
            (joined ? run.joined_reads_ : run.joining_reads_) += documents;
        }
        joined = joined || event == serving;
    }
}

} // namespace hemlockshelf
