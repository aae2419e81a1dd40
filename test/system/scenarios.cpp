#include "test/system/scenarios.hpp"

namespace hemlockshelf {

const std::vector<scenario>& all_scenarios()
{
    static const std::vector<scenario> scenarios{
        // Guards against a mesh that fails without any fault.
        {"plain", "regie", {}, true},
        {"plain_guild", "guild", {}, true},
        // Guard against lost configuration and double runs when VMs die.
        {"kill_quarter", "regie", {"kill_quarter"}},
        {"kill_during_push", "guild", {"kill_during_push"}},
        {"kill_upstream", "guild", {"kill_upstream"}},
        // Guard against a paused process that acts on what it knew before.
        {"pause_node", "regie", {"pause_node"}},
        {"pause_upstream", "guild", {"pause_upstream"}},
        // Guard against partitions that stop or split the mesh.
        {"cut_regions", "regie", {"cut_regions"}},
        {"silence_regions", "guild", {"silence_regions"}},
        {"silence_open", "regie", {"silence_open"}},
        {"cut_domain", "guild", {"cut_domain"}},
        {"silence_domain", "regie", {"silence_domain"}},
        // Guard against a mesh that takes a link for whole because one of its
        // directions delivers, or that loses an edit in the other direction.
        {"cut_one_way", "guild", {"cut_one_way"}},
        {"cut_domain_one_way", "regie", {"cut_domain_one_way"}},
        // Guard against a platform whose faults stop the mesh or lose edits.
        {"platform_down", "regie", {"platform_down"}},
        {"platform_slow", "guild", {"platform_slow"}},
        {"platform_lost_answers", "regie", {"platform_lost_answers"}},
        // Guard against planned stops that cut requests in progress.
        {"drain_upstream", "regie", {"drain_upstream"}, true},
        {"terminate_node", "guild", {"terminate_node"}, true},
        // Guard against a mesh that serves little once it is overloaded, or
        // whose refusals are untrue then.
        {"overload", "guild", {}, false, true},
        // Guard against two operators who replace the same version of a row,
        // also when the answer to the first one is lost.
        {"expected_version", "regie", {}, true, false, 3, 4},
        {"expected_version_lost_answers",
         "guild",
         {"platform_lost_answers"},
         false,
         false,
         3,
         4},
        // Guards against a push that ends at a dead bridge. No operators race
        // here, since the push of their next edit would repair the gap.
        {"kill_bridge", "guild", {"kill_bridge"}, false, false, 0},
        // Guard against pairs of faults whose repairs hinder each other.
        {"pair_kill_and_cut", "regie", {"kill_quarter", "cut_regions"}},
        {"pair_pause_and_silence", "guild", {"pause_node", "silence_domain"}},
        {"pair_push_and_silence",
         "regie",
         {"silence_regions", "kill_during_push"}},
        {"pair_platform_and_kill", "regie", {"platform_down", "kill_quarter"}},
        {"pair_lost_answers_and_terminate",
         "guild",
         {"platform_lost_answers", "terminate_node"},
         true},
        {"pair_overload_and_kill", "guild", {"kill_quarter"}, false, true},
    };
    return scenarios;
}

} // namespace hemlockshelf
