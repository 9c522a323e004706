#include "common/result.h"

namespace Toucandeck
{

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::NotLeader:
        return "not_leader";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::Corrupt:
        return "corrupt";
    case ErrorCode::Io:
        break;
    }
    return "io";
}

} // namespace Toucandeck
