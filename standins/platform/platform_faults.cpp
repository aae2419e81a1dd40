#include "standins/platform/platform_faults.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace hemlockshelf {

namespace {

const std::map<std::string, fault_mode> modes{
    {"ok", fault_mode::ok},         {"down", fault_mode::down},
    {"slow", fault_mode::slow},     {"lose_answers", fault_mode::lose_answers},
    {"silent", fault_mode::silent},
};

} // namespace

result<fault_plan> fault_plan_from_json(const nlohmann::json& json)
{
    try
    {
        const auto mode = modes.find(json.at("mode").get<std::string>());
        const auto probability = json.value("probability", 1.0);
        const auto delay = json.value("delay_ms", std::int64_t{0});
        if (mode != modes.end() && probability >= 0 && probability <= 1 &&
            delay >= 0)
        {
            return fault_plan{
                mode->second, probability, std::chrono::milliseconds{delay}};
        }
    }
    catch (const nlohmann::json::exception&)
    {
        // Reported below together with the rejected value.
    }
    return make_error(
        error_kind::bad_request,
        "fault: expected \"mode\" ok, down, slow, lose_answers or silent, "
        "\"probability\" from 0 to 1 and \"delay_ms\", given " +
            json.dump());
}

void platform_faults::set(fault_plan plan)
{
    const std::lock_guard lock(mutex_);
    plan_ = plan;
}

fault_plan platform_faults::draw()
{
    const std::lock_guard lock(mutex_);
    std::bernoulli_distribution affected(plan_.probability_);
    return affected(random_) ? plan_ : fault_plan{};
}

} // namespace hemlockshelf
