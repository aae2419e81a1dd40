#include "standins/upstream/outcome_log.hpp"

#include <chrono>

#include <nlohmann/json.hpp>

#include "hemlockshelf/core/json_text.hpp"

namespace hemlockshelf {

namespace {

std::int64_t to_microseconds(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               time.time_since_epoch())
        .count();
}

} // namespace

outcome_log::outcome_log(const std::string& path)
{
    if (!path.empty())
    {
        file_.exceptions(std::ios::failbit | std::ios::badbit);
        file_.open(path, std::ios::app);
    }
}

void outcome_log::write(const execution& run)
{
    if (!file_.is_open())
    {
        return;
    }
    const nlohmann::json line{
        {"request_id", run.request_id_},
        {"method", run.method_},
        {"target", run.target_},
        {"upstream", run.upstream_},
        {"start_us", to_microseconds(run.started_at_)},
        {"end_us", to_microseconds(run.ended_at_)},
        {"body_xxh3", run.body_hash_},
        {"body_bytes", run.body_bytes_},
        {"outcome", run.completed_ ? "completed" : "cancelled"},
        {"answered", run.answered_}};
    // Callers choose the id and the target, which may hold invalid UTF-8.
    file_ << to_json_text(line) << '\n' << std::flush;
}

} // namespace hemlockshelf
