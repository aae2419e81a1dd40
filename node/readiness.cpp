#include "node/readiness.hpp"

namespace hemlockshelf {

bool has_configuration(bool published, revision current)
{
    return !published || current > revision{0};
}

} // namespace hemlockshelf
