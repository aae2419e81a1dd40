#include "node/readiness.hpp"

namespace hemlockshelf {

bool has_configuration(bool published, revision held)
{
    return !published || held > revision{0};
}

} // namespace hemlockshelf
