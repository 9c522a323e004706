#pragma once

#include "common/verdict.h"

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace Toucandeck
{

/// Kind of a failure; decides the HTTP status and the exit code.
enum class ErrorCode {
    InvalidArgument, ///< The input is malformed.
    NotFound, ///< The named object does not exist.
    Conflict, ///< The given revision is not the current one.
    Refused, ///< The request is well formed but a rule forbids it now.
    Unauthorized, ///< Token or key is missing or wrong.
    NotLeader, ///< This controller does not lead.
    Unavailable, ///< No quorum, owner or instance can be reached.
    Overloaded, ///< A limit on slots, connections or queue length is reached.
    DeadlineExceeded, ///< The deadline has passed or cannot be met.
    Corrupt, ///< Stored data fails its checksum.
    Io, ///< A system call failed.
};

/// Name of the code in logs and JSON, for example "not_found".
std::string_view toString(ErrorCode code);

/// A failure with a human-readable message. The verdict says whether a request may have run; NotRun if the failure concerns no
/// request.
struct Error
{
    ErrorCode code = ErrorCode::Unavailable;
    std::string message;
    Verdict verdict = Verdict::NotRun;
};

template<class T>
using Result = boost::leaf::result<T>;

/// Creates a failed result.
inline boost::leaf::error_id fail(ErrorCode code, std::string message, Verdict verdict = Verdict::NotRun)
{
    return boost::leaf::new_error(Error{ code, std::move(message), verdict });
}

/// Calls @p block, which returns a Result<T>, and returns its value; on failure returns the result of @p onError.
/// Errors carry their message only while such a call is active further up the stack.
template<class Block, class OnError>
auto handleError(Block &&block, OnError &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Block>(block),
        [&onError](const Error &error) { return onError(error); },
        [&onError] {
            return onError(Error{ ErrorCode::Unavailable, "unknown error", Verdict::MayHaveRun });
        });
}

/// As handleError(), but @p onError returns a Result too, for example another error with more context.
template<class Block, class OnError>
auto replaceError(Block &&block, OnError &&onError)
{
    return boost::leaf::try_handle_some(std::forward<Block>(block), [&onError](const Error &error) { return onError(error); });
}

} // namespace Toucandeck
